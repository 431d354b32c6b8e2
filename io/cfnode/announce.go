package cfnode

import (
	"context"
	"math/rand/v2"
	"slices"
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

// holderAnswer is what an instance knows of the holder, and whether its view of the store
// is current.
type holderAnswer struct {
	Holder cflease.Holder `cbor:"holder"`
	Rev    cf.Revision    `cbor:"rev"`
	Fresh  bool           `cbor:"fresh"`
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
	for _, e := range cfmember.Ring(n.Live(), n.self()) {
		if e.ID == m.Holder.Entry {
			continue
		}
		n.telling.Go(func() {
			ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
			defer cancel()
			var ok bool
			if err := n.peers.Call(ctx, e.Peers, opHolder, m, &ok); err != nil {
				n.log.Info("holder_not_told", zap.String("entry", string(e.ID)), cflog.Error(err))
			}
		})
	}
}

// serveAskHolder tells another instance what this one knows.
func (n *Node) serveAskHolder(context.Context, struct{}) (any, error) {
	holder, rev := n.candidate.holder()
	now := cf.Uptime()
	return holderAnswer{holder, rev, n.feed.fresh(now) || n.viewFresh(now)}, nil
}

// askHolder asks another instance who the holder is; fresh says that its view is current.
func (n *Node) askHolder(ctx context.Context, addr string) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var a holderAnswer
	if err := n.peers.Call(ctx, addr, opAskHolder, struct{}{}, &a); err != nil {
		return false, err
	}
	n.candidate.observe(a.Rev, a.Holder)
	return a.Fresh, nil
}

// findHolder asks another instance who the holder is.
func (n *Node) findHolder(ctx context.Context) error {
	others := slices.DeleteFunc(slices.Clone(n.Live()), func(e cfmember.Entry) bool { return e.ID == n.settings.Entry })
	if len(others) == 0 {
		return cf.ErrUnavailable
	}
	_, err := n.askHolder(ctx, others[rand.IntN(len(others))].Peers)
	return err
}

// confirmOutage asks another instance whether it knows nothing new either, when the
// coordinator doesn't. A holder that is cut off from the store says so as well, and may
// have been replaced: without another's word an instance would wait beside it for
// seconds with a configuration that is not in force any more.
func (n *Node) confirmOutage() {
	now := cf.Uptime()
	if now-cf.Millis(n.feed.askedAt.Load()) < outageAsk {
		return
	}
	n.feed.askedAt.Store(int64(now))
	holder, _ := n.candidate.holder()
	ring := slices.DeleteFunc(cfmember.Ring(n.Live(), n.self()), func(e cfmember.Entry) bool { return e.ID == holder.Entry })
	if len(ring) == 0 {
		return
	}
	e := ring[rand.IntN(len(ring))]
	n.wg.Go(func() {
		switch fresh, err := n.askHolder(n.ctx, e.Peers); {
		case err != nil:
			n.log.Info("outage_not_confirmed", zap.String("entry", string(e.ID)), cflog.Error(err))
		case fresh:
			n.feed.away.Store(0)
		default:
			if at := cf.Millis(n.feed.away.Swap(int64(cf.Uptime()))); !cfmember.AnswerShared(at, now) {
				n.log.Info("outage_confirmed", zap.String("entry", string(e.ID)))
			}
		}
	})
}
