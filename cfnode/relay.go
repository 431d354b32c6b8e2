package cfnode

import (
	"context"
	"errors"
	"slices"
	"sync"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/cfmember"
)

const (
	// relayGrace is what a relayed call may take beyond the store's answer.
	relayGrace cf.Millis = 150
	// relayMost is how many instances are asked to relay one call.
	relayMost = 2
	// relayRest is the pause after a call that nobody could relay: in an
	// outage of the store each try costs two more, and finds out nothing.
	relayRest cf.Millis = 250
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
	rest   cf.Millis
}

// relay passes a call to the store through another instance. The store may turn
// single instances away, or a link to it may be cut, for seconds; an instance
// with the coordinator's duty that could not go on through others would lose its
// lease, and each step under way the moments until a successor has its texts.
func (n *Node) relay(ctx context.Context, timeout cf.Millis, body, answer any) error {
	now := cf.Uptime()
	if n.settings.Policy.NoStoreRelay || n.relays.resting(now) {
		return cf.ErrRefused
	}
	failure := cf.ErrRefused
	for _, addr := range n.relayPaths() {
		if ctx.Err() != nil {
			break
		}
		err := n.relayVia(ctx, addr, timeout+relayGrace, body, answer)
		if err == nil {
			if n.relays.worked(addr, cf.Uptime()) {
				n.log.Warn("store_relayed", zap.String("via", addr))
			}
			return nil
		}
		if !errors.Is(err, cf.ErrRefused) && !errors.Is(err, cf.ErrNotRun) {
			failure = err // it may have been carried out there
		}
	}
	n.relays.failed(now)
	return failure
}

func (n *Node) relayVia(ctx context.Context, addr string, timeout cf.Millis, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return n.peers.Call(ctx, addr, opStore, body, answer)
}

// relayPaths returns the instances to ask, best first: the one that relayed the
// last call, the coordinator, which reaches the store as long as it has its
// lease, then those of the same failure domain.
func (n *Node) relayPaths() []string {
	var near, far []string
	live := n.Live()
	for _, e := range live {
		switch {
		case e.ID == n.settings.Entry:
		case e.Domain == n.settings.Domain && cfmember.Strong(e.Capacity, live):
			near = append([]string{e.Peers}, near...)
		case e.Domain == n.settings.Domain:
			near = append(near, e.Peers)
		default:
			far = append(far, e.Peers)
		}
	}
	var paths []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(paths, addr) {
			paths = append(paths, addr)
		}
	}
	add(n.relays.last())
	if holder, _ := n.candidate.holder(); holder.Entry != n.settings.Entry {
		add(holder.Addr)
	}
	for _, addr := range append(near, far...) {
		add(addr)
	}
	return paths[:min(len(paths), relayMost)]
}

func (r *relays) resting(now cf.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.rest
}

func (r *relays) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.via
}

// worked notes a relayed call; it returns true for the first one in a while.
func (r *relays) worked(addr string, now cf.Millis) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = now-r.lastAt > relayQuiet
	r.via, r.lastAt = addr, now
	return first
}

func (r *relays) failed(now cf.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.via, r.rest = "", now+relayRest
}
