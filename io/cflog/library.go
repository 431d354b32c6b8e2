package cflog

import (
	"bytes"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// libraryBytes is how much of a library's line is logged. net/http quotes what a target
	// sends after its answer, up to its whole buffer.
	libraryBytes = 200
	// libraryLines bounds such lines, a second.
	libraryLines = 5
)

// LibraryWriter is a writer for the standard logger. It logs the lines of libraries, cut short,
// and some of them where there are many.
type LibraryWriter struct {
	log *zap.Logger

	mu      sync.Mutex
	since   time.Time
	lines   int
	dropped int
}

// NewLibraryWriter returns a writer in front of log.
func NewLibraryWriter(log *zap.Logger) *LibraryWriter { return &LibraryWriter{log: log} }

// Write logs one line.
func (l *LibraryWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	l.lines++
	if l.lines > libraryLines {
		l.dropped++
		l.mu.Unlock()
		return len(p), nil
	}
	dropped := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	line := bytes.TrimSpace(p)
	l.log.Warn("library_message", zap.ByteString("text", line[:min(len(line), libraryBytes)]), zap.Int("dropped", dropped))
	return len(p), nil
}
