// Package cfusage counts the requests of each organisation that begin to run in each time window,
// and decides what is reported to the platform: one report per window, and never two that differ.
// It opens no sockets and reads no clock.
//
// Each instance counts the requests that it sends (Meter). The counts are part of its regular
// reports to the holder, the one instance that holds the duty of reporting usage under a lease.
// They are cumulative, so a report that is lost or arrives twice changes nothing. The holder adds
// the counts up (Aggregator). When a window is complete, or its waiting time is over, the holder
// writes the report to the store before it sends it (Reporter), so that a successor, or the same
// holder after a lost answer, sends the same bytes again.
//
// The package is designed for some fourteen requests a second from 85 organisations, where most
// windows contain zero to three requests of each, so a count is either exact or wrong. It tolerates
// holders, instances and answers that are lost at any time, and clocks that step by seconds.
//
// Usage:
//
//	meter.Count(organisation, timeOfDay, 1)
//	aggregator.Add(meter.Report(term, timeOfDay))
//	step := reporter.Next(timeOfDay, aggregator)
package cfusage

import (
	"maps"
	"sync"

	cf "currantford"
)

// maxWindows limits the windows that an instance keeps while no holder accepts its counts.
const maxWindows = 60

type (
	// Source identifies one run of an instance's process.
	Source struct {
		Entry cf.EntryID `json:"entry" cbor:"entry"`
		Start uint32     `json:"start" cbor:"start"`
	}

	// MeterReport holds an instance's counts as totals, so that a recipient that adds a report
	// twice, or after a later one, counts nothing twice.
	MeterReport struct {
		Source Source `cbor:"source"`
		// Seq is the sequence number of the last change of the counts in the report.
		Seq int64 `cbor:"change"`
		// Through is the time up to which the counts are final, except for requests in flight.
		Through cf.Millis `cbor:"through"`
		// Windows holds the windows that the recipient does not have yet.
		Windows []cf.UsageReport `cbor:"windows,omitempty"`
	}

	// Meter counts the requests of one instance. It is safe for concurrent use.
	Meter struct {
		source Source
		length cf.Millis

		mu      sync.Mutex
		windows map[cf.UsageWindow]*windowCounts
		seq     int64
		settled cf.UsageWindow
		// ackTerm is the term of the recipient that last accepted counts, and ackSeq the sequence
		// number up to which it has them.
		ackTerm cf.Revision
		ackSeq  int64
	}

	windowCounts struct {
		counts map[cf.Organisation]int64
		seq    int64
	}
)

// NewMeter returns the meter of one run of an instance, for windows of the given length.
func NewMeter(source Source, length cf.Millis) *Meter {
	return &Meter{source: source, length: length, windows: map[cf.UsageWindow]*windowCounts{}}
}

// Count adds n requests of an organisation that began at the given time; n may be negative to
// correct an earlier count. It returns false if the window has already been reported.
func (m *Meter) Count(o cf.Organisation, at cf.Millis, n int64) bool {
	w := cf.UsageWindowAt(at, m.length)
	m.mu.Lock()
	defer m.mu.Unlock()
	if w <= m.settled {
		return false
	}
	t := m.windows[w]
	if t == nil {
		t = &windowCounts{counts: map[cf.Organisation]int64{}}
		m.windows[w] = t
		m.trim()
	}
	m.seq++
	t.seq = m.seq
	if t.counts[o] += n; t.counts[o] == 0 {
		delete(t.counts, o)
	}
	return true
}

// trim removes the oldest window if there are too many. The caller must hold m.mu.
func (m *Meter) trim() {
	if len(m.windows) <= maxWindows {
		return
	}
	oldest := cf.UsageWindow(1 << 62)
	for w := range m.windows {
		oldest = min(oldest, w)
	}
	delete(m.windows, oldest)
}

// Report returns the counts that the holder of the given term has not accepted yet.
func (m *Meter) Report(term cf.Revision, now cf.Millis) MeterReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	ackSeq := m.ackSeq
	if term != m.ackTerm {
		ackSeq = 0
	}
	r := MeterReport{Source: m.source, Seq: m.seq, Through: now}
	for w, t := range m.windows {
		if t.seq > ackSeq {
			r.Windows = append(r.Windows, cf.UsageReport{Window: w, Counts: maps.Clone(t.counts)})
		}
	}
	return r
}

// Acknowledge records that the holder of the given term has accepted a report.
func (m *Meter) Acknowledge(term cf.Revision, r MeterReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.ackTerm {
		m.ackTerm, m.ackSeq = term, 0
	}
	m.ackSeq = max(m.ackSeq, r.Seq)
}

// Settle discards the windows up to and including through, whose reports are in the store.
func (m *Meter) Settle(through cf.UsageWindow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if through <= m.settled {
		return
	}
	m.settled = through
	maps.DeleteFunc(m.windows, func(w cf.UsageWindow, _ *windowCounts) bool { return w <= through })
}
