package cfmember

import (
	"sync"

	cf "currantford"
)

const (
	// liveEvery spaces the coordinator's looks at a long list of instances, from liveFew
	// on: when hundreds start, each of their first calls changes it.
	liveEvery cf.Millis = 50
	liveFew   int       = 100
)

// Membership is what an instance knows of the others: as the coordinator by their own and
// the hubs' reports, else as it is told; and as a hub who asks it. It is safe for concurrent
// use.
type Membership struct {
	hubsFrom int

	mu sync.Mutex
	// table are the instances as the coordinator hears of them. While keeping, the
	// roster is made of it, as of its changes counted by seen, at liveAt.
	table   Table
	keeping bool
	seen    int64
	liveAt  cf.Millis
	// roster are those that take callers, hubs and scouts those among them, and scout
	// whether this instance is one of the scouts, as of the roster's changes counted by
	// ranked.
	roster Roster
	hubs   []Entry
	scouts []Entry
	scout  bool
	ranked int64
	// clients are the instances that ask this one, clientRoster identifies them.
	clients      Table
	clientRoster Roster
}

// NewMembership returns the membership of an instance that knows no other; hubsFrom is from
// how many instances on there are hubs.
func NewMembership(hubsFrom int) *Membership { return &Membership{hubsFrom: hubsFrom, ranked: -1} }

// StartCoordinating begins to keep the list, as the coordinator: with the instances that it was told of,
// which it returns, and until they have had time to report.
func (m *Membership) StartCoordinating(now cf.Millis) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := m.roster.Entries()
	m.table.Adopt(entries, now)
	m.seen, m.keeping = 0, true
	return entries
}

// StopCoordinating ends that: the list stays as it is, until it is told.
func (m *Membership) StopCoordinating(self Entry, now cf.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.liveAt = 0
	m.refresh(self, now)
	m.keeping = false
}

// refresh makes the roster that of the table, while it is kept.
func (m *Membership) refresh(self Entry, now cf.Millis) {
	if !m.keeping || now-m.liveAt < liveEvery && len(m.roster.Entries()) >= liveFew {
		return
	}
	m.liveAt = now
	m.table.Record(self, now)
	if live := m.table.Live(now); m.table.Version() != m.seen {
		m.roster.Set(live)
		m.seen = m.table.Version()
	}
}

// rank finds the hubs and the scouts of the roster.
func (m *Membership) rank(self Entry) {
	if count := m.roster.Version(); m.ranked != count {
		m.hubs, m.ranked = Hubs(m.roster.Entries(), m.hubsFrom), count
		m.scouts = FallbackWatchers(m.roster.Entries(), m.hubs)
		m.scout = IsFallbackWatcher(m.roster.Entries(), m.hubs, self)
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
	m.rank(self)
	return m.hubs
}

// IsFallbackWatcher says whether an instance, self, looks after the store as soon as the coordinator
// can't tell how things stand.
func (m *Membership) IsFallbackWatcher(self Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rank(self)
	return m.scout
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
	m.rank(self)
	return m.scouts
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
func (m *Membership) RemoveRefused(peers string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RemoveRefused(peers)
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
func (m *Membership) Group(known uint64, now cf.Millis) *Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.clients.Live(now)
	if len(live) == 0 && known == 0 {
		return nil
	}
	m.clientRoster.Set(live)
	g := &Group{Sum: m.clientRoster.Sum()}
	if g.Sum != known {
		g.Entries = live
	}
	return g
}

// Update returns what an instance must hear of the list: what has changed since count where
// same says that it has heard that here, else all of it unless it has the same sum; nil if it
// knows all.
func (m *Membership) Update(same bool, count int64, sum uint64, self Entry, now cf.Millis) *RosterUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(self, now)
	var news RosterUpdate
	switch {
	case !same:
		news = m.roster.Snapshot(sum)
	case count != m.roster.Version():
		news = m.roster.Since(count)
	default:
		return nil
	}
	return &news
}

// Apply takes news of the list; false if it must be told all of it.
func (m *Membership) Apply(news RosterUpdate) (same bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keeping || m.roster.Apply(news)
}

// Sum identifies the list.
func (m *Membership) Sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Sum()
}
