//go:build review

// Package standin holds the stand-ins and the scripts' programs of the review's cases. It is built
// by review/build.sh only: its files have a tag.
package standin

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, in the order of time.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	lines []line
}

type line struct {
	at   time.Time
	text string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

func (r *recorder) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *recorder) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(f, "%9.3f s  %s\n", l.at.Sub(r.start).Seconds(), l.text); err != nil {
			_ = f.Close()
			return err
		}
	}
	return f.Close()
}
