package cfreplay

import (
	"slices"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
)

const (
	host = "h"
	// crashDelay is how long an engine runs an item that ends it.
	crashDelay cf.Millis = 80
	// sweepInterval is how often the quarantine forgets what is over.
	sweepInterval cf.Millis = 500
)

type (
	// CrashBurst is a moment at which a part of the engines end, with all that they run. They
	// are back under their ids after Down.
	CrashBurst struct {
		At       cf.Millis
		Fraction float64
		Downtime cf.Millis
	}

	// Crashes are the ends of engines that a replay plays.
	Crashes struct {
		Bursts []CrashBurst
		// Quarantine judges the items; nil lets all pass.
		Quarantine *cfquarantine.Table
		// IsFaulty says whether an item ends each engine that runs it; the engine is back
		// after FaultyDowntime.
		IsFaulty       func(cf.Item) bool
		FaultyDowntime cf.Millis
		// Body returns the body of an item; each has one of its own if it is nil.
		Body func(cf.Item) string
	}

	// Crash is an end of an engine under a guilty item.
	Crash struct {
		At   cf.Millis
		Item cf.ItemID
		// OtherRuns counts the other runs that were lost with it.
		OtherRuns int
	}

	// itemKey is how long an item has been at no engine since its last run there, while the
	// engines were less than half full.
	itemKey struct {
		batch cf.BatchID
		item  cf.ItemID
	}
)

// QuarantineKey returns the quarantine's key of an item.
func (sim *Simulation) QuarantineKey(b cf.BatchID, it cf.Item) cfquarantine.Key {
	it.Body = []byte(it.ID)
	if body := sim.options.Crashes.Body; body != nil {
		it.Body = []byte(body(it))
	}
	return cfquarantine.KeyOfItem(&cf.Submission{ID: b, Host: host}, it)
}

// MaxUnplaced returns the longest time that an item which was not done has been at no engine while
// the engines were less than half full.
func (sim *Simulation) MaxUnplaced() cf.Millis { return sim.maxUnplaced }

// FaultyItemCrashes returns the ends of engines under guilty items.
func (sim *Simulation) FaultyItemCrashes() []Crash { return sim.faultyCrashes }

// admit asks the quarantine whether an item may be sent to an engine.
func (sim *Simulation) admit(w *cfrollout.Work, engine cf.Target, isolated bool) cfrollout.Admission {
	v := sim.options.Crashes.Quarantine.AdmitDeferred(sim.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(engine),
		cfquarantine.DeferredWork{Isolated: isolated, WaitingSince: w.WaitingSince()}, sim.now)
	return cfrollout.Admission{Allowed: v.Pass, TryOthers: v.OtherTarget, RetryAt: v.RetryAt, MaxRuns: v.MaxRuns}
}

// follow tells the quarantine how a run ended at an engine; lost says that the engine ended.
func (sim *Simulation) recordRun(w *cfrollout.Work, at cf.Target, outcome cfrollout.Outcome, lost bool) {
	q := sim.options.Crashes.Quarantine
	if q == nil {
		return
	}
	key, inc := sim.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(at)
	switch {
	case outcome == cfrollout.OutcomeDone:
		q.Answered(key, inc, w.Started, sim.now)
	case lost:
		q.Lost(key, inc, true, sim.now)
	default:
		q.Dropped(key, inc)
	}
}

// applyCrashes ends the engines whose time has come, and brings back those that were down.
func (sim *Simulation) applyCrashes() {
	c := &sim.options.Crashes
	for _, wave := range c.Bursts {
		if wave.At != sim.now {
			continue
		}
		for _, i := range sim.random.Perm(len(sim.engines))[:int(wave.Fraction*float64(len(sim.engines))+0.5)] {
			sim.crashEngine(sim.engines[i], wave.Downtime)
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

// crashEngine ends an engine and its runs. It is listed until it is back.
func (sim *Simulation) crashEngine(e *engine, down cf.Millis) {
	if e.restartAt > 0 {
		return
	}
	e.restartAt, e.loading = sim.now+down, ""
	for _, w := range sortedRuns(e.runs) {
		sim.endRunAt(e, w, cfrollout.OutcomeBroken, true)
	}
	if q := sim.options.Crashes.Quarantine; q != nil {
		q.Checked(cfquarantine.IncarnationOf(e.target), sim.now, cfquarantine.LossRefused, sim.now)
	}
}

// recordUnplaced adds to the times of the items that are at no engine.
func (sim *Simulation) recordUnplaced() {
	running, slots := 0, 0
	at := map[cf.ItemID]bool{}
	for _, e := range sim.engines {
		for w := range e.runs {
			at[w.Item.ID] = true
		}
		if e.restartAt == 0 {
			running, slots = running+len(e.runs), slots+e.target.Slots
		}
	}
	seen := map[itemKey]cf.Millis{}
	for _, t := range sim.trainers {
		if t.batch == nil {
			continue
		}
		for _, it := range t.batch.Sub.Items {
			done := t.batch.Listed(it.ID) || slices.ContainsFunc(t.pendingResults, func(p cf.Result) bool { return p.ID == it.ID })
			if done || at[it.ID] {
				continue
			}
			k := itemKey{t.batch.Sub.ID, it.ID}
			if seen[k] = sim.unplacedFor[k]; 2*running < slots {
				seen[k] += planInterval
			}
			sim.maxUnplaced = max(sim.maxUnplaced, seen[k])
		}
	}
	sim.unplacedFor = seen
}
