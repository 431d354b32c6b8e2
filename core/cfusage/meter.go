// Package cfusage counts how many requests of each organisation began to run in each
// window of time, and decides what is reported of it: one report a window, never two
// that differ. It has no sockets and no clock.
//
// Instances count what they send (Meter). Their counts travel with their reports of life
// as totals, so that one that is lost or comes twice changes nothing. The holder of the
// duty adds them up (Account), and when a window is complete, or its time is up, keeps the
// report in the store before it sends it (Keeper): a successor, or the holder itself
// after an answer that was lost, sends the same bytes again.
//
// The load it answers: fourteen requests a second over 85 organisations, of which most
// windows hold none to three of each, so that a count is right or it is not; holders,
// instances and answers that are lost at any moment; clocks that step by seconds.
//
// Usage:
//
//	meter.Began(organisation, trueTime)
//	account.Take(meter.Report(term, trueTime))
//	step := keeper.Next(trueTime, account)
package cfusage

import (
	"maps"
	"sync"

	cf "currantford"
)

// windowsMost bounds the windows whose counts an instance keeps while nobody takes them.
const windowsMost = 60

type (
	// Source is one start of an instance.
	Source struct {
		Entry cf.EntryID `json:"entry" cbor:"entry"`
		Start uint32     `json:"start" cbor:"start"`
	}

	// MeterReport is what an instance has counted, as totals: whoever takes it twice, or
	// after a later one, has counted nothing twice.
	MeterReport struct {
		Source Source `cbor:"source"`
		// Seq numbers the instance's counts as of the report.
		Seq int64 `cbor:"change"`
		// Through is until when nothing more can be counted but what is under way.
		Through cf.Millis `cbor:"through"`
		// Windows are those that the recipient has not yet.
		Windows []cf.UsageReport `cbor:"windows,omitempty"`
	}

	// Meter counts at one instance. It is safe for concurrent use.
	Meter struct {
		source Source
		length cf.Millis

		mu      sync.Mutex
		windows map[cf.UsageWindow]*tally
		change  int64
		settled cf.UsageWindow
		// term and taken are the recipient that took the counts as of a change.
		term  cf.Revision
		taken int64
	}

	tally struct {
		counts map[cf.Organisation]int64
		change int64
	}
)

// NewMeter returns the meter of one start of an instance, for windows of a length.
func NewMeter(source Source, length cf.Millis) *Meter {
	return &Meter{source: source, length: length, windows: map[cf.UsageWindow]*tally{}}
}

// Count adds n requests of an organisation that began at a moment; it may take back what
// was counted too much. It returns false if the window was reported already.
func (m *Meter) Count(o cf.Organisation, at cf.Millis, n int64) bool {
	w := cf.WindowOf(at, m.length)
	m.mu.Lock()
	defer m.mu.Unlock()
	if w <= m.settled {
		return false
	}
	t := m.windows[w]
	if t == nil {
		t = &tally{counts: map[cf.Organisation]int64{}}
		m.windows[w] = t
		m.trim()
	}
	m.change++
	t.change = m.change
	if t.counts[o] += n; t.counts[o] == 0 {
		delete(t.counts, o)
	}
	return true
}

// trim drops the oldest window if there are too many. m.mu is held.
func (m *Meter) trim() {
	if len(m.windows) <= windowsMost {
		return
	}
	oldest := cf.UsageWindow(1 << 62)
	for w := range m.windows {
		oldest = min(oldest, w)
	}
	delete(m.windows, oldest)
}

// Report returns what the holder of a term has not taken yet.
func (m *Meter) Report(term cf.Revision, now cf.Millis) MeterReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.taken
	if term != m.term {
		taken = 0
	}
	r := MeterReport{Source: m.source, Seq: m.change, Through: now}
	for w, t := range m.windows {
		if t.change > taken {
			r.Windows = append(r.Windows, cf.UsageReport{Window: w, Counts: maps.Clone(t.counts)})
		}
	}
	return r
}

// Acknowledge notes that the holder of a term has taken a report.
func (m *Meter) Acknowledge(term cf.Revision, r MeterReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term {
		m.term, m.taken = term, 0
	}
	m.taken = max(m.taken, r.Seq)
}

// Settle drops the windows up to one, whose reports lie in the store.
func (m *Meter) Settle(through cf.UsageWindow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if through <= m.settled {
		return
	}
	m.settled = through
	maps.DeleteFunc(m.windows, func(w cf.UsageWindow, _ *tally) bool { return w <= through })
}
