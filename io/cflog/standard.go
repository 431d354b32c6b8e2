package cflog

import (
	"bytes"
	stdlog "log"

	"go.uber.org/zap"
)

// standardMost bounds what is logged of one message of a library, in bytes. net/http quotes
// up to 4 KB of what a peer has sent.
const standardMost = 256

// standard takes what libraries write to the standard logger.
type standard struct{ log *zap.Logger }

// TakeStandard makes what libraries write to the standard logger lines of log, each cut short.
// By itself that logger writes to standard error, and waits until it is read.
func TakeStandard(log *zap.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standard{log})
}

// Write implements io.Writer.
func (s standard) Write(p []byte) (int, error) {
	text := bytes.TrimSpace(p)
	s.log.Warn("library", zap.ByteString("text", text[:min(len(text), standardMost)]), zap.Int("bytes", len(p)))
	return len(p), nil
}
