//go:build review

package cases

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pause"] = pauseCase }

const (
	// pauseAfter is the piece after which a short memory preempts a stream, pauseTime how long it
	// stands still until it is read in again. Consumers wait for two seconds or more.
	pauseAfter = 4
	pauseTime  = 1500 * time.Millisecond
	// streamPieces is the length of each stream.
	streamPieces = 20
)

// engine is a model engine with streams that may be resumed. While its memory is short it preempts
// the newest stream for a while, and reads it in again.
type engine struct {
	w     *world
	id    string
	short bool

	mu   sync.Mutex
	runs int
}

func (s *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Currantford-Request-Id")
	rw.Header().Set("Currantford-Request-Id", id)
	if want := r.Header.Get("Currantford-Expect-Instance"); want != "" && want != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	from := 0
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
	s.w.log("run", "server", s.id, "id", id, "resume_after", from)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Currantford-Weight-Versions", "1")
	rw.Header().Set("Currantford-Response-Stamp", "stamp."+id)
	flush := http.NewResponseController(rw)
	for i := from + 1; i <= streamPieces; i++ {
		wait := pieceTime
		if s.short && i == from+1+pauseAfter {
			s.w.log("preempted", "server", s.id, "id", id, "after", i-1)
			wait = pauseTime
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			s.w.log("run_cut", "server", s.id, "id", id, "after", i-1)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = flush.Flush()
	}
	s.w.log("run_end", "server", s.id, "id", id)
}

// pauseCase: a front gets SIGHUP. Streams that were sent up to config-ms after it meet engines that
// preempt their newest request for 1.5 s and then go on. No stream may be broken off: the engines are
// at work, and an engine's silence is no reason to end an answer.
func pauseCase(w *world) ([]string, error) {
	w.configure(2, []map[string]any{{
		"name": "r-write", "host": siteHost, "path-prefix": streamFor, "kind": "stream", "can-resume": true, "timeout-ms": 10000, "slo-ms": 500, "priority": 1,
		"service": "writers", "max-attempts": 3,
	}}, map[string]any{"name": "writers", "health-path": "/health", "max-conns": 150})
	for i := range 3 {
		s := &engine{w: w, id: fmt.Sprintf("i-writer-%d", i), short: w.trouble}
		addr, err := w.serve(s)
		if err != nil {
			return nil, err
		}
		w.list(s.id, "writers", addr, "ready", 12)
	}
	if err := w.start(3, nil); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // calm for longer than contact-ms
	e := w.entries[0]
	e.signal(syscall.SIGHUP)
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for n := range 6 {
		id := fmt.Sprintf("5712a0e4%08x", n)
		wg.Go(func() {
			began := time.Now()
			outcome, got := sendStream(w, e.callers, id, streamPieces)
			took := time.Since(began)
			w.log("answered", "id", id, "outcome", outcome, "pieces", got, "of", streamPieces, "took_ms", took.Milliseconds())
			if outcome == "cut" && took < 7*time.Second {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("LOST: stream %s ends after %d of %d pieces and %d ms, with engines at work and 9,000 ms allowed", id, got, streamPieces, took.Milliseconds()))
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	return broken, nil
}
