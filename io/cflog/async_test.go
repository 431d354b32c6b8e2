package cflog

import (
	"bytes"
	"strings"
	"testing"
)

// writes keeps each write apart; the first waits until the others are queued.
type writes struct {
	begin chan struct{}
	all   [][]byte
}

func (w *writes) Write(p []byte) (int, error) {
	<-w.begin
	w.all = append(w.all, bytes.Clone(p))
	return len(p), nil
}

// Guards against: lines of a burst that are lost or torn, because one write was larger than a
// pipe takes whole.
func TestBurstIsWrittenInWholeLines(t *testing.T) {
	out := &writes{begin: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 450) + "\n")
	long := []byte(strings.Repeat("y", 3*writeBytes) + "\n")
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
		if len(w) > writeBytes && !bytes.Equal(w, long) {
			t.Errorf("a write of %d bytes, %d are taken whole", len(w), writeBytes)
		}
		if w[len(w)-1] != '\n' {
			t.Error("a write ends within a line")
		}
		got += bytes.Count(w, []byte("\n"))
	}
	if got != lines+1 || len(out.all) > lines/4 {
		t.Errorf("%d lines in %d writes, want %d in a few", got, len(out.all), lines+1)
	}
}
