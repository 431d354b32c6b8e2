package cfnode

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

// errNoWord: a hub has had no current word for a while.
var errNoWord = errors.New("no current word")

const (
	// hubDoubt is how long a hub may have no current word before the coordinator itself
	// is asked.
	hubDoubt cf.Millis = 1000
	// hubAvoid keeps an instance off a hub that did not answer it.
	hubAvoid cf.Millis = 8000
	// hubKept is how long an instance stays with a hub, drawn from half of it to half
	// more, before it looks which it should ask now.
	hubKept = 10 * time.Second
	// hubFollow is how long an instance asks the hub that the coordinator has named, also
	// if it takes itself for one.
	hubFollow cf.Millis = 2000
)

// hubOf returns the hub that an instance which asks the coordinator is to ask instead,
// false if there is none.
func (n *Node) hubOf(call feedCall) (cfmember.Entry, bool) {
	hubs := n.members.Hubs(n.self(), cf.Uptime())
	if call.Group != nil || cfmember.Listed(hubs, call.Entry.ID) {
		return cfmember.Entry{}, false
	}
	choices := cfmember.HubsFor(hubs, call.Entry, func(id cf.EntryID) bool {
		return id == n.settings.Entry || slices.Contains(call.Without, id)
	})
	if len(choices) == 0 {
		return cfmember.Entry{}, false
	}
	return choices[0], true
}

// hubToAsk returns the hub to ask, false if the coordinator is to be asked: by the hubs
// themselves, by an instance that knows none, and where a hub has had no word for a while.
func (n *Node) hubToAsk(holder cflease.Holder) (cfmember.Entry, bool) {
	now := cf.Uptime()
	own := cfmember.Listed(n.members.Hubs(n.self(), now), n.settings.Entry) || n.members.Asking(now) > 0
	n.feed.mu.Lock()
	hub, until, follow := n.feed.hub, n.feed.hubUntil, n.feed.follow
	n.feed.mu.Unlock()
	if own && now >= follow || hub == nil || hub.ID == holder.Entry {
		return cfmember.Entry{}, false
	}
	if now >= until {
		n.findHub(holder) // it may be the same one
	}
	return *hub, true
}

// findHub chooses the hub to ask from now on, if there are any.
func (n *Node) findHub(holder cflease.Holder) {
	now := cf.Uptime()
	hubs := n.members.Hubs(n.self(), now)
	if len(hubs) == 0 { // the deployment has shrunk, or nothing is known of it
		n.feed.mu.Lock()
		n.feed.hub = nil
		n.feed.mu.Unlock()
		return
	}
	choices := cfmember.HubsFor(hubs, n.self(), func(id cf.EntryID) bool { return id == holder.Entry || n.hubAvoided(id, now) })
	if len(choices) > 0 && !cfmember.Listed(hubs, n.settings.Entry) {
		n.setHub(choices[0])
	}
}

func (n *Node) setHub(hub cfmember.Entry) {
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	if n.feed.hub == nil || n.feed.hub.ID != hub.ID {
		n.log.Info("hub_chosen", zap.String("entry", string(hub.ID)), zap.String("failure_domain", string(hub.Domain)))
	}
	n.feed.hub, n.feed.hubUntil = &hub, cf.Uptime()+cf.MillisOf(hubKept/2+rand.N(hubKept))
}

// askPast asks the coordinator where a hub has had no current word for a while: the hub may
// be cut off from it. If the coordinator does not answer either, the hub is stayed with: it
// looks after the store by itself then.
func (n *Node) askPast(ctx context.Context, holder cflease.Holder, hub cfmember.Entry) {
	now := cf.Uptime()
	n.feed.mu.Lock()
	due := now-n.feed.pastAt >= hubDoubt
	if due {
		n.feed.pastAt = now
	}
	n.feed.mu.Unlock()
	if !due {
		return
	}
	n.hubLost(hub.ID)
	err := n.feedOnce(ctx, holder.Addr, false)
	if err == nil {
		return
	}
	n.log.Info("hub_kept", zap.String("entry", string(hub.ID)), cflog.Error(err))
	n.feed.mu.Lock()
	delete(n.feed.hubSilent, hub.ID)
	n.feed.mu.Unlock()
	n.setHub(hub)
}

// hubLost gives a hub up that did not answer.
func (n *Node) hubLost(id cf.EntryID) {
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	if n.feed.hubSilent == nil {
		n.feed.hubSilent = map[cf.EntryID]cf.Millis{}
	}
	n.feed.hubSilent[id] = cf.Uptime() + hubAvoid
	n.feed.hub = nil
}

func (n *Node) hubAvoided(id cf.EntryID, now cf.Millis) bool {
	n.feed.mu.Lock()
	defer n.feed.mu.Unlock()
	return now < n.feed.hubSilent[id]
}

// silentHubs returns the hubs that are avoided. feed.mu is held.
func (f *feed) silentHubs(now cf.Millis) []cf.EntryID {
	maps.DeleteFunc(f.hubSilent, func(_ cf.EntryID, until cf.Millis) bool { return now >= until })
	return slices.Collect(maps.Keys(f.hubSilent))
}
