package cflog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"currantford/io/cflog"
)

// records takes each write as one record, as readers of a pipe do. The first waits until it is
// told to go on.
type records struct {
	goOn   chan struct{}
	writes [][]byte
}

func (r *records) Write(p []byte) (int, error) {
	<-r.goOn
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against: lines of a burst that are missing where the log is kept, as its reader takes no
// more than some KiB of one write.
func TestBurstOfLinesIsWrittenInSmallParts(t *testing.T) {
	const lines, most = 500, 4096
	out := &records{goOn: make(chan struct{})}
	a := cflog.NewAsync(out)
	var want bytes.Buffer
	for n := range lines {
		line := fmt.Sprintf("%d %s\n", n, strings.Repeat("x", n%400))
		if n == lines/2 {
			line = strings.Repeat("y", 2*most) + "\n"
		}
		want.WriteString(line)
		_, _ = a.Write([]byte(line))
	}
	close(out.goOn)
	_ = a.Close()
	for _, w := range out.writes {
		if len(w) > most && bytes.Count(w, []byte("\n")) > 1 {
			t.Errorf("a write of %d bytes with several lines, want %d bytes at most", len(w), most)
		}
	}
	if got := bytes.Join(out.writes, nil); !bytes.Equal(got, want.Bytes()) {
		t.Errorf("%d bytes written, want %d", len(got), want.Len())
	}
	if len(out.writes) > want.Len()/(most/2) {
		t.Errorf("%d writes for %d bytes", len(out.writes), want.Len())
	}
}
