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

	// asked bounds the requests of one exchange, of 120 bytes for each of their crashes.
	asked = 16
	// strikesRate and strikesBurst bound the strikes that an instance hands on, in
	// strikes a second: of 120 bytes each to three neighbours, 2 KB/s. A crash of a
	// whole failure domain brings a few hundred at once.
	strikesRate  = 6
	strikesBurst = 400
	// strikesCall bounds one message.
	strikesCall = 64
	// strikesTimeout bounds a call to another instance.
	strikesTimeout = 400 * time.Millisecond
	// freeTimeout bounds the command that frees a request.
	freeTimeout = 5 * time.Second
	// witnessTimeout bounds a question whether a target is reached, with the time of
	// the try there; witnessMost is how many instances are asked.
	witnessTimeout = 450 * time.Millisecond
	witnessMost    = 2
	// exchangeEvery spaces the exchanges of an instance that holds other requests,
	// exchangeRest those of one that has heard of other crashes: 1 KB/s at the most
	// while a caller crashes targets by ever other requests.
	exchangeEvery cf.Millis = 1000
	exchangeRest  cf.Millis = 2000
)

type (
	// strikesMessage hands strikes to another instance, and may ask for its own, but for
	// those of the foremost After requests.
	strikesMessage struct {
		From    cf.EntryID            `cbor:"from"`
		Strikes []cfquarantine.Strike `cbor:"strikes,omitempty"`
		Ask     bool                  `cbor:"ask,omitempty"`
		After   int                   `cbor:"after,omitempty"`
	}

	// freeMessage asks an instance to free a request by hand.
	freeMessage struct {
		Digest cfquarantine.Digest `cbor:"digest"`
	}

	// quarantine shares what the instances learn of requests that crash targets: news
	// go from neighbour to neighbour at once, an instance that has missed some sees it
	// by the sum in the feed, and what is held lies in the store for the loss of all.
	quarantine struct {
		node  *Node
		guard *cfguard.Guard
		news  chan []cfquarantine.Strike

		mu        sync.Mutex
		tokens    float64
		filled    cf.Millis
		exchanged cf.Millis
		after     int    // the next exchange is about what follows so many requests
		stored    uint64 // the sum of what lies in the store
		storedRev cf.Revision
		storeAt   cf.Millis // the next try
		// triedAlone is the last try of a starting instance to learn what is held,
		// triedConfigured says that it had a configuration then.
		triedAlone      cf.Millis
		triedConfigured bool
		busy            bool // a read or write of the store is under way
		term            cf.Revision
	}
)

func newQuarantine(n *Node) *quarantine {
	return &quarantine{node: n, news: make(chan []cfquarantine.Strike, 256), tokens: strikesBurst}
}

// share queues strikes for the neighbours. What does not fit is dropped: those of held
// requests are exchanged later.
func (q *quarantine) share(news []cfquarantine.Strike) {
	select {
	case q.news <- news:
	default:
		q.node.log.Warn("strikes_not_shared", zap.Int("strikes", len(news)))
	}
}

// run hands strikes on until ctx ends.
func (q *quarantine) run(ctx context.Context) {
	for {
		var news []cfquarantine.Strike
		select {
		case <-ctx.Done():
			return
		case news = <-q.news:
		}
		for len(q.news) > 0 && len(news) < strikesCall {
			news = append(news, <-q.news...)
		}
		q.tell(ctx, q.within(news, cf.Uptime()))
	}
}

// within returns the strikes that may be handed on now, those of held requests first.
func (q *quarantine) within(news []cfquarantine.Strike, now cf.Millis) []cfquarantine.Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokens = min(strikesBurst, q.tokens+float64(now-q.filled)/1000*strikesRate)
	q.filled = now
	n := min(len(news), int(q.tokens))
	if n < len(news) {
		q.node.log.Warn("strikes_not_shared", zap.Int("strikes", len(news)-n))
		news = q.guard.Table.SortHeldFirst(news)
	}
	q.tokens -= float64(n)
	return news[:n]
}

func (q *quarantine) tell(ctx context.Context, news []cfquarantine.Strike) {
	if len(news) == 0 {
		return
	}
	for _, addr := range q.neighbours() {
		for part := range slices.Chunk(news, strikesCall) {
			// A neighbour that does not answer must hold up nobody else's news.
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

// neighbours returns the addresses of the instances to which this one hands strikes: the
// coordinator, with which all others compare, and those next to it.
func (q *quarantine) neighbours() []string {
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

// serve takes another instance's strikes.
func (q *quarantine) serve(_ context.Context, m strikesMessage) (any, error) {
	q.guard.Merge(m.From, m.Strikes)
	if !m.Ask {
		return []cfquarantine.Strike{}, nil
	}
	return q.guard.Table.ExchangeReply(m.Strikes, m.After, asked, cf.Uptime()), nil
}

// witness asks others, of other failure domains if it can, whether they reach a target.
func (q *quarantine) witness(ctx context.Context, target cf.Target) bool {
	near := func(e cfmember.Entry) bool { return e.Domain == q.node.settings.Domain }
	others := slices.DeleteFunc(slices.Clone(q.node.Live()), func(e cfmember.Entry) bool { return e.ID == q.node.settings.Entry })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b cfmember.Entry) int {
		switch {
		case near(a) == near(b):
			return 0
		case near(b):
			return -1
		default:
			return 1
		}
	})
	others = others[:min(len(others), witnessMost)]
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
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

// serveReach says whether this instance reaches a target.
func (q *quarantine) serveReach(ctx context.Context, target cf.Target) (any, error) {
	return q.guard.Probe(ctx, target) == nil, nil
}

// serveFree frees a request by hand.
func (q *quarantine) serveFree(_ context.Context, m freeMessage) (any, error) {
	return q.guard.Release(m.Digest), nil
}

// compare takes what identifies another instance's table. Where it differs the two exchange
// what they have.
func (q *quarantine) compare(addr string, theirs cfquarantine.Checksums) {
	ours := q.guard.Table.Checksums()
	switch {
	case ours == theirs:
		q.exchangedAll()
	case ours.Held == theirs.Held:
		q.exchange([]string{addr}, exchangeRest)
	default:
		q.exchange([]string{addr}, exchangeEvery)
	}
}

// exchange asks the first of some instances that answers for what it has, unless one was
// asked a moment ago.
func (q *quarantine) exchange(addrs []string, spacing cf.Millis) {
	if len(addrs) == 0 {
		return // the first instance that is known is asked at once
	}
	now := cf.Uptime()
	q.mu.Lock()
	due := q.exchanged == 0 || now-q.exchanged >= spacing
	after := q.after
	if due {
		q.exchanged, q.after = now, after+asked
	}
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		for _, addr := range addrs {
			ours := q.guard.Table.StrikesByPriority(after, asked, cf.Uptime())
			answer, err := q.call(q.node.ctx, addr, strikesMessage{From: q.node.settings.Entry, Strikes: ours, Ask: true, After: after})
			if err == nil {
				q.guard.Merge("", answer)
				if cfquarantine.CountContents(ours) < asked && cfquarantine.CountContents(answer) < asked {
					q.exchangedAll()
				}
				return
			}
			q.node.log.Info("strikes_not_taken", zap.String("addr", addr), cflog.Error(err))
		}
	})
}

// exchangedAll lets the next exchange begin with what is foremost.
func (q *quarantine) exchangedAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.after = 0
}

// tick looks after what is due. It is called several times a second.
func (q *quarantine) tick(now cf.Millis) {
	n := q.node
	fresh := n.feed.fresh(now)
	q.guard.Sweep(n.coord.Load() != nil && n.viewFresh(now) || fresh, now)
	switch {
	case n.coord.Load() != nil:
		q.keep(now)
	case fresh:
	default:
		if !q.guard.Synced() && n.alone(now) {
			q.informAlone(now, n.site.Config() != nil)
		}
		// No coordinator is there to compare with; any other instance will do.
		others := q.neighbours()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		q.exchange(others, exchangeEvery)
	}
}

// FreeRequest frees a held request at the running instance of the settings, which tells
// the others. It returns ErrNotFound where the instance knows nothing of it.
func FreeRequest(s Settings, digest cfquarantine.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	peers := cfpeer.NewClient()
	defer func() { _ = peers.Close() }()
	var freed int
	if err := peers.Call(ctx, s.Listen.Peers, opFree, freeMessage{digest}, &freed); err != nil {
		return err
	}
	if freed == 0 {
		return eris.Wrapf(cf.ErrNotFound, "request %s", digest)
	}
	return nil
}
