package cflog

import (
	stdlog "log"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against: bytes of a peer that fill the log through a library's messages, on an output
// that blocks the process.
func TestMessagesOfLibrariesAreCutShort(t *testing.T) {
	t.Cleanup(func() {
		stdlog.SetOutput(os.Stderr)
		stdlog.SetFlags(stdlog.LstdFlags)
	})
	core, logs := observer.New(zap.InfoLevel)
	TakeStandard(zap.New(core))
	stdlog.Printf("Unsolicited response: %q", strings.Repeat("x", 4<<10))
	lines := logs.FilterMessage("library").All()
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	fields := lines[0].ContextMap()
	text, _ := fields["text"].(string)
	if len(text) != standardMost || !strings.HasPrefix(text, "Unsolicited response") || fields["bytes"].(int64) < 4<<10 {
		t.Errorf("line of %d bytes, %v in all: %.40s", len(text), fields["bytes"], text)
	}
}
