package cfconfig_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	cf "currantford"
	"currantford/older/cfconfig"
)

// TestCheck parses the documents in testdata/check and compares the validation errors with their
// JSON paths, as "currantford check" prints them.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		_, err := cfconfig.Parse([]byte(d.Input))
		if err == nil {
			return "ok\n"
		}
		if !errors.Is(err, cf.ErrInvalid) {
			t.Fatalf("error does not wrap ErrInvalid: %v", err)
		}
		return strings.TrimSpace(err.Error()) + "\n"
	})
}

// TestDefaultSiteIsValid checks that the embedded default site passes validation.
func TestDefaultSiteIsValid(t *testing.T) {
	s := cfconfig.Default()
	if len(s.Entries) == 0 || s.Routing.Policy == "" {
		t.Fatalf("default site lacks entries or routing: %+v", s)
	}
}
