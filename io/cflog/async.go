package cflog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written, about 1 MB. A reader
	// that stops reading must not stop the process: further lines are counted and
	// dropped.
	queueLines = 4096
	// writeBytes bounds one write of several lines. POSIX lets a pipe take 4,096 bytes
	// (PIPE_BUF) as a whole; collectors cut larger writes apart.
	writeBytes = 4096
	// flushTick is how often a flush looks whether all is written.
	flushTick = 5 * time.Millisecond
)

// AsyncWriter writes lines in the background and never blocks its callers. Close
// writes what waits.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	waiting atomic.Int64
	wg      sync.WaitGroup
	once    sync.Once
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, queueLines)}
	a.wg.Go(a.run)
	return a
}

// Write queues one line, or drops it if the queue is full.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.waiting.Add(1)
	select {
	case a.lines <- line:
	default:
		a.waiting.Add(-1)
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until what was queued is written, for most at the longest.
func (a *AsyncWriter) Flush(most time.Duration) {
	for deadline := time.Now().Add(most); a.waiting.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushTick)
	}
}

// Dropped counts the lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Sync implements zapcore.WriteSyncer; lines are written as they come.
func (a *AsyncWriter) Sync() error { return nil }

// Close writes what waits. Nothing may be written after it.
func (a *AsyncWriter) Close() error {
	a.once.Do(func() { close(a.lines) })
	a.wg.Wait()
	return nil
}

// run writes whole lines, several in one call where several wait.
func (a *AsyncWriter) run() {
	var buf []byte
	var lines int64
	write := func() {
		if lines > 0 {
			_, _ = a.out.Write(buf) // there is nowhere else to report it
		}
		a.waiting.Add(-lines)
		buf, lines = buf[:0], 0
	}
	for line := range a.lines {
		if len(buf)+len(line) > writeBytes {
			write()
		}
		buf, lines = append(buf, line...), lines+1
		if len(a.lines) == 0 {
			write()
		}
	}
	write()
}
