package cfnode_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"currantford/io/cfnode"
)

// TestSettings checks the errors that settings files produce.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := cfnode.ReadSettings(path)
		if err == nil {
			return "ok\n"
		}
		return strings.ReplaceAll(err.Error(), path, "FILE") + "\n"
	})
}
