package cfnode

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
)

const (
	// relayGrace is how long a relayed call may take beyond the store's answer.
	relayGrace cf.Millis = 150
	// maxRelayTries is how many instances are asked to relay one call.
	maxRelayTries = 2
	// relayPause is the pause after a call that no instance could relay; it doubles up to
	// maxRelayPause. In an outage of the store each try is useless and delays this instance's own
	// next call, which would find that the store is back.
	relayPause    cf.Millis = 250
	maxRelayPause cf.Millis = 2000
	// relayAvoidTime is how long an instance that did not answer a call is not asked again, as each
	// try would wait for it. One that failed to relay a call in another way is asked after the
	// others for the same time.
	relayAvoidTime cf.Millis = 2000
	// relayLogInterval is the time without relayed calls after which the next one is logged.
	relayLogInterval cf.Millis = 2000
)

// relayTable records which other instances reach the store.
type relayTable struct {
	mu sync.Mutex
	// last is the instance that relayed the last call, at lastAt.
	last   string
	lastAt cf.Millis
	// Until pausedUntil no call is relayed. failures counts the calls in a row that no instance
	// could relay.
	pausedUntil cf.Millis
	failures    int
	// avoidUntil and deferUntil hold times by address. Instances that did not answer are not asked
	// before the first of them; those that answered without relaying, or were not reached, are
	// asked last until the second.
	avoidUntil, deferUntil map[string]cf.Millis
}

// relay passes a store call through another instance. The store may refuse single instances, or the
// link to it may be cut, for seconds. A coordinator that could not continue through other instances
// would lose its lease, and each step in progress would lose the time until a successor has its
// texts.
//
// Watches are relayed for the coordinator only. The other instances have its feed; one whose watch
// hung at another instance in trouble would not find out by itself that the store is back, and
// would serve an old configuration in the meantime.
func (n *Node) relay(ctx context.Context, timeout cf.Millis, watch bool, body, answer any) error {
	now := cf.Uptime()
	if watch && n.coord.Load() == nil {
		return cf.ErrRefused
	}
	if n.settings.Policy.NoStoreRelay || n.relays.paused(now) {
		return cf.ErrRefused
	}
	// All tries together take no longer than one, as renewals and watches wait for them.
	ctx, cancel := context.WithTimeout(ctx, (timeout + relayGrace).Duration())
	defer cancel()
	failure := cf.ErrRefused
	for _, addr := range n.relayAddrs(now) {
		if ctx.Err() != nil {
			break
		}
		err := n.peers.Call(ctx, addr, opStore, body, answer)
		if err == nil {
			if n.relays.recordSuccess(addr, cf.Uptime()) {
				n.log.Warn("store_relayed", zap.String("via", addr))
			}
			return nil
		}
		if n.relays.recordFailure(addr, err, cf.Uptime()) {
			failure = err
		}
	}
	n.relays.pause(now)
	return failure
}

// relayAddrs returns the instances to ask, best first: the one that relayed the last call, the
// coordinator, which reaches the store as long as it has its lease, then those of the same failure
// domain.
func (n *Node) relayAddrs(now cf.Millis) []string {
	var sameDomain, otherDomains []string
	live := n.Live()
	for _, e := range live {
		switch {
		case e.ID == n.settings.Entry:
		case e.Domain == n.settings.Domain && cfmember.HighCapacity(e.Capacity, live):
			sameDomain = append([]string{e.PeerAddr}, sameDomain...)
		case e.Domain == n.settings.Domain:
			sameDomain = append(sameDomain, e.PeerAddr)
		default:
			otherDomains = append(otherDomains, e.PeerAddr)
		}
	}
	var coordinator []string
	if holder, _ := n.candidate.holder(); holder.Entry != n.settings.Entry {
		coordinator = append(coordinator, holder.Addr)
	}
	return n.relays.choose(slices.Concat(coordinator, sameDomain, otherDomains), now)
}

// choose returns the instances to ask for one call, best first. Those that the store refuses as
// well come after the others, which may reach it.
func (r *relayTable) choose(addrs []string, now cf.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []string
	for _, addr := range append([]string{r.last}, addrs...) {
		if addr != "" && !slices.Contains(chosen, addr) && now >= r.avoidUntil[addr] {
			chosen = append(chosen, addr)
		}
	}
	slices.SortStableFunc(chosen, func(a, b string) int {
		return cmp.Compare(max(r.deferUntil[a], now), max(r.deferUntil[b], now))
	})
	return chosen[:min(len(chosen), maxRelayTries)]
}

func (r *relayTable) paused(now cf.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.pausedUntil
}

// recordSuccess records a relayed call. It returns true for the first one in a while.
func (r *relayTable) recordSuccess(addr string, now cf.Millis) (notable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	notable = now-r.lastAt > relayLogInterval
	r.last, r.lastAt, r.failures = addr, now, 0
	delete(r.avoidUntil, addr)
	delete(r.deferUntil, addr)
	return notable
}

// recordFailure records that an instance did not relay a call. It returns whether the call may have
// been executed there.
func (r *relayTable) recordFailure(addr string, err error, now cf.Millis) (maybeRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil, r.deferUntil = map[string]cf.Millis{}, map[string]cf.Millis{}
	}
	expired := func(_ string, until cf.Millis) bool { return now >= until }
	maps.DeleteFunc(r.avoidUntil, expired)
	maps.DeleteFunc(r.deferUntil, expired)
	if maybeRun = !errors.Is(err, cf.ErrRefused) && !errors.Is(err, cf.ErrNotRun); maybeRun {
		r.avoidUntil[addr] = now + relayAvoidTime
	} else {
		r.deferUntil[addr] = now + relayAvoidTime
	}
	return maybeRun
}

func (r *relayTable) pause(now cf.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.pausedUntil = "", now+relayPause.Backoff(r.failures, maxRelayPause)
	r.failures++
}

// serveStore makes a store call for another instance. While this instance stops, it accepts only
// calls that will be answered in time.
func (n *Node) serveStore(ctx context.Context, body cbor.RawMessage) (any, error) {
	if left, stopping := n.drain.Left(cf.Uptime()); stopping {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left.Duration())
		defer cancel()
	}
	return n.adapter.Relay.HandleRelayed(ctx, body)
}
