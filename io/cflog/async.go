package cflog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines limits the lines waiting to be written, about 1 MB. A reader that stops reading
	// must not block the process: further lines are dropped and counted.
	queueLines = 4096
	// maxWriteBytes limits a write of several lines. A pipe takes writes of up to 4,096 bytes
	// (PIPE_BUF) atomically; log collectors split larger writes.
	maxWriteBytes = 4096
	// flushPollInterval is how often Flush checks whether all lines are written.
	flushPollInterval = 5 * time.Millisecond
)

// AsyncWriter writes lines in the background and never blocks its callers. Close writes the lines
// that are queued.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	waiting   atomic.Int64
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
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

// Flush waits until the queued lines are written, but no longer than timeout.
func (a *AsyncWriter) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); a.waiting.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written as they arrive.
func (a *AsyncWriter) Sync() error { return nil }

// Close writes the queued lines. Write must not be called afterwards.
func (a *AsyncWriter) Close() error {
	a.closeOnce.Do(func() { close(a.lines) })
	a.wg.Wait()
	return nil
}

// run writes whole lines, several in one call if several are queued.
func (a *AsyncWriter) run() {
	var buf []byte
	var lines int64
	write := func() {
		if lines > 0 {
			_, _ = a.out.Write(buf) // there is nowhere else to report the error
		}
		a.waiting.Add(-lines)
		buf, lines = buf[:0], 0
	}
	for line := range a.lines {
		if len(buf)+len(line) > maxWriteBytes {
			write()
		}
		buf, lines = append(buf, line...), lines+1
		if len(a.lines) == 0 {
			write()
		}
	}
	write()
}
