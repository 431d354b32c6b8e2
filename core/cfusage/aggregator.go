package cfusage

import (
	"maps"

	cf "currantford"
)

// maxSnapshotRows limits a snapshot to some 20 KB.
const maxSnapshotRows = 1000

// instanceTimeout is how long after its last report an instance is still waited for.
const instanceTimeout cf.Millis = 15_000

type (
	// Aggregator adds up the counts of all instances. It is not safe for concurrent use.
	Aggregator struct {
		length  cf.Millis
		windows map[cf.UsageWindow]map[Source]sourceCounts
		// latest holds the last report of each instance.
		latest  map[cf.EntryID]latestReport
		settled cf.UsageWindow
	}

	// Snapshot holds the counts that a holder has received and not reported yet, for its successor.
	// It is stored next to the holder's lease, so that the loss of all instances costs only the
	// counts since the last renewal of the lease.
	Snapshot struct {
		First         cf.UsageWindow    `json:"first"`
		Organisations []cf.Organisation `json:"organisations"`
		Sources       []SnapshotSource  `json:"sources"`
		// Rows holds the counts; each row contains the index of a source, the offset of a window
		// from First, the index of an organisation, and the count.
		Rows [][4]int64 `json:"rows"`
	}

	// SnapshotSource identifies an instance and the state of its counts in a snapshot.
	SnapshotSource struct {
		Source
		Seq int64 `json:"change"`
	}

	sourceCounts struct {
		counts map[cf.Organisation]int64
		seq    int64
	}

	latestReport struct {
		source  Source
		seq     int64
		through cf.Millis
	}
)

// NewAggregator returns an aggregator without counts, for windows of the given length.
func NewAggregator(length cf.Millis) *Aggregator {
	return &Aggregator{length: length, windows: map[cf.UsageWindow]map[Source]sourceCounts{}, latest: map[cf.EntryID]latestReport{}}
}

// Expect records that an instance may have counts as of now, so that windows wait for its report.
func (a *Aggregator) Expect(e cf.EntryID, now cf.Millis) {
	if _, known := a.latest[e]; !known {
		a.latest[e] = latestReport{through: now}
	}
}

// Add adds an instance's report. It returns the windows in it that have already been reported to
// the platform, whose counts are too late.
func (a *Aggregator) Add(r MeterReport) (late []cf.UsageReport) {
	if l := a.latest[r.Source.Entry]; l.source != r.Source || l.seq <= r.Seq {
		a.latest[r.Source.Entry] = latestReport{r.Source, r.Seq, r.Through}
	}
	for _, w := range r.Windows {
		if w.Window <= a.settled {
			late = append(late, w)
			continue
		}
		parts := a.windows[w.Window]
		if parts == nil {
			parts = map[Source]sourceCounts{}
			a.windows[w.Window] = parts
		}
		if parts[r.Source].seq <= r.Seq {
			parts[r.Source] = sourceCounts{w.Counts, r.Seq}
		}
	}
	return late
}

// Restore adds the counts of a previous holder's snapshot. The instances in it are not waited for:
// those that still run report again.
func (a *Aggregator) Restore(snapshot Snapshot) {
	for i, s := range snapshot.Sources {
		for _, row := range snapshot.Rows {
			if row[0] != int64(i) || int(row[2]) >= len(snapshot.Organisations) || row[2] < 0 {
				continue
			}
			w := snapshot.First + cf.UsageWindow(row[1])
			if w <= a.settled {
				continue
			}
			parts := a.windows[w]
			if parts == nil {
				parts = map[Source]sourceCounts{}
				a.windows[w] = parts
			}
			p := parts[s.Source]
			if p.seq > s.Seq {
				continue // The instance has reported since.
			}
			if p.seq < s.Seq || p.counts == nil {
				p = sourceCounts{map[cf.Organisation]int64{}, s.Seq}
			}
			p.counts[snapshot.Organisations[row[2]]] = row[3]
			parts[s.Source] = p
		}
	}
}

// Snapshot returns what a successor needs if this holder is lost, in at most maxSnapshotRows rows.
func (a *Aggregator) Snapshot() Snapshot {
	var snapshot Snapshot
	oldest, counted := a.Oldest()
	if !counted {
		return snapshot
	}
	snapshot.First = oldest
	names, sources := map[cf.Organisation]int64{}, map[Source]int64{}
	for w, parts := range a.windows {
		for source, p := range parts {
			if len(snapshot.Rows)+len(p.counts) > maxSnapshotRows {
				continue
			}
			i, known := sources[source]
			if !known {
				i = int64(len(snapshot.Sources))
				sources[source] = i
				snapshot.Sources = append(snapshot.Sources, SnapshotSource{Source: source})
			}
			snapshot.Sources[i].Seq = max(snapshot.Sources[i].Seq, p.seq)
			for o, n := range p.counts {
				j, known := names[o]
				if !known {
					j = int64(len(snapshot.Organisations))
					names[o] = j
					snapshot.Organisations = append(snapshot.Organisations, o)
				}
				snapshot.Rows = append(snapshot.Rows, [4]int64{i, int64(w - oldest), j, n})
			}
		}
	}
	return snapshot
}

// Counts returns the counts of a window received so far.
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

// Complete reports whether every instance that was heard from during the window, or shortly before
// it, has reported beyond the end of the window.
func (a *Aggregator) Complete(w cf.UsageWindow) bool {
	ends := w.End(a.length)
	for _, l := range a.latest {
		if l.through < ends+grace && l.through > ends-instanceTimeout {
			return false
		}
	}
	return len(a.latest) > 0
}

// grace covers the time from sending a request until it begins to run, for most requests. The
// counts of a window are final only in reports made at least that long after its end.
const grace cf.Millis = 300

// Settle discards the windows up to and including through, which have been reported.
func (a *Aggregator) Settle(through cf.UsageWindow) {
	a.settled = max(a.settled, through)
	maps.DeleteFunc(a.windows, func(w cf.UsageWindow, _ map[Source]sourceCounts) bool { return w <= through })
}

// Oldest returns the oldest window with counts, and false if there is none.
func (a *Aggregator) Oldest() (cf.UsageWindow, bool) {
	oldest, found := cf.UsageWindow(0), false
	for w := range a.windows {
		if !found || w < oldest {
			oldest, found = w, true
		}
	}
	return oldest, found
}
