//go:build review

package cases

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	pieceTime = 35 * time.Millisecond
	// Lengths of streams as in the site file of quinlan-ring: 19.3 pieces in the mean, 139 at most.
	usualPieces, mostPieces = 17.0, 139
)

// writer is a server that answers requests with streams.
type writer struct {
	w  *world
	id string

	mu     sync.Mutex
	pieces map[string]int // of a request, as drawn by its client
	made   map[string]int
	done   map[string]bool
	gone   map[string]bool // the channel was closed before the end
}

func (s *writer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Currantford-Request-Id")
	rw.Header().Set("Currantford-Request-Id", id)
	if want := r.Header.Get("Currantford-Expect-Instance"); want != "" && want != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	n := s.pieces[id]
	s.made[id] = 0
	s.mu.Unlock()
	s.w.log("run", "server", s.id, "id", id, "pieces", n)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Currantford-Response-Stamp", "stamp."+id)
	flush := http.NewResponseController(rw)
	for i := 1; i <= n; i++ {
		select {
		case <-time.After(pieceTime):
		case <-r.Context().Done():
			s.mu.Lock()
			s.gone[id] = true
			s.mu.Unlock()
			s.w.log("run_cut", "id", id, "pieces", i-1)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = flush.Flush()
		s.mu.Lock()
		s.made[id] = i
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.done[id] = true
	s.mu.Unlock()
	s.w.log("run_end", "id", id)
}

// stopCase: one of three fronts gets SIGTERM. Consumers that hold its address, which they may for
// three times the ttl of 1.5 s, go on sending streams to it. Three of the streams
// are long, though not longer than the site file allows. A stream that was sent later than 3 s after the SIGTERM must not be broken off.
func stopCase(w *world) ([]string, error) {
	w.configure(2, []map[string]any{{
		"name": "r-write", "host": siteHost, "path-prefix": streamFor, "kind": "stream", "timeout-ms": 10000, "slo-ms": 500, "priority": 1,
		"service": "writers", "max-attempts": 3,
	}}, map[string]any{"name": "writers", "health-path": "/health", "max-conns": 150})
	s := &writer{w: w, id: "i-writer-0", pieces: map[string]int{}, made: map[string]int{}, done: map[string]bool{}, gone: map[string]bool{}}
	addr, err := w.serve(s)
	if err != nil {
		return nil, err
	}
	w.list(s.id, "writers", addr, "ready", 120)
	if err := w.start(3, nil); err != nil {
		return nil, err
	}
	stopped := w.entries[0]
	if stopped == w.coordinator() {
		stopped = w.entries[1]
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var sigterm time.Time
	send := func(n, pieces int) {
		id := fmt.Sprintf("%08x%08x", rng.Uint32(), n)
		s.mu.Lock()
		s.pieces[id] = pieces
		s.mu.Unlock()
		after := time.Duration(-1)
		if !sigterm.IsZero() {
			after = time.Since(sigterm)
		}
		wg.Go(func() {
			outcome, got := sendStream(w, stopped.callers, id, pieces)
			s.mu.Lock()
			_, ran := s.made[id]
			s.mu.Unlock()
			w.log("answered", "id", id, "outcome", outcome, "pieces", got, "of", pieces, "after_sigterm_ms", after.Milliseconds())
			if ran && outcome == "cut" && after > 3*time.Second {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("LOST: stream %s, sent %d ms after the SIGTERM and passed on to a sound server, ends after %d of %d pieces without its end",
					id, after.Milliseconds(), got, pieces))
			}
		})
	}
	// Usual traffic: 5 streams a second for 12 s, none of them from the tail.
	n := 0
	for range 60 {
		send(n, usualLength(rng))
		n++
		time.Sleep(200 * time.Millisecond)
	}
	sigterm = time.Now()
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
	}
	// It goes on for 4.4 s, less than three times the ttl. Three of these streams are long.
	for i := range 22 {
		pieces := usualLength(rng)
		if i == 16 || i == 18 || i == 20 {
			pieces = mostPieces
		}
		send(n, pieces)
		n++
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	return broken, nil
}

// usualLength draws the length of a stream that is not of the tail.
func usualLength(rng *rand.Rand) int {
	return min(max(int(usualPieces*math.Exp(rng.NormFloat64()*0.4)), 4), 48)
}

// sendStream sends one request on a channel of its own and reads its answer. The outcome is
// complete, refused (with its status), or cut.
func sendStream(w *world, entry, id string, pieces int) (outcome string, got int) {
	r := newRequest(http.MethodPost, entry, streamFor+"a", id, 9*time.Second)
	r.Header.Set("Currantford-Tokens-Used", "271,8000")
	w.log("sent", "id", id, "pieces", pieces)
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return "no answer: " + err.Error(), 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "refused " + strconv.Itoa(resp.StatusCode), 0
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			got++
		}
	}
	if lines.Err() != nil || got != pieces {
		return "cut", got
	}
	return "complete", got
}
