package cfconfig_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	cf "currantford"
	"currantford/older/cfconfig"
)

// TestCheck replays documents through the checker: each fault is printed
// with its JSON path, as `currantford check` prints it.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		_, err := cfconfig.Parse([]byte(d.Input))
		if err == nil {
			return "ok\n"
		}
		if !errors.Is(err, cf.ErrInvalid) {
			t.Fatalf("fault does not wrap ErrInvalid: %v", err)
		}
		return strings.TrimSpace(err.Error()) + "\n"
	})
}

// TestDefaultSiteIsValid: the embedded site must pass its own checks.
func TestDefaultSiteIsValid(t *testing.T) {
	s := cfconfig.Default()
	if len(s.Entries) == 0 || s.Routing.Policy == "" {
		t.Fatalf("default site lacks entries or routing: %+v", s)
	}
}
