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
	// probeDuration is how long requests are sent to a starting instance, one each probeInterval.
	// It is longer than an instance may take to become ready.
	probeDuration = 4 * time.Second
	probeInterval = 15 * time.Millisecond
)

// probe sends requests with the given bodies in turn, as a client does that has an instance's
// address and does not check its readiness. It returns the number of answers by status, and the
// time until another request with a harmless body first succeeded.
func (e *entry) probe(bodies []string) (statuses map[int]int, served time.Duration) {
	statuses = map[int]int{}
	began := time.Now()
	for n := 0; time.Since(began) < probeDuration; n++ {
		id := fmt.Sprintf("press-%s-%d-%d", e.id, began.UnixNano(), n)
		if r, err := e.do(http.MethodPost, plainPrefix+"bids", id, []byte(bodies[n%len(bodies)])); err == nil {
			statuses[r.status]++
		}
		if served == 0 {
			if r, err := e.do(http.MethodPost, plainPrefix+"bids", id+"-sound", []byte("sound")); err == nil && r.status == http.StatusOK {
				served = time.Since(began)
			}
		}
		time.Sleep(probeInterval)
	}
	return statuses, served
}

// startCases are the conditions under which instances start while others run.
var startCases = map[string]startCase{
	"one":                     {down: oneInstance},
	"one and the coordinator": {down: func(s *deployment) []*entry { return append(oneInstance(s), s.coordinator()) }},
	"all":                     {down: allInstances},
	"most, with hubs":         {hubThreshold: 4, down: func(s *deployment) []*entry { return s.nonCoordinators(4) }},
	"all, with hubs":          {hubThreshold: 4, down: allInstances},
	"one, store slow": {down: oneInstance, onStart: func(s *deployment, _ []*entry) {
		s.withStoreFaults(standin.StoreFaults{ResponseDelay: 250 * time.Millisecond}, probeDuration)
	}},
	"all, store down": {down: allInstances, onStart: func(s *deployment, _ []*entry) {
		s.withStoreFaults(standin.StoreFaults{Down: true}, probeDuration/3)
	}},
	"one, store busy": {down: oneInstance, onStart: func(s *deployment, _ []*entry) {
		s.withStoreFaults(standin.StoreFaults{Busy: true}, probeDuration/3)
	}},
	"one, others frozen": {
		down: oneInstance,
		beforeStart: func(s *deployment, down []*entry) {
			s.signalExcept(down, syscall.SIGSTOP)
		},
		onStart: func(s *deployment, down []*entry) {
			time.Sleep(probeDuration / 2)
			s.signalExcept(down, syscall.SIGCONT)
		},
	},
	"one, partitioned from the store": {down: oneInstance, onStart: func(_ *deployment, down []*entry) {
		for _, e := range down {
			e.storeLink.setFaults(linkFaults{HoldUp: true, HoldDown: true})
			time.Sleep(probeDuration / 2)
			e.storeLink.setFaults(linkFaults{})
		}
	}},
}

// startCase is one such condition.
type startCase struct {
	hubThreshold int
	// down returns the instances that are killed and started again. beforeStart is called while
	// they are down, and onStart as soon as they have been started.
	down                 func(*deployment) []*entry
	beforeStart, onStart func(s *deployment, down []*entry)
}

func oneInstance(s *deployment) []*entry  { return s.nonCoordinators(1) }
func allInstances(s *deployment) []*entry { return s.entries }

// nonCoordinators returns n instances that are not the coordinator.
func (s *deployment) nonCoordinators(n int) []*entry {
	c := s.coordinator()
	return slices.DeleteFunc(slices.Clone(s.entries), func(e *entry) bool { return e == c })[:n]
}

func (s *deployment) signalExcept(except []*entry, sig syscall.Signal) {
	for _, e := range s.entries {
		if !slices.Contains(except, e) {
			e.signal(sig)
		}
	}
}

// options returns the options of a deployment for the case.
func (c startCase) options() options {
	o := options{entries: 5, engines: 1, plainTargets: 4, crashDowntime: crashDowntime, links: true}
	if c.hubThreshold > 0 {
		o.entries, o.hubThreshold = 7, c.hubThreshold
	}
	return o
}

// play kills instances and starts them again, and runs afterStart for each, concurrently, as soon
// as it has been started. If whileDown is not nil, it is called while they are down.
func (c startCase) play(s *deployment, whileDown func(), afterStart func(e *entry)) {
	down := slices.Clone(c.down(s))
	for _, e := range down {
		e.kill()
	}
	if c.beforeStart != nil {
		c.beforeStart(s, down)
	}
	if whileDown != nil {
		whileDown()
	}
	var wg sync.WaitGroup
	for _, e := range down {
		e.start()
		wg.Go(func() { afterStart(e) })
	}
	if c.onStart != nil {
		c.onStart(s, down)
	}
	wg.Wait()
}

// TestStartingInstanceSendsNoQuarantinedRequest guards against an instance that forwards requests
// before it knows which are quarantined.
func TestStartingInstanceSendsNoQuarantinedRequest(t *testing.T) {
	const manyHeld = 18 // more than one update contains
	for name, c := range startCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkQuarantineAfterStart(t, c, 1)
		})
	}
	for _, name := range []string{"one", "all"} {
		t.Run(name+", many quarantined", func(t *testing.T) {
			t.Parallel()
			checkQuarantineAfterStart(t, startCases[name], manyHeld)
		})
	}
}

func checkQuarantineAfterStart(t *testing.T, c startCase, held int) {
	s := startDeployment(t, c.options())
	s.awaitMembership()
	bodies := s.quarantineMany(held)
	runs := map[string]int{}
	for _, b := range bodies {
		runs[b] = len(s.runStartTimes(b))
	}
	c.play(s, nil, func(e *entry) {
		statuses, served := e.probe(bodies)
		t.Logf("%s: first harmless request served after %s; answers to quarantined ones by status: %v", e.id, served, statuses)
		if served == 0 {
			t.Errorf("%s served no harmless request in %s", e.id, probeDuration)
		}
		if statuses[http.StatusBadGateway] > 0 || statuses[http.StatusOK] > 0 {
			t.Errorf("%s answered quarantined requests by status: %v, want no 200 and no 502", e.id, statuses)
		}
	})
	for _, b := range bodies {
		if n := len(s.runStartTimes(b)); n > runs[b] {
			t.Errorf("%q ran %d more times after the start", b, n-runs[b])
		}
	}
}

// TestStartingInstanceKnowsValidKeys guards against an instance that has just started and accepts a
// key which was revoked while it was down, or denies a valid key.
func TestStartingInstanceKnowsValidKeys(t *testing.T) {
	for name, c := range startCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := c.options()
			o.config = addOrganisations
			s := startDeployment(t, o)
			s.awaitMembership()
			c.play(s, func() {
				s.config["tenants"] = []map[string]any{organisation(orgA, 1, keyA), organisation(orgB, 2, keyB)}
				s.config["version"] = s.config["version"].(int) + 1
				s.store.Put("config", "main", s.config)
			}, func(e *entry) {
				revoked, valid := map[int]int{}, map[int]int{}
				for n, began := 0, time.Now(); time.Since(began) < probeDuration; n++ {
					id := fmt.Sprintf("key-%s-%d", e.id, n)
					if r, err := e.do(http.MethodPost, plainPrefix+"bids", id, []byte("x"), keyHeader(keyA2)...); err == nil {
						revoked[r.status]++
					}
					if r, err := e.do(http.MethodPost, plainPrefix+"bids", id+"-kept", []byte("x"), keyHeader(keyA)...); err == nil {
						valid[r.status]++
					}
					time.Sleep(probeInterval)
				}
				t.Logf("%s: answers by status: revoked key %v, valid key %v", e.id, revoked, valid)
				if revoked[http.StatusOK] > 0 || revoked[http.StatusUnauthorized] == 0 {
					t.Errorf("%s: answers to a revoked key by status: %v, want some 401 and no 200", e.id, revoked)
				}
				if valid[http.StatusOK] == 0 || valid[http.StatusUnauthorized] > 0 {
					t.Errorf("%s: answers to a valid key by status: %v, want some 200 and no 401", e.id, valid)
				}
			})
		})
	}
}

func (s *deployment) withStoreFaults(f standin.StoreFaults, duration time.Duration) {
	s.store.SetFaults(f)
	time.Sleep(duration)
	s.store.SetFaults(standin.StoreFaults{})
}

// quarantineMany quarantines n requests, and waits until all instances and the store know of it.
func (s *deployment) quarantineMany(n int) (bodies []string) {
	s.t.Helper()
	for i := range n {
		body := fmt.Sprintf("%s at start %d", standin.CrashingBody, i)
		bodies = append(bodies, body)
		s.quarantine(body)
	}
	eventually(s.t, "quarantine in the store", func() bool { return s.store.Spec("currantford-quarantine", "held") != nil })
	time.Sleep(propagationTime)
	return bodies
}
