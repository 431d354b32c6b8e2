package systemtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestBidsOverFaultyLinkRunAtMostOnce guards against a bid that is recorded twice, or refused
// although it was recorded or may still be.
//
// While bids are in progress, the link between the instance and a service loses answers, loses
// requests, or is reset; then it recovers and delivers the bytes that it held. The fault occurs if,
// after the bid's bytes have left the instance, the bid is sent to another target or reported as
// not run.
func TestBidsOverFaultyLinkRunAtMostOnce(t *testing.T) {
	t.Parallel()
	faults := map[string]linkFaults{
		"answers held":  {HoldDown: true},
		"requests held": {HoldUp: true},
		"silent":        {HoldUp: true, HoldDown: true},
		"slow":          {Delay: 200 * time.Millisecond},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 2, engines: 1, plainTargets: 3, links: true})
			statuses := s.sendBidsDuring(t, func() {
				for _, p := range s.plainLinks {
					p.setFaults(f)
				}
				time.Sleep(700 * time.Millisecond)
				for _, p := range s.plainLinks {
					p.reset()
				}
				time.Sleep(700 * time.Millisecond)
				for _, p := range s.plainLinks {
					p.setFaults(linkFaults{})
				}
			})
			t.Logf("answers by status: %v", statuses)
		})
	}
}

// sendBidsDuring sends bids to all instances while fault runs and until the held bytes have
// arrived. It checks each bid and returns the number of answers by status.
func (s *deployment) sendBidsDuring(t *testing.T, fault func()) map[int]int {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	byID, counts := map[string]int{}, map[int]int{}
	stop := make(chan struct{})
	for i, e := range s.entries {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				id := fmt.Sprintf("bid-%d-%d", i, n)
				wg.Go(func() {
					r := e.post("/bids/a", id, "100")
					mu.Lock()
					defer mu.Unlock()
					byID[id] = r.status
					counts[r.status]++
				})
			}
		})
	}
	fault()
	close(stop)
	wg.Wait()
	time.Sleep(500 * time.Millisecond) // the bytes that the links held have arrived by then
	for id, status := range byID {
		n := countRuns(s.plainTargets, id)
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		if n > 0 && status == http.StatusServiceUnavailable {
			t.Errorf("%s was refused as not run, but ran", id)
		}
		if n == 0 && status == http.StatusOK {
			t.Errorf("%s was answered with 200, but has not run", id)
		}
	}
	return counts
}

// TestReadingsAvoidUnresponsiveLink guards against log readings that fail although the service has
// healthy targets.
//
// The link to one of two targets becomes unresponsive, and no connection is reset.
func TestReadingsAvoidUnresponsiveLink(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 1, plainTargets: 2, links: true})
	s.plainLinks[0].setFaults(linkFaults{HoldUp: true, HoldDown: true})
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		if r := s.entries[i%2].post(plainPrefix+"a", id, "x"); r.status != http.StatusOK {
			t.Errorf("request %s: status %d, want 200", id, r.status)
		}
	}
}

// TestCoordinatorPartitionedFromStore guards against conflicting orders of two coordinators, and
// against a lost step, if only the coordinator is cut off from the store.
//
// During a step the link between the coordinator and the store is cut in one direction, each
// direction in turn, and the coordinator cannot reach the store through another instance. Another
// instance takes over; then the link recovers and delivers late the bytes that it held.
func TestCoordinatorPartitionedFromStore(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]linkFaults{"answers held": {HoldDown: true}, "requests held": {HoldUp: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startDeployment(t, options{entries: 3, engines: 3, links: true, eventInterval: 20 * time.Millisecond, policy: map[string]any{"no_store_relay": true}})
			before := s.coordinator()
			b := newStep("b1", "m0", 3, 4, 40)
			s.submitUntilAccepted(b)
			time.Sleep(200 * time.Millisecond)
			before.storeLink.setFaults(f)
			after := s.awaitCoordinator(before.id)
			s.readAll(b)
			before.storeLink.setFaults(linkFaults{})
			c := newStep("b2", "m0", 2, 4, 10)
			s.submitUntilAccepted(c)
			s.readAll(c)
			checkWeightOrders(t, s)
			t.Logf("the lease moved from %s to %s", before.id, after.id)
		})
	}
}

// TestPartitionedCoordinatorKeepsLease guards against a step that starts again when it is almost
// done, although no process and no target has failed.
//
// During a step the coordinator's link to the store is cut for longer than its lease is valid,
// while all other instances reach the store. The fault occurs if the coordinator cannot renew its
// lease and list results through other instances: another instance then takes over without the text
// generated so far.
func TestPartitionedCoordinatorKeepsLease(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 3, engines: 2, plainTargets: 2, eventInterval: 30 * time.Millisecond, links: true})
	b := withRewards(newStep("b1", "m0", 4, 4, 30))
	s.submitUntilAccepted(b)
	eventually(t, "runs", func() bool { return len(s.engineRuns()) > 0 })
	c := s.coordinator()
	c.storeLink.setFaults(linkFaults{HoldUp: true, HoldDown: true})
	s.announceVersion("m0", 2)
	s.readAll(b)
	next := newStep("b2", "m0", 2, 4, 20)
	next.MinVersion = 2
	s.submitUntilAccepted(next)
	s.readAll(next)
	if s.coordinator() != c {
		t.Error("the lease moved to another entry")
	}
	s.checkRanOnce()
	c.storeLink.setFaults(linkFaults{})
}
