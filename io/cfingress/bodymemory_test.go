package cfingress

import (
	"errors"
	"testing"

	cf "currantford"
)

// Symptom: an instance is killed for its memory under many large bodies.
// Load: bodies of 30 bytes arrive while there is room for 100.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	b := &bodies{most: 100}
	var releases []func()
	for range 3 {
		release, err := b.reserve(30)
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	_, err := b.reserve(30)
	var refusal *cf.Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		t.Errorf("a fourth body: %v, want a refusal with when to come back", err)
	}
	releases[0]()
	if _, err := b.reserve(30); err != nil {
		t.Errorf("after one has left: %v", err)
	}
	alone := &bodies{most: 100}
	if _, err := alone.reserve(500); err != nil {
		t.Errorf("a body larger than the room, alone: %v", err)
	}
	if _, err := alone.reserve(1); err == nil {
		t.Error("another one beside it was let in")
	}
}
