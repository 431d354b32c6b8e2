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
	// announceTimeout bounds a call that sends the holder to another instance, or asks for it.
	announceTimeout = 400 * time.Millisecond
)

// holderMessage names the holder of the coordinator's lease. Each instance forwards the message if
// it is new to it, so that all instances find a new coordinator within a few round trips and none
// asks the store for it.
type holderMessage struct {
	Holder cflease.Holder `cbor:"holder"`
	Rev    cf.Revision    `cbor:"rev"`
}

// holderAnswer states which holder an instance knows and whether the store answers it. Fresh
// reports that its view of the store is current, StoreUnresponsive that it queries the store itself
// without an answer.
type holderAnswer struct {
	Holder            cflease.Holder `cbor:"holder"`
	Rev               cf.Revision    `cbor:"rev"`
	Fresh             bool           `cbor:"fresh"`
	StoreUnresponsive bool           `cbor:"in_vain,omitempty"`
}

// announce tells the other instances that this instance is the coordinator.
func (n *Node) announce() {
	holder, rev := n.candidate.holder()
	if holder.Entry == n.settings.Entry {
		n.gossipHolder(holderMessage{holder, rev})
	}
}

// serveHolder handles another instance's message about the holder.
func (n *Node) serveHolder(_ context.Context, m holderMessage) (any, error) {
	if _, known := n.candidate.holder(); m.Rev <= known {
		return true, nil
	}
	n.candidate.observe(m.Rev, m.Holder)
	n.gossip.Go(func() { n.gossipHolder(m) })
	return true, nil
}

// gossipHolder forwards a message about the holder to the gossip peers.
func (n *Node) gossipHolder(m holderMessage) {
	for _, e := range cfmember.GossipPeers(n.Live(), n.self()) {
		if e.ID == m.Holder.Entry {
			continue
		}
		n.gossip.Go(func() {
			ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
			defer cancel()
			var ok bool
			if err := n.peers.Call(ctx, e.PeerAddr, opHolder, m, &ok); err != nil {
				n.log.Info("holder_not_told", zap.String("entry", string(e.ID)), cflog.Error(err))
				n.removeRefused(e.PeerAddr, err)
			}
		})
	}
}

// removeRefused removes an instance whose address refuses connections from the list that a new
// coordinator has inherited.
func (n *Node) removeRefused(peerAddr string, err error) {
	if errors.Is(err, cf.ErrNoProcess) {
		n.members.RemoveRefused(peerAddr)
	}
}

// serveAskHolder answers another instance's question about the holder and the store.
func (n *Node) serveAskHolder(context.Context, struct{}) (any, error) {
	holder, rev := n.candidate.holder()
	now := cf.Uptime()
	w := n.watchers.Load()
	// An update does not count as current if the coordinator has become uncertain since.
	current := n.feed.current(now) && n.feed.asOf.Load() > n.feed.uncertainAt.Load()
	return holderAnswer{holder, rev, current || n.ownViewCurrent(now), w != nil && w.config.StoreUnresponsive(now)}, nil
}

// askHolder asks another instance who the holder is and whether the store answers it.
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

// findHolder asks a random instance who the holder is.
func (n *Node) findHolder(ctx context.Context) error {
	others := slices.DeleteFunc(slices.Clone(n.Live()), func(e cfmember.Entry) bool { return e.ID == n.settings.Entry })
	if len(others) == 0 {
		return cf.ErrUnavailable
	}
	_, err := n.askHolder(ctx, others[rand.IntN(len(others))].PeerAddr)
	return err
}

// confirmOutage asks a fallback watcher whether the store is unavailable, when the coordinator has
// no current view. The coordinator may merely be cut off from the store, and may have been
// replaced; without another instance's answer, the instances that poll it would wait for seconds
// with a configuration that is no longer in force.
func (n *Node) confirmOutage() {
	now := cf.Uptime()
	if now-cf.Millis(n.feed.outageAskedAt.Load()) < outageAskInterval {
		return
	}
	n.feed.outageAskedAt.Store(int64(now))
	holder, _ := n.candidate.holder()
	self := n.self()
	fallbacks := slices.DeleteFunc(slices.Clone(n.members.FallbackWatchers(self)), func(e cfmember.Entry) bool { return e.ID == holder.Entry || e.ID == self.ID })
	if len(fallbacks) == 0 {
		return
	}
	e := fallbacks[rand.IntN(len(fallbacks))]
	n.wg.Go(func() {
		a, err := n.askHolder(n.ctx, e.PeerAddr)
		if err != nil {
			n.log.Info("outage_not_confirmed", zap.String("entry", string(e.ID)), cflog.Error(err))
			return
		}
		n.recordOutageAnswer(e.ID, a)
	})
}

// recordOutageAnswer records another instance's answer about the store.
func (n *Node) recordOutageAnswer(from cf.EntryID, a holderAnswer) {
	now := cf.Uptime()
	var at *atomic.Int64
	msg := "outage_confirmed"
	switch {
	case a.Fresh:
		n.feed.outageConfirmedAt.Store(0)
		at, msg = &n.feed.outageDeniedAt, "outage_denied"
	case a.StoreUnresponsive:
		n.feed.outageDeniedAt.Store(0)
		at = &n.feed.outageConfirmedAt
	default:
		return // That instance has no updates either and does not know.
	}
	if previous := cf.Millis(at.Swap(int64(now))); !cfmember.AnswerIsRecent(previous, now) {
		n.log.Info(msg, zap.String("entry", string(from)))
	}
}
