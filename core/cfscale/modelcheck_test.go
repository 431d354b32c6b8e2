package cfscale

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	cf "currantford"
)

const (
	maxFaults  = 3
	maxChanges = 3
	maxDepth   = 20
	// clockTick is longer than the time in which an unanswered order may take effect.
	clockTick = maxOrderDelay + maxRetryPause
)

// injectedFault is a fault in the protocol that the exploration must detect.
type injectedFault int

const (
	noFault                 injectedFault = iota
	assumeWritten                         // the holder assumes that an unanswered write took effect
	assumeOrdered                         // a successor assumes that the orders it reads were sent
	skipTermWrite                         // a successor does not write its term
	forgetUnconfirmedOrder                // an unanswered order is forgotten once another is accepted
	ignorePredecessorOrders               // a successor does not expect a late order of the previous holder
	forgetUnconfirmedWrite                // an unanswered write is forgotten once the store is read
)

type (
	// model is a state of the store, the platform and the holder of the lease. A previous holder
	// sends no more orders, but a write or an order that it sent may still take effect.
	model struct {
		rev           cf.Revision
		stored        *StoredState
		everStored    map[int]bool // counts that were stored at some time
		lateWrites    []lateWrite
		lateOrders    []int // unanswered orders that may still take effect
		platformCount int   // count of the last order that the platform received, -1 if none
		rec           Reconciler
		wantedCount   int // zero if nothing is wanted
		now           cf.Millis
		faults        int
		changes       int
	}

	lateWrite struct {
		rev   cf.Revision
		state StoredState
	}
)

var modelPool = cf.EnginePool{Service: "s", Domain: "a", Spot: true}

func (s *model) clone() *model {
	c := *s
	c.everStored, c.lateWrites, c.lateOrders = maps.Clone(s.everStored), slices.Clone(s.lateWrites), slices.Clone(s.lateOrders)
	c.rec.accepted, c.rec.retries, c.rec.unconfirmed = maps.Clone(s.rec.accepted), maps.Clone(s.rec.retries), maps.Clone(s.rec.unconfirmed)
	return &c
}

func (s *model) key() string {
	out := fmt.Sprint(s.rev, s.everStored, s.lateWrites, s.lateOrders, s.platformCount, s.wantedCount, s.now, s.faults, s.changes, s.rec)
	if s.stored != nil {
		out += fmt.Sprint(*s.stored)
	}
	return out
}

// write applies a write if its condition holds.
func (s *model) write(l lateWrite) bool {
	if l.rev != s.rev {
		return false
	}
	s.rev++
	state := l.state
	s.stored = &state
	s.everStored[state.Orders[0].Count] = true
	return true
}

var errNotStored = errors.New("an order was sent that was never stored")

func (s *model) order(count int) error {
	s.platformCount = count
	if !s.everStored[count] {
		return fmt.Errorf("%w: %d", errNotStored, count)
	}
	return nil
}

func (s *model) wanted() StoredState {
	if s.wantedCount == 0 {
		return StoredState{}
	}
	return StoredState{Orders: []cf.EngineOrder{{EnginePool: modelPool, Count: s.wantedCount}}}
}

func (s *model) action() Action {
	c := s.clone()
	return c.rec.Next(s.now, s.wanted(), func(cf.ServiceName) bool { return true })
}

// checkSettled checks a state in which nothing is in progress and nothing is due.
func (s *model) checkSettled() error {
	if len(s.lateWrites)+len(s.lateOrders) > 0 || s.stored == nil || s.action().Kind != ActionWait {
		return nil
	}
	if s.now < max(s.rec.retries[modelPool].until, s.rec.unconfirmed[modelPool].until) {
		return nil
	}
	count := s.stored.Orders[0].Count
	if len(s.rec.stored.Orders) > 0 && s.platformCount != count {
		return fmt.Errorf("stored count is %d, the platform received %d", count, s.platformCount)
	}
	return nil
}

// successors returns the states that may follow.
func (s *model) successors(fault injectedFault) (out []*model, err error) {
	add := func(f func(n *model) error) {
		n := s.clone()
		if e := f(n); e != nil {
			err = e
		}
		out = append(out, n)
	}
	faulty := func(f func(n *model) error) {
		if s.faults < maxFaults {
			add(func(n *model) error { n.faults++; return f(n) })
		}
	}
	for i := range s.lateWrites {
		add(func(n *model) error {
			l := n.lateWrites[i]
			n.lateWrites = slices.Delete(n.lateWrites, i, i+1)
			n.write(l)
			return nil
		})
	}
	for i := range s.lateOrders {
		add(func(n *model) error {
			count := n.lateOrders[i]
			n.lateOrders = slices.Delete(n.lateOrders, i, i+1)
			return n.order(count)
		})
	}
	if s.changes < maxChanges {
		for count := 1; count <= 2; count++ {
			if count != s.wantedCount {
				add(func(n *model) error { n.changes++; n.wantedCount = count; return nil })
			}
		}
	}
	if len(s.lateOrders) == 0 {
		add(func(n *model) error { n.now += clockTick; return nil })
	}
	// The holder is lost and another instance takes over. An order of the previous holder may be in
	// progress.
	faulty(func(n *model) error {
		if len(n.lateOrders) == 0 {
			n.now += clockTick
		}
		n.rec, n.wantedCount = *NewReconciler(n.rec.term+1, n.now), 0
		if fault == ignorePredecessorOrders {
			n.rec.settledAt = n.now
		}
		return nil
	})
	switch action := s.action(); action.Kind {
	case ActionRead:
		add(func(n *model) error {
			if n.stored == nil {
				n.rec.LoadedEmpty()
				return nil
			}
			n.rec.Loaded(*n.stored, n.rev)
			switch fault {
			case assumeOrdered:
				n.rec.OrderAccepted(n.stored.Orders[0], n.now)
			case skipTermWrite:
				n.rec.stored.Term = n.rec.term
			case forgetUnconfirmedWrite:
				n.rec.unconfirmedWrite = false
			}
			return nil
		})
	case ActionWrite:
		l := lateWrite{action.Rev, action.State}
		inDoubt := func(n *model) {
			if n.rec.WriteInDoubt(); fault == assumeWritten {
				n.rec.Written(action.State, action.Rev+1)
			}
		}
		add(func(n *model) error {
			if n.write(l) {
				n.rec.Written(action.State, n.rev)
			} else {
				n.rec.WriteInDoubt()
			}
			return nil
		})
		faulty(func(n *model) error { n.write(l); inDoubt(n); return nil })                             // the answer is lost
		faulty(func(n *model) error { n.lateWrites = append(n.lateWrites, l); inDoubt(n); return nil }) // the write takes effect later
		faulty(func(n *model) error { inDoubt(n); return nil })                                         // the write is lost
	case ActionOrder:
		inDoubt := func(n *model) {
			n.rec.OrderInDoubt(action.Order, n.now)
			if fault == forgetUnconfirmedOrder {
				clear(n.rec.unconfirmed)
			}
		}
		add(func(n *model) error { n.rec.OrderAccepted(action.Order, n.now); return n.order(action.Order.Count) })
		faulty(func(n *model) error { inDoubt(n); return n.order(action.Order.Count) })
		faulty(func(n *model) error { n.lateOrders = append(n.lateOrders, action.Order.Count); inDoubt(n); return nil })
		faulty(func(n *model) error { n.rec.OrderRejected(action.Order, n.now); return nil }) // refused
	}
	return out, err
}

func explore(fault injectedFault) (states, atRest int, err error) {
	start := &model{platformCount: -1, everStored: map[int]bool{}, rec: *NewReconciler(1, 0)}
	seen := map[string]bool{start.key(): true}
	frontier := []*model{start}
	for range maxDepth {
		var nextFrontier []*model
		for _, w := range frontier {
			next, err := w.successors(fault)
			if err != nil {
				return len(seen), atRest, err
			}
			for _, n := range next {
				if n.now > 4*clockTick {
					continue
				}
				k := n.key()
				if seen[k] {
					continue
				}
				seen[k], nextFrontier = true, append(nextFrontier, n)
				if err := n.checkSettled(); err != nil {
					return len(seen), atRest, err
				}
				if n.platformCount > 0 && n.action().Kind == ActionWait {
					atRest++
				}
			}
		}
		frontier = nextFrontier
	}
	return len(seen), atRest, nil
}

// TestPlatformCountMatchesStore guards against a platform that has a different number of engines
// than is stored, or that received a number which was never stored, so that a successor can't know
// it. The exploration covers every sequence of reading, writing, ordering, changing the wanted
// count, losing the lease and taking it over, with up to three faults: writes and orders that are
// lost, whose answer is lost, or that take effect late.
func TestPlatformCountMatchesStore(t *testing.T) {
	states, atRest, err := explore(noFault)
	if err != nil {
		t.Error(err)
	}
	if atRest == 0 {
		t.Error("no state was reached in which nothing is due")
	}
	t.Logf("%d states, nothing due in %d of them", states, atRest)
	for name, fault := range map[string]injectedFault{"believes": assumeWritten, "trusts": assumeOrdered, "unclaimed": skipTermWrite, "unconfirmed": forgetUnconfirmedOrder, "unsettled": forgetUnconfirmedWrite, "succeeds": ignorePredecessorOrders} {
		if states, _, err := explore(fault); err == nil {
			t.Errorf("fault %s: not detected in %d states", name, states)
		} else {
			t.Logf("fault %s: %v, after %d states", name, err, states)
		}
	}
}
