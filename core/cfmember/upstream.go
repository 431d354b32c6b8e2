package cfmember

import (
	"maps"
	"slices"
	"sync"

	cf "currantford"
)

const (
	// HubStaleTimeout is how long a hub may be without a current view before an instance polls the
	// coordinator directly. It is also the minimum interval between such direct polls.
	HubStaleTimeout cf.Millis = 1000
	// hubAvoidPeriod is how long an instance avoids a hub that did not answer.
	hubAvoidPeriod cf.Millis = 8000
	// hubReviewInterval is the mean time for which an instance keeps a hub before it checks whether
	// another one is preferred. The time varies by half of that in either direction.
	hubReviewInterval cf.Millis = 10000
	// assignedHubHold is how long an instance polls a hub that the coordinator has assigned, even
	// if the instance is itself a hub according to its own roster.
	assignedHubHold cf.Millis = 2000
)

// Upstream selects where an instance polls for updates: the coordinator or a hub. It is safe for
// concurrent use.
type Upstream struct {
	self Entry
	// random returns a number from 0 to 1. onHubChange is called with each newly selected hub.
	random      func() float64
	onHubChange func(Entry)

	mu sync.Mutex
	// hub is the hub to poll, nil for the coordinator. After reviewAt another hub may be selected;
	// before assignedUntil this one is polled in any case.
	hub                     *Entry
	reviewAt, assignedUntil cf.Millis
	// bypassedAt is when the coordinator was last polled directly despite a selected hub.
	bypassedAt cf.Millis
	// avoided holds the hubs that must not be selected, each with the time until which it is
	// avoided.
	avoided map[cf.EntryID]cf.Millis
}

// NewUpstream returns the upstream of an instance that knows no hub. random returns numbers from 0
// to 1; onHubChange is called with each newly selected hub.
func NewUpstream(self Entry, random func() float64, onHubChange func(Entry)) *Upstream {
	return &Upstream{self: self, random: random, onHubChange: onHubChange, avoided: map[cf.EntryID]cf.Millis{}}
}

// UsesHub reports whether a hub is polled for updates.
func (u *Upstream) UsesHub() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hub != nil
}

// HubToAsk returns the hub to poll, or false if the coordinator, holder, is to be polled: by hubs,
// by instances with clients of their own, and by instances that know no hub.
func (u *Upstream) HubToAsk(hubs []Entry, holder cf.EntryID, hasClients bool, now cf.Millis) (Entry, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	isUpstream := hasClients || Contains(hubs, u.self.ID)
	if isUpstream && now >= u.assignedUntil || u.hub == nil || u.hub.ID == holder {
		return Entry{}, false
	}
	if now >= u.reviewAt {
		u.chooseHub(hubs, holder, now) // The result may be the same hub.
	}
	if u.hub == nil {
		return Entry{}, false
	}
	return *u.hub, true
}

// ChooseHub selects the hub to poll from now on, if there are any hubs.
func (u *Upstream) ChooseHub(hubs []Entry, holder cf.EntryID, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.chooseHub(hubs, holder, now)
}

func (u *Upstream) chooseHub(hubs []Entry, holder cf.EntryID, now cf.Millis) {
	if len(hubs) == 0 { // The deployment has shrunk, or its size is not known yet.
		u.hub = nil
		return
	}
	candidates := HubCandidates(hubs, u.self, func(id cf.EntryID) bool { return id == holder || now < u.avoided[id] })
	if len(candidates) > 0 && !Contains(hubs, u.self.ID) {
		u.setHub(candidates[0], now)
	}
}

// AssignHub selects the hub that the coordinator has assigned.
func (u *Upstream) AssignHub(hub Entry, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setHub(hub, now)
	u.assignedUntil = now + assignedHubHold
}

func (u *Upstream) setHub(hub Entry, now cf.Millis) {
	if u.hub == nil || u.hub.ID != hub.ID {
		u.onHubChange(hub)
	}
	u.hub, u.reviewAt = &hub, now+cf.Millis((0.5+u.random())*float64(hubReviewInterval))
}

// AvoidHub drops a hub that did not answer and avoids it for a while.
func (u *Upstream) AvoidHub(id cf.EntryID, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.avoidHub(id, now)
}

func (u *Upstream) avoidHub(id cf.EntryID, now cf.Millis) {
	u.avoided[id] = now + hubAvoidPeriod
	u.hub = nil
}

// BypassHub reports whether the coordinator should be polled directly because the hub has had no
// current view for a while, possibly because it is cut off from the coordinator. If so, it also
// drops the hub.
func (u *Upstream) BypassHub(id cf.EntryID, now cf.Millis) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now-u.bypassedAt < HubStaleTimeout {
		return false
	}
	u.bypassedAt = now
	u.avoidHub(id, now)
	return true
}

// RestoreHub selects a dropped hub again because the coordinator does not answer either. That hub
// watches the store itself in this case.
func (u *Upstream) RestoreHub(hub Entry, now cf.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.avoided, hub.ID)
	u.setHub(hub, now)
}

// AvoidedHubs returns the hubs that are currently avoided.
func (u *Upstream) AvoidedHubs(now cf.Millis) []cf.EntryID {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.avoided, func(_ cf.EntryID, until cf.Millis) bool { return now >= until })
	return slices.Collect(maps.Keys(u.avoided))
}
