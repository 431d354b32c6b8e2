package cflog

import (
	"bytes"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxLibraryBytes limits how much of a line written by a library is logged. net/http quotes
	// what a target sends after its answer, up to its whole buffer.
	maxLibraryBytes = 200
	// maxLibraryLines is the maximum number of such lines per second.
	maxLibraryLines = 5
)

// LibraryWriter is a writer for the standard logger. It logs the lines of libraries truncated, and
// drops lines beyond maxLibraryLines.
type LibraryWriter struct {
	log *zap.Logger

	mu          sync.Mutex
	windowStart time.Time
	lines       int
	dropped     int
}

// NewLibraryWriter returns a LibraryWriter that logs to log.
func NewLibraryWriter(log *zap.Logger) *LibraryWriter { return &LibraryWriter{log: log} }

// Write logs one line.
func (l *LibraryWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines = now, 0
	}
	l.lines++
	if l.lines > maxLibraryLines {
		l.dropped++
		l.mu.Unlock()
		return len(p), nil
	}
	dropped := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	line := bytes.TrimSpace(p)
	l.log.Warn("library_message", zap.ByteString("text", line[:min(len(line), maxLibraryBytes)]), zap.Int("dropped", dropped))
	return len(p), nil
}
