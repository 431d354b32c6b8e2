package cfingress

import (
	"errors"
	"testing"

	cf "currantford"
)

// TestBodiesBeyondTheMemoryAreRefused guards against an instance that is killed for its memory use
// under many large bodies. Bodies of 30 bytes arrive while the limit is 100.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	b := &bodyMemory{limit: 100}
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
		t.Errorf("fourth body: %v, want a refusal with a retry delay", err)
	}
	releases[0]()
	if _, err := b.reserve(30); err != nil {
		t.Errorf("fourth body after one was released: %v", err)
	}
	alone := &bodyMemory{limit: 100}
	if _, err := alone.reserve(500); err != nil {
		t.Errorf("single body larger than the limit: %v", err)
	}
	if _, err := alone.reserve(1); err == nil {
		t.Error("another body beside it was accepted")
	}
}
