package cflog

import (
	"bytes"
	"strings"
	"testing"
)

// writeRecorder records each write separately. The first write blocks until the other lines are
// queued.
type writeRecorder struct {
	begin chan struct{}
	all   [][]byte
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	<-w.begin
	w.all = append(w.all, bytes.Clone(p))
	return len(p), nil
}

// TestBurstIsWrittenInWholeLines guards against lost or split lines in a burst, caused by writes
// larger than a pipe takes atomically.
func TestBurstIsWrittenInWholeLines(t *testing.T) {
	out := &writeRecorder{begin: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 450) + "\n")
	long := []byte(strings.Repeat("y", 3*maxWriteBytes) + "\n")
	const lines = 300
	for n := range lines {
		if n == lines/2 {
			_, _ = a.Write(long)
		}
		_, _ = a.Write(line)
	}
	close(out.begin)
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	got := 0
	for _, w := range out.all {
		if len(w) > maxWriteBytes && !bytes.Equal(w, long) {
			t.Errorf("write of %d bytes, want at most %d", len(w), maxWriteBytes)
		}
		if w[len(w)-1] != '\n' {
			t.Error("write ends within a line")
		}
		got += bytes.Count(w, []byte("\n"))
	}
	if got != lines+1 || len(out.all) > lines/4 {
		t.Errorf("%d lines in %d writes, want %d lines in few writes", got, len(out.all), lines+1)
	}
}
