package cfnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

const (
	opHolder    = "holder"
	opAskHolder = "ask_holder"
	// announceTimeout bounds a call that tells another instance of the holder.
	announceTimeout = 400 * time.Millisecond
)

// holderMessage tells who holds the coordinator's lease. Each instance to which that is
// news passes it on, so that all find a new coordinator within a few round trips and none
// asks the store for it.
type holderMessage struct {
	Holder cflease.Holder `cbor:"holder"`
	Rev    cf.Revision    `cbor:"rev"`
}

// holderAnswer is what an instance knows of the holder, and of the store: whether its view
// of it is current, and whether it asks the store itself, in vain.
type holderAnswer struct {
	Holder cflease.Holder `cbor:"holder"`
	Rev    cf.Revision    `cbor:"rev"`
	Fresh  bool           `cbor:"fresh"`
	InVain bool           `cbor:"in_vain,omitempty"`
}

// announce tells the others that this instance is the coordinator.
func (n *Node) announce() {
	holder, rev := n.candidate.holder()
	if holder.Entry == n.settings.Entry {
		n.tellHolder(holderMessage{holder, rev})
	}
}

// serveHolder takes the word of another instance.
func (n *Node) serveHolder(_ context.Context, m holderMessage) (any, error) {
	if _, known := n.candidate.holder(); m.Rev <= known {
		return true, nil
	}
	n.candidate.observe(m.Rev, m.Holder)
	n.telling.Go(func() { n.tellHolder(m) })
	return true, nil
}

// tellHolder passes the word on.
func (n *Node) tellHolder(m holderMessage) {
	for _, e := range cfmember.GossipPeers(n.Live(), n.self()) {
		if e.ID == m.Holder.Entry {
			continue
		}
		n.telling.Go(func() {
			ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
			defer cancel()
			var ok bool
			if err := n.peers.Call(ctx, e.PeerAddr, opHolder, m, &ok); err != nil {
				n.log.Info("holder_not_told", zap.String("entry", string(e.ID)), cflog.Error(err))
				n.noteRefused(e.PeerAddr, err)
			}
		})
	}
}

// noteRefused takes an instance whose address refuses connections from the list that a new
// coordinator has adopted.
func (n *Node) noteRefused(peers string, err error) {
	if errors.Is(err, cf.ErrNoProcess) {
		n.members.RemoveRefused(peers)
	}
}

// serveAskHolder tells another instance what this one knows.
func (n *Node) serveAskHolder(context.Context, struct{}) (any, error) {
	holder, rev := n.candidate.holder()
	now := cf.Uptime()
	w := n.watching.Load()
	// The word of a coordinator that has none any more is no news.
	told := n.feed.fresh(now) && n.feed.heard.Load() > n.feed.unsure.Load()
	return holderAnswer{holder, rev, told || n.viewFresh(now), w != nil && w.config.InVain(now)}, nil
}

// askHolder asks another instance who the holder is, and how it stands with the store.
func (n *Node) askHolder(ctx context.Context, addr string) (holderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var a holderAnswer
	if err := n.peers.Call(ctx, addr, opAskHolder, struct{}{}, &a); err != nil {
		return holderAnswer{}, err
	}
	n.candidate.observe(a.Rev, a.Holder)
	return a, nil
}

// findHolder asks another instance who the holder is.
func (n *Node) findHolder(ctx context.Context) error {
	others := slices.DeleteFunc(slices.Clone(n.Live()), func(e cfmember.Entry) bool { return e.ID == n.settings.Entry })
	if len(others) == 0 {
		return cf.ErrUnavailable
	}
	_, err := n.askHolder(ctx, others[rand.IntN(len(others))].PeerAddr)
	return err
}

// confirmOutage asks an instance that looks after the store by itself whether it is away,
// when the coordinator has no news. A holder that is cut off from the store says so as well,
// and may have been replaced: without another's word an instance would wait beside it for
// seconds with a configuration that is not in force any more.
func (n *Node) confirmOutage() {
	now := cf.Uptime()
	if now-cf.Millis(n.feed.askedAt.Load()) < outageAsk {
		return
	}
	n.feed.askedAt.Store(int64(now))
	holder, _ := n.candidate.holder()
	self := n.self()
	scouts := slices.DeleteFunc(slices.Clone(n.members.FallbackWatchers(self)), func(e cfmember.Entry) bool { return e.ID == holder.Entry || e.ID == self.ID })
	if len(scouts) == 0 {
		return
	}
	e := scouts[rand.IntN(len(scouts))]
	n.wg.Go(func() {
		a, err := n.askHolder(n.ctx, e.PeerAddr)
		if err != nil {
			n.log.Info("outage_not_confirmed", zap.String("entry", string(e.ID)), cflog.Error(err))
			return
		}
		n.takeWitness(e.ID, a)
	})
}

// takeWitness takes another instance's word of the store.
func (n *Node) takeWitness(from cf.EntryID, a holderAnswer) {
	now := cf.Uptime()
	var at *atomic.Int64
	msg := "outage_confirmed"
	switch {
	case a.Fresh:
		n.feed.away.Store(0)
		at, msg = &n.feed.denied, "outage_denied"
	case a.InVain:
		n.feed.denied.Store(0)
		at = &n.feed.away
	default:
		return // it has heard nothing either, and does not know
	}
	if before := cf.Millis(at.Swap(int64(now))); !cfmember.AnswerIsRecent(before, now) {
		n.log.Info(msg, zap.String("entry", string(from)))
	}
}
