package systemtest

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

const (
	// pressFor is how long a started instance is sent requests from its start on, each
	// pressEvery: longer than it may take to become ready.
	pressFor   = 4 * time.Second
	pressEvery = 15 * time.Millisecond
)

// press sends requests with the bodies to an instance in turn, as a client does that keeps an
// address and asks nobody whether the instance is ready. It returns the statuses by body, and
// how long it took until a sound request was served.
func (e *entry) press(bodies []string) (statuses map[int]int, served time.Duration) {
	statuses = map[int]int{}
	began := time.Now()
	for n := 0; time.Since(began) < pressFor; n++ {
		id := fmt.Sprintf("press-%s-%d-%d", e.id, began.UnixNano(), n)
		if r, err := e.do(http.MethodPost, plainPrefix+"bids", id, []byte(bodies[n%len(bodies)])); err == nil {
			statuses[r.status]++
		}
		if served == 0 {
			if r, err := e.do(http.MethodPost, plainPrefix+"bids", id+"-sound", []byte("sound")); err == nil && r.status == http.StatusOK {
				served = time.Since(began)
			}
		}
		time.Sleep(pressEvery)
	}
	return statuses, served
}

// Guards against: an instance that forwards before it knows which requests are held.
func TestStartingInstanceSendsNothingThatIsHeld(t *testing.T) {
	others := func(s *site, n int) []*entry {
		c := s.coordinator()
		return slices.DeleteFunc(slices.Clone(s.entries), func(e *entry) bool { return e == c })[:n]
	}
	one := func(s *site) []*entry { return others(s, 1) }
	for name, c := range map[string]struct {
		hubsFrom, held int
		// down are the instances that are killed; then is what happens beside their start.
		down func(*site) []*entry
		then func(*site)
	}{
		"one":                     {down: one},
		"one and the coordinator": {down: func(s *site) []*entry { return append(others(s, 1), s.coordinator()) }},
		"all":                     {down: func(s *site) []*entry { return s.entries }},
		"most, behind hubs":       {hubsFrom: 4, down: func(s *site) []*entry { return others(s, 4) }},
		"all, behind hubs":        {hubsFrom: 4, down: func(s *site) []*entry { return s.entries }},
		"one of many held":        {held: 18, down: one},
		"all of many held":        {held: 18, down: func(s *site) []*entry { return s.entries }},
		"one, the store slow": {down: one, then: func(s *site) {
			s.storeFor(standin.StoreFaults{Slow: 250 * time.Millisecond}, pressFor)
		}},
		"all, the store away": {down: func(s *site) []*entry { return s.entries }, then: func(s *site) {
			s.storeFor(standin.StoreFaults{Down: true}, pressFor/3)
		}},
		"one, the store busy": {down: one, then: func(s *site) {
			s.storeFor(standin.StoreFaults{Busy: true}, pressFor/3)
		}},
		"one, the coordinator frozen": {down: one, then: func(s *site) {
			e := s.coordinator()
			e.signal(syscall.SIGSTOP)
			time.Sleep(pressFor / 2)
			e.signal(syscall.SIGCONT)
		}},
		"one, cut off from the store": {down: one, then: func(s *site) {
			for _, e := range others(s, 1) {
				e.storeLink.set(linkFaults{HoldUp: true, HoldDown: true})
				time.Sleep(pressFor / 2)
				e.storeLink.set(linkFaults{})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := options{entries: 5, engines: 1, plains: 4, crashes: crashDown, links: true}
			if c.hubsFrom > 0 {
				o.entries, o.hubsFrom = 7, c.hubsFrom
			}
			s := startSite(t, o)
			s.awaitMembers()
			bodies := s.holdMany(max(c.held, 1))
			runs := map[string]int{}
			for _, b := range bodies {
				runs[b] = len(s.runsOf(b))
			}
			down := c.down(s)
			for _, e := range down {
				e.kill()
			}
			var wg sync.WaitGroup
			for _, e := range down {
				e.start()
				wg.Go(func() {
					statuses, served := e.press(bodies)
					t.Logf("%s: a sound request served after %s; answers to held ones: %v", e.id, served, statuses)
					if served == 0 {
						t.Errorf("%s served no request in %s", e.id, pressFor)
					}
					if statuses[http.StatusBadGateway] > 0 || statuses[http.StatusOK] > 0 {
						t.Errorf("%s answered held requests with %v", e.id, statuses)
					}
				})
			}
			if c.then != nil {
				c.then(s)
			}
			wg.Wait()
			for _, b := range bodies {
				if n := len(s.runsOf(b)); n > runs[b] {
					t.Errorf("%q ran %d times more after the start", b, n-runs[b])
				}
			}
		})
	}
}

func (s *site) storeFor(f standin.StoreFaults, span time.Duration) {
	s.store.SetFaults(f)
	time.Sleep(span)
	s.store.SetFaults(standin.StoreFaults{})
}

// holdMany has so many requests held, and waits until all instances and the store know.
func (s *site) holdMany(n int) (bodies []string) {
	s.t.Helper()
	for i := range n {
		body := fmt.Sprintf("%s at start %d", standin.CrashingBody, i)
		bodies = append(bodies, body)
		s.hold(body)
	}
	eventually(s.t, "what is held in the store", func() bool { return s.store.Spec("currantford-quarantine", "held") != nil })
	time.Sleep(contact)
	return bodies
}
