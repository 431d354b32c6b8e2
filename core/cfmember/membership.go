package cfmember

import (
	"sync"

	cf "currantford"
)

const (
	// refreshInterval spaces the coordinator's looks at a long list of instances, from liveFew
	// on: when hundreds start, each of their first calls changes it.
	refreshInterval   cf.Millis = 50
	throttleThreshold int       = 100
)

// Membership is what an instance knows of the others: as the coordinator by their own and
// the hubs' reports, else as it is told; and as a hub who asks it. It is safe for concurrent
// use.
type Membership struct {
	hubMin int

	mu sync.Mutex
	// table are the instances as the coordinator hears of them. While keeping, the
	// roster is made of it, as of its changes counted by seen, at liveAt.
	table        Table
	coordinating bool
	tableVersion int64
	refreshedAt  cf.Millis
	// roster are those that take callers, hubs and scouts those among them, and scout
	// whether this instance is one of the scouts, as of the roster's changes counted by
	// ranked.
	roster    Roster
	hubs      []Entry
	watchers  []Entry
	isWatcher bool
	rolesAt   int64
	// clients are the instances that ask this one, clientRoster identifies them.
	clients      Table
	clientRoster Roster
}

// NewMembership returns the membership of an instance that knows no other; hubsFrom is from
// how many instances on there are hubs.
func NewMembership(hubMin int) *Membership { return &Membership{hubMin: hubMin, rolesAt: -1} }

// StartCoordinating begins to keep the list, as the coordinator: with the instances that it was told of,
// which it returns, and until they have had time to report.
func (m *Membership) StartCoordinating(now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.roster.Entries()
	m.table.Adopt(entries, now)
	m.tableVersion, m.coordinating = 0, true
	return entries
}

// StopCoordinating ends that: the list stays as it is, until it is told.
func (m *Membership) StopCoordinating(self Entry, now cf.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshedAt = 0
	m.refresh(self, now)
	m.coordinating = false
}

// refresh makes the roster that of the table, while it is kept.
func (m *Membership) refresh(self Entry, now cf.Millis) {
	if !m.coordinating || now-m.refreshedAt < refreshInterval && len(m.roster.Entries()) >= throttleThreshold {
		return
	}
	m.refreshedAt = now
	m.table.Record(self, now)
	if live := m.table.Live(now); m.table.Version() != m.tableVersion {
		m.roster.Set(live)
		m.tableVersion = m.table.Version()
	}
}

// updateRoles finds the hubs and the scouts of the roster.
func (m *Membership) updateRoles(self Entry) {
	if version := m.roster.Version(); m.rolesAt != version {
		m.hubs, m.rolesAt = Hubs(m.roster.Entries(), m.hubMin), version
		m.watchers = FallbackWatchers(m.roster.Entries(), m.hubs)
		m.isWatcher = IsFallbackWatcher(m.roster.Entries(), m.hubs, self)
	}
}

// Live returns the instances that take callers, sorted by id. The list is not to be changed.
func (m *Membership) Live(self Entry, now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	return m.roster.Entries()
}

// LiveWithAges returns those that the coordinator hears of, each with its latest age.
func (m *Membership) LiveWithAges(now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.LiveWithAges(now)
}

// Hubs returns the hubs.
func (m *Membership) Hubs(self Entry, now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	m.updateRoles(self)
	return m.hubs
}

// IsFallbackWatcher says whether an instance, self, looks after the store as soon as the coordinator
// can't tell how things stand.
func (m *Membership) IsFallbackWatcher(self Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRoles(self)
	return m.isWatcher
}

// Restarts counts the instances that the coordinator here heard to have started again.
func (m *Membership) Restarts() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.restarts
}

// FallbackWatchers returns the instances that look after the store by themselves. The list is not to be
// changed.
func (m *Membership) FallbackWatchers(self Entry) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRoles(self)
	return m.watchers
}

// RecordReport takes an instance's report, as the coordinator, with what it tells of those that ask
// it. It returns the sum of that group as it is known now.
func (m *Membership) RecordReport(e Entry, g *Group, now cf.Millis) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Record(e, now)
	if g == nil {
		return 0
	}
	return m.table.RecordGroup(e.ID, *g, now)
}

// RemoveRefused takes the word that no process takes connections at an address for instances.
func (m *Membership) RemoveRefused(peerAddr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RemoveRefused(peerAddr)
}

// RecordClient takes the report of an instance that asks this one, as its hub.
func (m *Membership) RecordClient(e Entry, now cf.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clients.Record(e, now)
}

// ClientCount counts the instances that ask this one.
func (m *Membership) ClientCount(now cf.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.clients.Live(now))
}

// Group returns what the coordinator is told of the instances that ask this one, nil if none
// does; known is the sum of those that it knows.
func (m *Membership) Group(knownSum uint64, now cf.Millis) *Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.clients.Live(now)
	if len(live) == 0 && knownSum == 0 {
		return nil
	}
	m.clientRoster.Set(live)
	g := &Group{Sum: m.clientRoster.Sum()}
	if g.Sum != knownSum {
		g.Entries = live
	}
	return g
}

// Update returns what an instance must hear of the list: what has changed since count where
// same says that it has heard that here, else all of it unless it has the same sum; nil if it
// knows all.
func (m *Membership) Update(sameSource bool, version int64, sum uint64, self Entry, now cf.Millis) *RosterUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	var update RosterUpdate
	switch {
	case !sameSource:
		update = m.roster.Snapshot(sum)
	case version != m.roster.Version():
		update = m.roster.Since(version)
	default:
		return nil
	}
	return &update
}

// Apply takes news of the list; false if it must be told all of it.
func (m *Membership) Apply(update RosterUpdate) (inSync bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinating || m.roster.Apply(update)
}

// Sum identifies the list.
func (m *Membership) Sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Sum()
}
