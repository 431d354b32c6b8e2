package cfnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

const (
	opHolder = "holder"
	// announceTimeout bounds a call that tells another instance of the holder.
	announceTimeout = 400 * time.Millisecond
)

// holderMessage tells who holds the coordinator's lease. Each instance to which that is
// news passes it on, so that all find a new coordinator within a few round trips and none
// asks the store for it: 72 did at each planned stop of one, twice.
type holderMessage struct {
	Holder cflease.Holder `cbor:"holder"`
	Rev    cf.Revision    `cbor:"rev"`
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
