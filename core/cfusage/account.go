package cfusage

import (
	"maps"

	cf "currantford"
)

// rowsMost bounds a base: some 20 KB.
const rowsMost = 1000

// lostAfter is how long after its last report an instance is not waited for any more.
const lostAfter cf.Millis = 15_000

type (
	// Aggregator adds up what instances have counted. It is not safe for concurrent use.
	Aggregator struct {
		length  cf.Millis
		windows map[cf.UsageWindow]map[Source]part
		// latest is the last report of each instance.
		latest  map[cf.EntryID]latest
		settled cf.UsageWindow
	}

	// Snapshot is what a holder has heard and not reported, for a successor: it lies beside
	// the holder's lease, so that the loss of all instances costs what came since the
	// last renewal.
	Snapshot struct {
		First         cf.UsageWindow    `json:"first"`
		Organisations []cf.Organisation `json:"organisations"`
		Sources       []SnapshotSource  `json:"sources"`
		// Rows are indexes of a source, of a window after First and of an
		// organisation, with a count.
		Rows [][4]int64 `json:"rows"`
	}

	// SnapshotSource is an instance as of its last report.
	SnapshotSource struct {
		Source
		Seq int64 `json:"change"`
	}

	part struct {
		counts map[cf.Organisation]int64
		change int64
	}

	latest struct {
		source  Source
		change  int64
		through cf.Millis
	}
)

// NewAggregator returns an account without counts.
func NewAggregator(length cf.Millis) *Aggregator {
	return &Aggregator{length: length, windows: map[cf.UsageWindow]map[Source]part{}, latest: map[cf.EntryID]latest{}}
}

// Expect notes that an instance may have counts, as of a moment.
func (a *Aggregator) Expect(e cf.EntryID, now cf.Millis) {
	if _, known := a.latest[e]; !known {
		a.latest[e] = latest{through: now}
	}
}

// Add takes an instance's report. It returns the windows in it that were reported
// before, whose counts come too late.
func (a *Aggregator) Add(r MeterReport) (late []cf.UsageReport) {
	if l := a.latest[r.Source.Entry]; l.source != r.Source || l.change <= r.Seq {
		a.latest[r.Source.Entry] = latest{r.Source, r.Seq, r.Through}
	}
	for _, w := range r.Windows {
		if w.Window <= a.settled {
			late = append(late, w)
			continue
		}
		parts := a.windows[w.Window]
		if parts == nil {
			parts = map[Source]part{}
			a.windows[w.Window] = parts
		}
		if parts[r.Source].change <= r.Seq {
			parts[r.Source] = part{w.Counts, r.Seq}
		}
	}
	return late
}

// Restore takes what a holder before had heard. Its instances are not waited for: those
// that live report again.
func (a *Aggregator) Restore(b Snapshot) {
	for i, s := range b.Sources {
		for _, row := range b.Rows {
			if row[0] != int64(i) || int(row[2]) >= len(b.Organisations) || row[2] < 0 {
				continue
			}
			w := b.First + cf.UsageWindow(row[1])
			if w <= a.settled {
				continue
			}
			parts := a.windows[w]
			if parts == nil {
				parts = map[Source]part{}
				a.windows[w] = parts
			}
			p := parts[s.Source]
			if p.change > s.Seq {
				continue // it has reported since
			}
			if p.change < s.Seq || p.counts == nil {
				p = part{map[cf.Organisation]int64{}, s.Seq}
			}
			p.counts[b.Organisations[row[2]]] = row[3]
			parts[s.Source] = p
		}
	}
}

// Snapshot returns what a successor needs if this holder is lost, in rowsMost rows at most.
func (a *Aggregator) Snapshot() Snapshot {
	var b Snapshot
	oldest, counted := a.Oldest()
	if !counted {
		return b
	}
	b.First = oldest
	names, sources := map[cf.Organisation]int64{}, map[Source]int64{}
	for w, parts := range a.windows {
		for source, p := range parts {
			if len(b.Rows)+len(p.counts) > rowsMost {
				continue
			}
			i, known := sources[source]
			if !known {
				i = int64(len(b.Sources))
				sources[source] = i
				b.Sources = append(b.Sources, SnapshotSource{Source: source})
			}
			b.Sources[i].Seq = max(b.Sources[i].Seq, p.change)
			for o, n := range p.counts {
				j, known := names[o]
				if !known {
					j = int64(len(b.Organisations))
					names[o] = j
					b.Organisations = append(b.Organisations, o)
				}
				b.Rows = append(b.Rows, [4]int64{i, int64(w - oldest), j, n})
			}
		}
	}
	return b
}

// Counts returns what is known of a window.
func (a *Aggregator) Counts(w cf.UsageWindow) map[cf.Organisation]int64 {
	sum := map[cf.Organisation]int64{}
	for _, p := range a.windows[w] {
		for o, n := range p.counts {
			if sum[o] += n; sum[o] == 0 {
				delete(sum, o)
			}
		}
	}
	return sum
}

// Complete says whether every instance that was heard of in the window, or shortly
// before, has reported beyond its end.
func (a *Aggregator) Complete(w cf.UsageWindow) bool {
	ends := w.Ends(a.length)
	for _, l := range a.latest {
		if l.through < ends+grace && l.through > ends-lostAfter {
			return false
		}
	}
	return len(a.latest) > 0
}

// grace is how long after its sending a request may begin to run, mostly: an instance's
// report counts those of a window for good only that long after its end.
const grace cf.Millis = 300

// Settle drops the windows up to one.
func (a *Aggregator) Settle(through cf.UsageWindow) {
	a.settled = max(a.settled, through)
	maps.DeleteFunc(a.windows, func(w cf.UsageWindow, _ map[Source]part) bool { return w <= through })
}

// Oldest returns the oldest window with counts, false if there is none.
func (a *Aggregator) Oldest() (cf.UsageWindow, bool) {
	oldest, found := cf.UsageWindow(0), false
	for w := range a.windows {
		if !found || w < oldest {
			oldest, found = w, true
		}
	}
	return oldest, found
}
