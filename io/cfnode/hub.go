package cfnode

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

// errNoWord: a hub has had no current word for a while.
var errNoWord = errors.New("no current word")

// hubOf returns the hub that an instance which asks the coordinator is to ask instead,
// false if there is none.
func (n *Node) hubOf(call feedCall) (cfmember.Entry, bool) {
	hubs := n.members.Hubs(n.self(), cf.Uptime())
	if call.Group != nil || cfmember.Contains(hubs, call.Entry.ID) {
		return cfmember.Entry{}, false
	}
	choices := cfmember.HubCandidates(hubs, call.Entry, func(id cf.EntryID) bool {
		return id == n.settings.Entry || slices.Contains(call.Without, id)
	})
	if len(choices) == 0 {
		return cfmember.Entry{}, false
	}
	return choices[0], true
}

// hubToAsk returns the hub to ask, false if the coordinator is to be asked.
func (n *Node) hubToAsk(holder cflease.Holder) (cfmember.Entry, bool) {
	now := cf.Uptime()
	return n.feed.upstream.HubToAsk(n.members.Hubs(n.self(), now), holder.Entry, n.members.ClientCount(now) > 0, now)
}

// findHub chooses the hub to ask from now on, if there are any.
func (n *Node) findHub(holder cflease.Holder) {
	now := cf.Uptime()
	n.feed.upstream.ChooseHub(n.members.Hubs(n.self(), now), holder.Entry, now)
}

func (n *Node) hubChosen(hub cfmember.Entry) {
	n.log.Info("hub_chosen", zap.String("entry", string(hub.ID)), zap.String("failure_domain", string(hub.Domain)))
}

// askPast asks the coordinator where a hub has had no current word for a while.
func (n *Node) askPast(ctx context.Context, holder cflease.Holder, hub cfmember.Entry) {
	if !n.feed.upstream.BypassHub(hub.ID, cf.Uptime()) {
		return
	}
	if err := n.feedOnce(ctx, holder.Addr, false); err != nil {
		n.log.Info("hub_kept", zap.String("entry", string(hub.ID)), cflog.Error(err))
		n.feed.upstream.RestoreHub(hub, cf.Uptime())
	}
}
