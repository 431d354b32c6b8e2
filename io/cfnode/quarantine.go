package cfnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfquarantine"
	"currantford/io/cfguard"
	"currantford/io/cflog"
	"currantford/io/cfpeer"
)

const (
	opStrikes = "strikes"
	opFree    = "free"
	opReach   = "reach"

	// exchangeSize bounds the requests of one exchange; each of their strikes takes 120 bytes.
	exchangeSize = 16
	// strikesRate, in strikes per second, and strikesBurst limit the strikes that an instance
	// sends. At 120 bytes each to three neighbours that is 2 KB/s. The crash of a whole failure
	// domain produces a few hundred strikes at once.
	strikesRate  = 6
	strikesBurst = 400
	// maxStrikesPerCall bounds the strikes of one message.
	maxStrikesPerCall = 64
	// strikesTimeout bounds a call to another instance.
	strikesTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the command that releases a held request.
	releaseTimeout = 5 * time.Second
	// reachTimeout bounds the question whether another instance reaches a target, including its
	// connection attempt. maxReachPeers is how many instances are asked.
	reachTimeout  = 450 * time.Millisecond
	maxReachPeers = 2
	// heldExchangeInterval is the minimum time between the exchanges of an instance that holds
	// other requests than its peer, strikeExchangeInterval that of an instance that merely knows
	// other strikes: at most 1 KB/s while a caller crashes targets with a different request each
	// time.
	heldExchangeInterval   cf.Millis = 1000
	strikeExchangeInterval cf.Millis = 2000
)

type (
	// strikesMessage sends strikes to another instance. It may ask for the strikes of that
	// instance, except for those of its first Offset requests.
	strikesMessage struct {
		From    cf.EntryID            `cbor:"from"`
		Strikes []cfquarantine.Strike `cbor:"strikes,omitempty"`
		Ask     bool                  `cbor:"ask,omitempty"`
		Offset  int                   `cbor:"after,omitempty"`
	}

	// releaseMessage asks an instance to release a held request.
	releaseMessage struct {
		Digest cfquarantine.Digest `cbor:"digest"`
	}

	// quarantine shares what the instances learn about requests that crash targets. New strikes are
	// gossiped at once, an instance that has missed some detects it by the checksums in the feed,
	// and the held requests are stored in case all instances are lost.
	quarantine struct {
		node     *Node
		guard    *cfguard.Guard
		outgoing chan []cfquarantine.Strike

		mu             sync.Mutex
		tokens         float64
		refilledAt     cf.Millis
		exchangedAt    cf.Millis
		exchangeOffset int    // number of requests that the next exchange skips
		storedSum      uint64 // checksum of the stored held requests
		storedRev      cf.Revision
		persistAt      cf.Millis // next attempt
		// selfSyncAt is when a starting instance last tried to learn the held requests by itself;
		// selfSyncConfigured is set if it had a configuration then.
		selfSyncAt         cf.Millis
		selfSyncConfigured bool
		persisting         bool // a read or write of the store is in progress
		loadedTerm         cf.Revision
	}
)

func newQuarantine(n *Node) *quarantine {
	return &quarantine{node: n, outgoing: make(chan []cfquarantine.Strike, 256), tokens: strikesBurst}
}

// share queues strikes for the neighbours. Strikes that exceed the queue are dropped; those of held
// requests are exchanged later.
func (q *quarantine) share(strikes []cfquarantine.Strike) {
	select {
	case q.outgoing <- strikes:
	default:
		q.node.log.Warn("strikes_not_shared", zap.Int("strikes", len(strikes)))
	}
}

// run sends queued strikes until ctx ends.
func (q *quarantine) run(ctx context.Context) {
	for {
		var strikes []cfquarantine.Strike
		select {
		case <-ctx.Done():
			return
		case strikes = <-q.outgoing:
		}
		for len(q.outgoing) > 0 && len(strikes) < maxStrikesPerCall {
			strikes = append(strikes, <-q.outgoing...)
		}
		q.send(ctx, q.limitRate(strikes, cf.Uptime()))
	}
}

// limitRate returns the strikes that the rate limit admits now, those of held requests first.
func (q *quarantine) limitRate(strikes []cfquarantine.Strike, now cf.Millis) []cfquarantine.Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = min(strikesBurst, q.tokens+float64(now-q.refilledAt)/1000*strikesRate)
	q.refilledAt = now
	n := min(len(strikes), int(q.tokens))
	if n < len(strikes) {
		q.node.log.Warn("strikes_not_shared", zap.Int("strikes", len(strikes)-n))
		strikes = q.guard.Table.SortHeldFirst(strikes)
	}
	q.tokens -= float64(n)
	return strikes[:n]
}

func (q *quarantine) send(ctx context.Context, strikes []cfquarantine.Strike) {
	if len(strikes) == 0 {
		return
	}
	for _, addr := range q.gossipAddrs() {
		for part := range slices.Chunk(strikes, maxStrikesPerCall) {
			// A neighbour that does not answer must not delay the strikes for the others.
			q.node.wg.Go(func() {
				if _, err := q.call(ctx, addr, strikesMessage{From: q.node.settings.Entry, Strikes: part}); err != nil {
					q.node.log.Info("strikes_not_taken", zap.String("addr", addr), cflog.Error(err))
				}
			})
		}
	}
}

func (q *quarantine) call(ctx context.Context, addr string, m strikesMessage) ([]cfquarantine.Strike, error) {
	ctx, cancel := context.WithTimeout(ctx, strikesTimeout)
	defer cancel()
	var answer []cfquarantine.Strike
	err := q.node.peers.Call(ctx, addr, opStrikes, m, &answer)
	return answer, err
}

// gossipAddrs returns the addresses of the instances to which this one sends strikes: the
// coordinator, with which all others compare checksums, and its gossip peers.
func (q *quarantine) gossipAddrs() []string {
	var out []string
	if holder, _ := q.node.candidate.holder(); holder.Entry != "" && holder.Entry != q.node.settings.Entry {
		out = append(out, holder.Addr)
	}
	for _, e := range cfmember.GossipPeers(q.node.Live(), q.node.self()) {
		if !slices.Contains(out, e.PeerAddr) {
			out = append(out, e.PeerAddr)
		}
	}
	return out
}

// serve merges another instance's strikes and answers with its own if asked.
func (q *quarantine) serve(_ context.Context, m strikesMessage) (any, error) {
	q.guard.Merge(m.From, m.Strikes)
	if !m.Ask {
		return []cfquarantine.Strike{}, nil
	}
	return q.guard.Table.ExchangeReply(m.Strikes, m.Offset, exchangeSize, cf.Uptime()), nil
}

// reachableElsewhere asks other instances whether they reach a target, those of other failure
// domains first.
func (q *quarantine) reachableElsewhere(ctx context.Context, target cf.Target) bool {
	sameDomain := func(e cfmember.Entry) bool { return e.Domain == q.node.settings.Domain }
	others := slices.DeleteFunc(slices.Clone(q.node.Live()), func(e cfmember.Entry) bool { return e.ID == q.node.settings.Entry })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b cfmember.Entry) int {
		switch {
		case sameDomain(a) == sameDomain(b):
			return 0
		case sameDomain(b):
			return -1
		default:
			return 1
		}
	})
	others = others[:min(len(others), maxReachPeers)]
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, e := range others {
		q.node.wg.Go(func() {
			var reached bool
			err := q.node.peers.Call(ctx, e.PeerAddr, opReach, target, &reached)
			answers <- err == nil && reached
		})
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}

// serveReach reports to another instance whether this one reaches a target.
func (q *quarantine) serveReach(ctx context.Context, target cf.Target) (any, error) {
	return q.guard.Probe(ctx, target) == nil, nil
}

// serveRelease releases a held request at an operator's command.
func (q *quarantine) serveRelease(_ context.Context, m releaseMessage) (any, error) {
	return q.guard.Release(m.Digest), nil
}

// compare compares another instance's checksums with those of this one. If they differ, the two
// exchange their strikes.
func (q *quarantine) compare(addr string, theirs cfquarantine.Checksums) {
	ours := q.guard.Table.Checksums()
	switch {
	case ours == theirs:
		q.resetExchange()
	case ours.Held == theirs.Held:
		q.exchange([]string{addr}, strikeExchangeInterval)
	default:
		q.exchange([]string{addr}, heldExchangeInterval)
	}
}

// exchange exchanges strikes with the first of the given instances that answers, unless an exchange
// took place within interval.
func (q *quarantine) exchange(addrs []string, interval cf.Millis) {
	if len(addrs) == 0 {
		return // The first known instance is then asked at once.
	}
	now := cf.Uptime()
	q.mu.Lock()
	due := q.exchangedAt == 0 || now-q.exchangedAt >= interval
	offset := q.exchangeOffset
	if due {
		q.exchangedAt, q.exchangeOffset = now, offset+exchangeSize
	}
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		for _, addr := range addrs {
			ours := q.guard.Table.StrikesByPriority(offset, exchangeSize, cf.Uptime())
			answer, err := q.call(q.node.ctx, addr, strikesMessage{From: q.node.settings.Entry, Strikes: ours, Ask: true, Offset: offset})
			if err == nil {
				q.guard.Merge("", answer)
				if cfquarantine.CountContents(ours) < exchangeSize && cfquarantine.CountContents(answer) < exchangeSize {
					q.resetExchange()
				}
				return
			}
			q.node.log.Info("strikes_not_taken", zap.String("addr", addr), cflog.Error(err))
		}
	})
}

// resetExchange makes the next exchange start with the first requests.
func (q *quarantine) resetExchange() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.exchangeOffset = 0
}

// tick starts what is due. It is called several times a second.
func (q *quarantine) tick(now cf.Millis) {
	n := q.node
	current := n.feed.current(now)
	q.guard.Sweep(n.coord.Load() != nil && n.ownViewCurrent(now) || current, now)
	switch {
	case n.coord.Load() != nil:
		q.persist(now)
	case current:
	default:
		if !q.guard.Synced() && n.watchDue(now) {
			q.startSelfSync(now, n.site.Config() != nil)
		}
		// There is no coordinator to compare with; any other instance will do.
		others := q.gossipAddrs()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		q.exchange(others, heldExchangeInterval)
	}
}

// ReleaseRequest releases a held request. It calls the running instance of the settings, which
// informs the others, and returns ErrNotFound if that instance does not know the request.
func ReleaseRequest(s Settings, digest cfquarantine.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	peers := cfpeer.NewClient()
	defer func() { _ = peers.Close() }()
	var freed int
	if err := peers.Call(ctx, s.Listen.Peers, opFree, releaseMessage{digest}, &freed); err != nil {
		return err
	}
	if freed == 0 {
		return eris.Wrapf(cf.ErrNotFound, "request %s", digest)
	}
	return nil
}
