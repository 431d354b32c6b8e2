package cfmember

import (
	"maps"
	"slices"
	"sync"

	cf "currantford"
)

const (
	// HubStaleTimeout is how long a hub may have no current word before the coordinator itself
	// is asked.
	HubStaleTimeout cf.Millis = 1000
	// hubAvoid keeps an instance off a hub that did not answer it.
	hubAvoid cf.Millis = 8000
	// hubKept is how long an instance stays with a hub, from half of it to half more,
	// before it looks which it should ask now.
	hubKept cf.Millis = 10000
	// hubFollow is how long an instance asks the hub that the coordinator has named, also
	// if it takes itself for one.
	hubFollow cf.Millis = 2000
)

// Upstream is whom an instance asks for news: the coordinator, or a hub. It is safe for
// concurrent use.
type Upstream struct {
	self Entry
	// draw returns a number from 0 to 1, chosen is told of each new hub.
	draw   func() float64
	chosen func(Entry)

	mu sync.Mutex
	// hub is asked for news, the coordinator if there is none; until is as of when another
	// may be the one to ask, follow until when this one is asked in any case.
	hub           *Entry
	until, follow cf.Millis
	// pastAt is when the coordinator was asked last though there is a hub.
	pastAt cf.Millis
	// silent are hubs that did not answer, with until when they are avoided.
	silent map[cf.EntryID]cf.Millis
}

// NewUpstream returns the upstream of an instance that knows no hub. draw returns numbers
// from 0 to 1, chosen is told of each new hub.
func NewUpstream(self Entry, draw func() float64, chosen func(Entry)) *Upstream {
	return &Upstream{self: self, draw: draw, chosen: chosen, silent: map[cf.EntryID]cf.Millis{}}
}

// UsesHub says whether a hub is asked for news.
func (u *Upstream) UsesHub() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hub != nil
}

// HubToAsk returns the hub to ask, false if the coordinator, holder, is to be asked: by the hubs
// themselves, by an instance that others ask, and by one that knows no hub.
func (u *Upstream) HubToAsk(hubs []Entry, holder cf.EntryID, asked bool, now cf.Millis) (Entry, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := asked || Contains(hubs, u.self.ID)
	if own && now >= u.follow || u.hub == nil || u.hub.ID == holder {
		return Entry{}, false
	}
	if now >= u.until {
		u.find(hubs, holder, now) // it may be the same one
	}
	if u.hub == nil {
		return Entry{}, false
	}
	return *u.hub, true
}

// ChooseHub chooses the hub to ask from now on, if there are any.
func (u *Upstream) ChooseHub(hubs []Entry, holder cf.EntryID, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.find(hubs, holder, now)
}

func (u *Upstream) find(hubs []Entry, holder cf.EntryID, now cf.Millis) {
	if len(hubs) == 0 { // the deployment has shrunk, or nothing is known of it
		u.hub = nil
		return
	}
	choices := HubCandidates(hubs, u.self, func(id cf.EntryID) bool { return id == holder || now < u.silent[id] })
	if len(choices) > 0 && !Contains(hubs, u.self.ID) {
		u.set(choices[0], now)
	}
}

// AssignHub takes the hub that the coordinator names.
func (u *Upstream) AssignHub(hub Entry, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.set(hub, now)
	u.follow = now + hubFollow
}

func (u *Upstream) set(hub Entry, now cf.Millis) {
	if u.hub == nil || u.hub.ID != hub.ID {
		u.chosen(hub)
	}
	u.hub, u.until = &hub, now+cf.Millis((0.5+u.draw())*float64(hubKept))
}

// AvoidHub gives a hub up that did not answer.
func (u *Upstream) AvoidHub(id cf.EntryID, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lose(id, now)
}

func (u *Upstream) lose(id cf.EntryID, now cf.Millis) {
	u.silent[id] = now + hubAvoid
	u.hub = nil
}

// BypassHub says whether the coordinator itself is to be asked, as the hub has had no current
// word for a while: it may be cut off from it. The hub is given up for that.
func (u *Upstream) BypassHub(id cf.EntryID, now cf.Millis) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now-u.pastAt < HubStaleTimeout {
		return false
	}
	u.pastAt = now
	u.lose(id, now)
	return true
}

// RestoreHub goes back to a hub that was given up, as the coordinator does not answer either: the
// hub looks after the store by itself then.
func (u *Upstream) RestoreHub(hub Entry, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.silent, hub.ID)
	u.set(hub, now)
}

// AvoidedHubs returns the hubs that are avoided.
func (u *Upstream) AvoidedHubs(now cf.Millis) []cf.EntryID {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.silent, func(_ cf.EntryID, until cf.Millis) bool { return now >= until })
	return slices.Collect(maps.Keys(u.silent))
}
