package cfnode

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/cflease"
	"currantford/cfrollout"
)

// textsTimeout bounds the question to the coordinator before. Half a megabyte
// takes tens of milliseconds; a coordinator that was lost does not answer.
const textsTimeout cf.Millis = 250

// textsOf asks the coordinator before for what it had generated and not
// listed. After a planned stop nothing is then generated twice.
func (n *Node) textsOf(before cflease.Holder) map[cf.ItemID]cfrollout.Text {
	if before.Entry == "" || before.Entry == n.settings.Entry {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, textsTimeout.Duration())
	defer cancel()
	var texts map[cf.ItemID]cfrollout.Text
	err := n.peers.Call(ctx, before.Addr, opTexts, nil, &texts)
	n.log.Info("texts_adopted", zap.String("from", string(before.Entry)), zap.Int("items", len(texts)), zap.Error(err))
	return texts
}

func (n *Node) serveTexts(context.Context, cbor.RawMessage) (any, error) {
	if n.candidate.Valid() {
		return nil, cf.ErrConflict // it still runs them itself
	}
	texts := n.texts.Load()
	if texts == nil {
		return map[cf.ItemID]cfrollout.Text{}, nil
	}
	return *texts, nil
}
