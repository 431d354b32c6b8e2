package cfnode

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
)

const (
	// relayGrace is what a relayed call may take beyond the store's answer.
	relayGrace cf.Millis = 150
	// relayMost is how many instances are asked to relay one call.
	relayMost = 2
	// relayRest is the pause after a call that nobody could relay, which
	// doubles up to relayRestMost: in an outage of the store each try finds out
	// nothing, and holds up the next call of this instance itself, which would
	// see that the store is back.
	relayRest     cf.Millis = 250
	relayRestMost cf.Millis = 2000
	// relayAvoid keeps calls off an instance that did not answer one: each try
	// would wait for it again. One that relayed nothing otherwise is asked after the others.
	relayAvoid cf.Millis = 2000
	// relayQuiet is the span without relayed calls after which the next one
	// is worth a log line.
	relayQuiet cf.Millis = 2000
)

// relays is what an instance knows of its ways to the store through others.
type relays struct {
	mu sync.Mutex
	// via is the instance that relayed a call last, at lastAt.
	via    string
	lastAt cf.Millis
	// rest is until when no call is passed on, failures counts those in a row
	// that nobody could relay.
	rest     cf.Millis
	failures int
	// avoid are instances that did not answer, deferred those that relayed nothing though
	// they did, or were not reached, both with until when.
	avoid, deferred map[string]cf.Millis
}

// relay passes a call to the store through another instance. The store may turn
// single instances away, or a link to it may be cut, for seconds; an instance
// with the coordinator's duty that could not go on through others would lose its
// lease, and each step under way the moments until a successor has its texts.
//
// Watches are passed on for that instance alone. The others have its feed; one
// whose watch hung at another instance in trouble would not look by itself when
// the store is back, and serve an old configuration meanwhile.
func (n *Node) relay(ctx context.Context, timeout cf.Millis, watch bool, body, answer any) error {
	now := cf.Uptime()
	if watch && n.coord.Load() == nil {
		return cf.ErrRefused
	}
	if n.settings.Policy.NoStoreRelay || n.relays.resting(now) {
		return cf.ErrRefused
	}
	// All tries together take no longer than one: renewals and watches wait
	// for them.
	ctx, cancel := context.WithTimeout(ctx, (timeout + relayGrace).Duration())
	defer cancel()
	failure := cf.ErrRefused
	for _, addr := range n.relayPaths(now) {
		if ctx.Err() != nil {
			break
		}
		err := n.peers.Call(ctx, addr, opStore, body, answer)
		if err == nil {
			if n.relays.worked(addr, cf.Uptime()) {
				n.log.Warn("store_relayed", zap.String("via", addr))
			}
			return nil
		}
		if n.relays.notRelayed(addr, err, cf.Uptime()) {
			failure = err
		}
	}
	n.relays.failed(now)
	return failure
}

// relayPaths returns the instances to ask, best first: the one that relayed the
// last call, the coordinator, which reaches the store as long as it has its
// lease, then those of the same failure domain.
func (n *Node) relayPaths(now cf.Millis) []string {
	var near, far []string
	live := n.Live()
	for _, e := range live {
		switch {
		case e.ID == n.settings.Entry:
		case e.Domain == n.settings.Domain && cfmember.HighCapacity(e.Capacity, live):
			near = append([]string{e.PeerAddr}, near...)
		case e.Domain == n.settings.Domain:
			near = append(near, e.PeerAddr)
		default:
			far = append(far, e.PeerAddr)
		}
	}
	var paths []string
	if holder, _ := n.candidate.holder(); holder.Entry != n.settings.Entry {
		paths = append(paths, holder.Addr)
	}
	return n.relays.choose(slices.Concat(paths, near, far), now)
}

// choose returns the instances to ask for one call, of those that may be, best first. Those
// that are turned away as well come after the others, which may reach the store.
func (r *relays) choose(addrs []string, now cf.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var paths []string
	for _, addr := range append([]string{r.via}, addrs...) {
		if addr != "" && !slices.Contains(paths, addr) && now >= r.avoid[addr] {
			paths = append(paths, addr)
		}
	}
	slices.SortStableFunc(paths, func(a, b string) int {
		return cmp.Compare(max(r.deferred[a], now), max(r.deferred[b], now))
	})
	return paths[:min(len(paths), relayMost)]
}

func (r *relays) resting(now cf.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.rest
}

// worked notes a relayed call; it returns true for the first one in a while.
func (r *relays) worked(addr string, now cf.Millis) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = now-r.lastAt > relayQuiet
	r.via, r.lastAt, r.failures = addr, now, 0
	delete(r.avoid, addr)
	delete(r.deferred, addr)
	return first
}

// notRelayed notes that an instance did not relay a call; it returns whether the call may have been
// carried out there.
func (r *relays) notRelayed(addr string, err error, now cf.Millis) (doubt bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid, r.deferred = map[string]cf.Millis{}, map[string]cf.Millis{}
	}
	over := func(_ string, until cf.Millis) bool { return now >= until }
	maps.DeleteFunc(r.avoid, over)
	maps.DeleteFunc(r.deferred, over)
	if doubt = !errors.Is(err, cf.ErrRefused) && !errors.Is(err, cf.ErrNotRun); doubt {
		r.avoid[addr] = now + relayAvoid
	} else {
		r.deferred[addr] = now + relayAvoid
	}
	return doubt
}

func (r *relays) failed(now cf.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.via, r.rest = "", now+relayRest.Backoff(r.failures, relayRestMost)
	r.failures++
}
