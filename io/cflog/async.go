package cflog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait to be written, about 1 MB. A reader
// that stops reading must not stop the process: further lines are counted and
// dropped.
const queueLines = 4096

// writeMost bounds the bytes of one write, but for a single line that is longer: more than
// that may reach the reader of a pipe in parts, among other writers' lines.
const writeMost = 4 << 10

// flushTick is how often a flush looks whether all is written.
const flushTick = 5 * time.Millisecond

// Async writes lines in the background and never blocks its callers. Close
// writes what waits.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	waiting atomic.Int64
	wg      sync.WaitGroup
	once    sync.Once
}

// NewAsync returns a writer in front of out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueLines)}
	a.wg.Go(a.run)
	return a
}

// Write queues one line, or drops it if the queue is full.
func (a *Async) Write(p []byte) (int, error) {
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
func (a *Async) Flush(most time.Duration) {
	for deadline := time.Now().Add(most); a.waiting.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushTick)
	}
}

// Dropped counts the lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Sync implements zapcore.WriteSyncer; lines are written as they come.
func (a *Async) Sync() error { return nil }

// Close writes what waits. Nothing may be written after it.
func (a *Async) Close() error {
	a.once.Do(func() { close(a.lines) })
	a.wg.Wait()
	return nil
}

// run writes lines, several in one call where several wait.
func (a *Async) run() {
	var buf []byte
	n := int64(0)
	write := func() {
		_, _ = a.out.Write(buf) // there is nowhere else to report it
		a.waiting.Add(-n)
		buf, n = buf[:0], 0
	}
	for line := range a.lines {
		if n > 0 && len(buf)+len(line) > writeMost {
			write()
		}
		buf = append(buf, line...)
		if n++; len(a.lines) == 0 {
			write()
		}
	}
}
