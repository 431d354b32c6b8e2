package cfmember

import (
	"sync"

	cf "currantford"
)

const (
	// refreshInterval is the minimum interval between two rebuilds of the roster from the table
	// once the roster has throttleThreshold entries: when hundreds of instances start, the first
	// report of each one changes the list.
	refreshInterval   cf.Millis = 50
	throttleThreshold int       = 100
)

// Membership is one instance's knowledge of the other instances. On the coordinator it is built
// from the reports of instances and hubs; on any other instance it follows the updates received
// from the coordinator or a hub. On a hub it also tracks the instances that poll this hub. It is
// safe for concurrent use.
type Membership struct {
	hubMin int

	mu sync.Mutex
	// table holds the instances that report to this coordinator. While coordinating is set, the
	// roster is rebuilt from the table; tableVersion and refreshedAt are the table's version and
	// the time of the last rebuild.
	table        Table
	coordinating bool
	tableVersion int64
	refreshedAt  cf.Millis
	// roster holds the instances that accept callers. hubs and watchers are the hubs and fallback
	// watchers among them, and isWatcher says whether this instance is a fallback watcher; all
	// three are computed for the roster version rolesAt.
	roster    Roster
	hubs      []Entry
	watchers  []Entry
	isWatcher bool
	rolesAt   int64
	// clients holds the instances that poll this one as their hub; clientRoster provides the
	// checksum of that set.
	clients      Table
	clientRoster Roster
}

// NewMembership returns the membership of an instance that knows no other instance. Hubs are used
// from hubMin instances on.
func NewMembership(hubMin int) *Membership { return &Membership{hubMin: hubMin, rolesAt: -1} }

// StartCoordinating begins to maintain the roster from instance reports, as the coordinator. The
// instances known so far, which it returns, stay listed until they have had time to report.
func (m *Membership) StartCoordinating(now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.roster.Entries()
	m.table.Adopt(entries, now)
	m.tableVersion, m.coordinating = 0, true
	return entries
}

// StopCoordinating stops maintaining the roster from instance reports. The roster then stays
// unchanged until an update is applied.
func (m *Membership) StopCoordinating(self Entry, now cf.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshedAt = 0
	m.refresh(self, now)
	m.coordinating = false
}

// refresh rebuilds the roster from the table if this instance is the coordinator.
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

// updateRoles recomputes the hubs and fallback watchers if the roster has changed.
func (m *Membership) updateRoles(self Entry) {
	if version := m.roster.Version(); m.rolesAt != version {
		m.hubs, m.rolesAt = Hubs(m.roster.Entries(), m.hubMin), version
		m.watchers = FallbackWatchers(m.roster.Entries(), m.hubs)
		m.isWatcher = IsFallbackWatcher(m.roster.Entries(), m.hubs, self)
	}
}

// Live returns the instances that accept callers, sorted by ID. The caller must not modify the
// slice.
func (m *Membership) Live(self Entry, now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	return m.roster.Entries()
}

// LiveWithAges returns the ready instances that report to the coordinator, each with its latest
// age.
func (m *Membership) LiveWithAges(now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.LiveWithAges(now)
}

// Hubs returns the current hubs. The caller must not modify the slice.
func (m *Membership) Hubs(self Entry, now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	m.updateRoles(self)
	return m.hubs
}

// IsFallbackWatcher reports whether self watches the store as soon as the coordinator has no
// current view.
func (m *Membership) IsFallbackWatcher(self Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRoles(self)
	return m.isWatcher
}

// Restarts returns the number of instance restarts that this instance has observed as the
// coordinator.
func (m *Membership) Restarts() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.restarts
}

// FallbackWatchers returns the instances that watch the store as soon as the coordinator has no
// current view. The caller must not modify the slice.
func (m *Membership) FallbackWatchers(self Entry) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRoles(self)
	return m.watchers
}

// RecordReport records an instance's report at the coordinator, along with the group of clients
// that a hub reports. It returns the checksum of that hub's group as now known here, or zero
// without a group.
func (m *Membership) RecordReport(e Entry, g *Group, now cf.Millis) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Record(e, now)
	if g == nil {
		return 0
	}
	return m.table.RecordGroup(e.ID, *g, now)
}

// RemoveRefused records that connections to a peer address are refused. See Table.RemoveRefused.
func (m *Membership) RemoveRefused(peerAddr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RemoveRefused(peerAddr)
}

// RecordClient records the report of an instance that polls this one as its hub.
func (m *Membership) RecordClient(e Entry, now cf.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clients.Record(e, now)
}

// ClientCount returns the number of live instances that poll this one as their hub.
func (m *Membership) ClientCount(now cf.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.clients.Live(now))
}

// Group returns the report about this hub's clients for the coordinator, or nil if there are none.
// knownSum is the checksum of the group that the coordinator already has; the entries are omitted
// if it matches.
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

// Update returns the roster update for an instance, or nil if it is up to date. If sameSource is
// set, the instance has the given version of this roster and receives the changes since then;
// otherwise it receives the full roster, without entries if its checksum already matches.
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

// Apply applies a roster update. It returns false if the roster differs from its source afterwards,
// so that a full update is needed.
func (m *Membership) Apply(update RosterUpdate) (inSync bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinating || m.roster.Apply(update)
}

// Sum returns the checksum of the roster.
func (m *Membership) Sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Sum()
}
