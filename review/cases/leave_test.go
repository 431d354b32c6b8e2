//go:build review

package cases

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["leave"] = leaveCase }

const (
	drainTime = 2000 * time.Millisecond
	// servesOn is how much longer than drain-ms a server goes on serving.
	servesOn = 350 * time.Millisecond
	beatTime = 1200 * time.Millisecond
	bidTime  = 60 * time.Millisecond
	bidEvery = 9 * time.Millisecond
	// A watch that is repeated at once waits again within repeatTime. A front repeats a watch that
	// was cut off at least minRepeats times, itself and through another front.
	repeatTime = 40 * time.Millisecond
	minRepeats = 3
	// roundTime is the time from one server's leaving to the next, longer than contact-ms.
	roundTime = 4500 * time.Millisecond
)

// watchedStore is the store as one front reaches it. It can cut off watches that wait.
type watchedStore struct {
	w     *world
	front string

	mu      sync.Mutex
	waiting map[*context.CancelFunc]time.Time
	lastCut time.Time
}

func (s *watchedStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/servers") || r.URL.Query().Get("watch") == "" {
		s.w.store.ServeHTTP(rw, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	s.waiting[&cancel] = time.Now()
	s.mu.Unlock()
	s.w.store.ServeHTTP(rw, r.WithContext(ctx))
	s.mu.Lock()
	delete(s.waiting, &cancel)
	s.mu.Unlock()
	if ctx.Err() != nil && r.Context().Err() == nil {
		panic(http.ErrAbortHandler) // closes the channel
	}
}

// cutRepeats cuts off the waiting watches, and what repeats them at once.
func cutRepeats(stores map[string]*watchedStore) {
	var last time.Time
	for n, until := 0, time.Now().Add(2*time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if time.Since(last) > repeatTime {
			if n >= minRepeats {
				return
			}
			n = 0
		}
		cut := 0
		for _, s := range stores {
			cut += s.cut()
		}
		if cut > 0 {
			n += cut
			last = time.Now()
		}
	}
}

// cut cuts off the watches that have been waiting for a moment. It returns their number.
func (s *watchedStore) cut() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cancel, since := range s.waiting {
		if time.Since(since) < 10*time.Millisecond {
			continue
		}
		(*cancel)()
		delete(s.waiting, cancel)
		s.lastCut = time.Now()
		s.w.log("watch_cut", "entry", s.front)
		n++
	}
	return n
}

// calmSince reports whether no watch of this front was cut off after t.
func (s *watchedStore) calmSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastCut.After(t)
}

// bidder is a server that records bids.
type bidder struct {
	w      *world
	id     string
	addr   string
	server *http.Server

	mu    sync.Mutex
	began map[string]time.Time
	gone  time.Time // when its entry was removed
}

func (b *bidder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Currantford-Request-Id")
	if r.Method == http.MethodGet {
		return // a health probe
	}
	rw.Header().Set("Currantford-Request-Id", id)
	if want := r.Header.Get("Currantford-Expect-Instance"); want != "" && want != b.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.began[id] = time.Now()
	b.mu.Unlock()
	b.w.log("run", "server", b.id, "id", id)
	time.Sleep(bidTime)
	rw.Header().Set("Currantford-Response-Stamp", "stamp."+id)
	_, _ = io.WriteString(rw, "taken")
}

// leaveCase: four servers are replaced one after the other, and one of the new ones too. The servers
// that leave don't report that they drain: their entry is removed, and they serve for drain-ms and
// 0.35 s more. Shortly before each removal the store cuts off the waiting watch of the servers, and
// its repeats. No request that was taken and passed on by a front whose own watches were not cut off
// may reach a server later than drain-ms after the store removed its entry.
func leaveCase(w *world) ([]string, error) {
	w.configure(2, []map[string]any{{
		"name": "r-lots", "host": siteHost, "path-prefix": "/lot/", "kind": "unsafe", "timeout-ms": 2000, "slo-ms": 500, "priority": 1, "service": "lots", "max-attempts": 3,
	}}, map[string]any{"name": "lots", "health-path": "/health", "max-conns": 150})
	var bidders []*bidder
	stop := make(chan struct{})
	defer close(stop)
	add := func() error {
		b := &bidder{w: w, id: fmt.Sprintf("i-lots-%d", len(bidders)), began: map[string]time.Time{}}
		var err error
		if b.addr, err = w.serve(b); err != nil {
			return err
		}
		b.server = w.servers[len(w.servers)-1]
		bidders = append(bidders, b)
		w.list(b.id, "lots", b.addr, "ready", 12)
		go func() {
			for seq := 1; ; seq++ {
				select {
				case <-time.After(beatTime):
				case <-stop:
					return
				}
				b.mu.Lock()
				if b.gone.IsZero() {
					w.store.Put("servers", b.id, map[string]any{
						"service": "lots", "addr": b.addr, "zone": "zone-a", "version": "v1", "slots": 12, "state": "ready", "cold-left-ms": 0, "seq": seq,
					})
				}
				b.mu.Unlock()
			}
		}()
		return nil
	}
	for range 4 {
		if err := add(); err != nil {
			return nil, err
		}
	}
	stores := map[string]*watchedStore{}
	if err := w.start(7, func(i int) string {
		s := &watchedStore{w: w, front: fmt.Sprintf("front-%d", i), waiting: map[*context.CancelFunc]time.Time{}}
		addr, err := w.serve(s)
		if err != nil {
			return w.addrs.store
		}
		stores[s.front] = s
		return addr
	}); err != nil {
		return nil, err
	}
	type bid struct {
		entry  *entry
		status string
	}
	var mu sync.Mutex
	bids := map[string]*bid{}
	var wg sync.WaitGroup
	transports := map[*entry]*http.Transport{}
	for _, e := range w.entries {
		transports[e] = &http.Transport{MaxIdleConnsPerHost: 50}
	}
	sending := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-sending:
				return
			case <-time.After(bidEvery):
			}
			id := fmt.Sprintf("b1d0%012x", n)
			x := &bid{entry: w.entries[n%len(w.entries)], status: "none"}
			mu.Lock()
			bids[id] = x
			mu.Unlock()
			wg.Go(func() {
				w.log("sent", "id", id, "entry", x.entry.id)
				status := "no answer"
				resp, err := transports[x.entry].RoundTrip(newRequest(http.MethodPost, x.entry.callers, "/lot/7/bid", id, 2*time.Second))
				if err == nil {
					status = resp.Status
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				w.log("answered", "id", id, "status", status)
				mu.Lock()
				x.status = status
				mu.Unlock()
			})
		}
	})
	time.Sleep(4 * time.Second) // calm for longer than contact-ms
	for round := range 5 {
		if err := add(); err != nil {
			return nil, err
		}
		b := bidders[round]
		time.Sleep(roundTime - drainTime)
		c := w.coordinator()
		w.log("coordinator", "entry", c.id)
		if w.trouble {
			cutRepeats(stores)
		}
		b.mu.Lock()
		w.store.Remove("servers", b.id)
		b.gone = time.Now()
		b.mu.Unlock()
		w.log("removed", "server", b.id)
		time.AfterFunc(drainTime+servesOn, func() {
			w.log("exit", "server", b.id)
			_ = b.server.Close()
		})
		time.Sleep(drainTime)
	}
	time.Sleep(time.Second)
	close(sending)
	wg.Wait()
	var broken []string
	late, lost := 0, 0
	for _, b := range bidders {
		b.mu.Lock()
		for id, began := range b.began {
			x := bids[id]
			if b.gone.IsZero() || x == nil || began.Sub(b.gone) <= drainTime || !stores[x.entry.id].calmSince(b.gone.Add(-3*time.Second)) {
				continue
			}
			late++
			if !strings.HasPrefix(x.status, "200") {
				lost++
			}
			broken = append(broken, fmt.Sprintf("DRAIN: bid %s, taken by %s, reaches %s %d ms after the store removed its entry (2,000 are allowed); its consumer gets %s",
				id, x.entry.id, b.id, began.Sub(b.gone).Milliseconds(), x.status))
		}
		b.mu.Unlock()
	}
	w.log("bids", "sent", len(bids), "late", late, "late_and_lost", lost)
	if len(bids) < 500 {
		return broken, fmt.Errorf("%w: too few bids", errNotRun)
	}
	return broken, nil
}
