package cfreplay

import (
	"slices"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
)

const (
	host = "h"
	// crashDelay is how long a faulty item runs before its engine crashes.
	crashDelay cf.Millis = 80
	// sweepInterval is the time between two removals of expired records from the quarantine.
	sweepInterval cf.Millis = 500
)

type (
	// CrashBurst is a simultaneous crash of a fraction of the engines, with all of their runs. The
	// engines restart under the same ids after Downtime.
	CrashBurst struct {
		At       cf.Millis
		Fraction float64
		Downtime cf.Millis
	}

	// Crashes describes the engine crashes of a simulation.
	Crashes struct {
		Bursts []CrashBurst
		// Quarantine decides which items may be sent to an engine. If it is nil, all items may.
		Quarantine *cfquarantine.Table
		// IsFaulty reports whether an item crashes each engine that runs it. The engine restarts
		// after FaultyDowntime.
		IsFaulty       func(cf.Item) bool
		FaultyDowntime cf.Millis
		// Body returns the body of an item. If Body is nil, each item has a body of its own.
		Body func(cf.Item) string
	}

	// Crash is an engine crash that was caused by a faulty item.
	Crash struct {
		At   cf.Millis
		Item cf.ItemID
		// OtherRuns is the number of other runs that were lost in the crash.
		OtherRuns int
	}

	// itemKey identifies an item of a batch.
	itemKey struct {
		batch cf.BatchID
		item  cf.ItemID
	}
)

// QuarantineKey returns the key of an item in the quarantine.
func (sim *Simulation) QuarantineKey(b cf.BatchID, it cf.Item) cfquarantine.Key {
	it.Body = []byte(it.ID)
	if body := sim.options.Crashes.Body; body != nil {
		it.Body = []byte(body(it))
	}
	return cfquarantine.KeyOfItem(&cf.Submission{ID: b, Host: host}, it)
}

// MaxUnplaced returns the longest time that an unfinished item had no engine while the engines were
// less than half full.
func (sim *Simulation) MaxUnplaced() cf.Millis { return sim.maxUnplaced }

// FaultyItemCrashes returns the engine crashes that were caused by faulty items.
func (sim *Simulation) FaultyItemCrashes() []Crash { return sim.faultyCrashes }

// admit asks the quarantine whether an item may be sent to an engine.
func (sim *Simulation) admit(w *cfrollout.Work, engine cf.Target, isolated bool) cfrollout.Admission {
	v := sim.options.Crashes.Quarantine.AdmitDeferred(sim.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(engine),
		cfquarantine.DeferredWork{Isolated: isolated, WaitingSince: w.WaitingSince()}, sim.now)
	return cfrollout.Admission{Allowed: v.Pass, TryOthers: v.OtherTarget, RetryAt: v.RetryAt, MaxRuns: v.MaxRuns}
}

// recordRun reports to the quarantine how a run ended at an engine. crashed says that the engine
// crashed.
func (sim *Simulation) recordRun(w *cfrollout.Work, at cf.Target, outcome cfrollout.Outcome, crashed bool) {
	q := sim.options.Crashes.Quarantine
	if q == nil {
		return
	}
	key, inc := sim.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(at)
	switch {
	case outcome == cfrollout.OutcomeDone:
		q.Answered(key, inc, w.Started, sim.now)
	case crashed:
		q.Lost(key, inc, true, sim.now)
	default:
		q.Dropped(key, inc)
	}
}

// applyCrashes crashes the engines that are due to crash, and restarts those whose downtime is
// over.
func (sim *Simulation) applyCrashes() {
	c := &sim.options.Crashes
	for _, burst := range c.Bursts {
		if burst.At != sim.now {
			continue
		}
		for _, i := range sim.random.Perm(len(sim.engines))[:int(burst.Fraction*float64(len(sim.engines))+0.5)] {
			sim.crashEngine(sim.engines[i], burst.Downtime)
		}
	}
	for _, e := range sim.engines {
		if e.restartAt > 0 && sim.now >= e.restartAt {
			e.restartAt = 0
			before := cfquarantine.IncarnationOf(e.target)
			e.target.Started = sim.now
			sim.updatePlanner()
			for m, v := range e.versions {
				sim.planner.SwapDone(e.target.ID, m, v)
			}
			if c.Quarantine != nil {
				c.Quarantine.Replaced(before, sim.now)
			}
		}
		if c.IsFaulty == nil || e.restartAt > 0 {
			continue
		}
		for _, w := range sortedRuns(e.runs) {
			if c.IsFaulty(w.Item) && sim.now-w.Started >= crashDelay {
				sim.faultyCrashes = append(sim.faultyCrashes, Crash{sim.now, w.Item.ID, len(e.runs) - 1})
				sim.crashEngine(e, c.FaultyDowntime)
				break
			}
		}
	}
	if c.Quarantine != nil && sim.now%sweepInterval == 0 {
		c.Quarantine.Sweep(true, sim.now)
	}
}

// crashEngine crashes an engine and ends its runs. The planner still lists the engine while it is
// down.
func (sim *Simulation) crashEngine(e *engine, downtime cf.Millis) {
	if e.restartAt > 0 {
		return
	}
	e.restartAt, e.loading = sim.now+downtime, ""
	for _, w := range sortedRuns(e.runs) {
		sim.endRunAt(e, w, cfrollout.OutcomeBroken, true)
	}
	if q := sim.options.Crashes.Quarantine; q != nil {
		q.Checked(cfquarantine.IncarnationOf(e.target), sim.now, cfquarantine.LossRefused, sim.now)
	}
}

// recordUnplaced adds planInterval to the waiting time of each unfinished item without an engine,
// if the engines are less than half full. The time of an item starts anew when an engine runs it.
func (sim *Simulation) recordUnplaced() {
	running, slots := 0, 0
	placed := map[cf.ItemID]bool{}
	for _, e := range sim.engines {
		for w := range e.runs {
			placed[w.Item.ID] = true
		}
		if e.restartAt == 0 {
			running, slots = running+len(e.runs), slots+e.target.Slots
		}
	}
	unplaced := map[itemKey]cf.Millis{}
	for _, t := range sim.trainers {
		if t.batch == nil {
			continue
		}
		for _, it := range t.batch.Sub.Items {
			done := t.batch.Listed(it.ID) || slices.ContainsFunc(t.pendingResults, func(p cf.Result) bool { return p.ID == it.ID })
			if done || placed[it.ID] {
				continue
			}
			k := itemKey{t.batch.Sub.ID, it.ID}
			if unplaced[k] = sim.unplacedFor[k]; 2*running < slots {
				unplaced[k] += planInterval
			}
			sim.maxUnplaced = max(sim.maxUnplaced, unplaced[k])
		}
	}
	sim.unplacedFor = unplaced
}
