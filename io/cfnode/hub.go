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

// errHubStale reports that a hub has had no current view for a while.
var errHubStale = errors.New("hub has no current view")

// assignedHub returns the hub that the caller of the coordinator is to poll instead, or false if
// there is none.
func (n *Node) assignedHub(call feedCall) (cfmember.Entry, bool) {
	hubs := n.members.Hubs(n.self(), cf.Uptime())
	if call.Group != nil || cfmember.Contains(hubs, call.Entry.ID) {
		return cfmember.Entry{}, false
	}
	choices := cfmember.HubCandidates(hubs, call.Entry, func(id cf.EntryID) bool {
		return id == n.settings.Entry || slices.Contains(call.AvoidedHubs, id)
	})
	if len(choices) == 0 {
		return cfmember.Entry{}, false
	}
	return choices[0], true
}

// hubToPoll returns the hub to poll, or false if the coordinator is to be polled.
func (n *Node) hubToPoll(holder cflease.Holder) (cfmember.Entry, bool) {
	now := cf.Uptime()
	return n.feed.upstream.HubToAsk(n.members.Hubs(n.self(), now), holder.Entry, n.members.ClientCount(now) > 0, now)
}

// chooseHub chooses the hub to poll from now on, if there are any hubs.
func (n *Node) chooseHub(holder cflease.Holder) {
	now := cf.Uptime()
	n.feed.upstream.ChooseHub(n.members.Hubs(n.self(), now), holder.Entry, now)
}

func (n *Node) onHubChange(hub cfmember.Entry) {
	n.log.Info("hub_chosen", zap.String("entry", string(hub.ID)), zap.String("failure_domain", string(hub.Domain)))
}

// bypassHub polls the coordinator because a hub has had no current view for a while.
func (n *Node) bypassHub(ctx context.Context, holder cflease.Holder, hub cfmember.Entry) {
	if !n.feed.upstream.BypassHub(hub.ID, cf.Uptime()) {
		return
	}
	if err := n.pollOnce(ctx, holder.Addr, false); err != nil {
		n.log.Info("hub_kept", zap.String("entry", string(hub.ID)), cflog.Error(err))
		n.feed.upstream.RestoreHub(hub, cf.Uptime())
	}
}
