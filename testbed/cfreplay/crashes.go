package cfreplay

import (
	"slices"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
)

const (
	host = "h"
	// crashAfter is how long an engine runs an item that ends it.
	crashAfter cf.Millis = 80
	// sweepEvery is how often the quarantine forgets what is over.
	sweepEvery cf.Millis = 500
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

	// idle is how long an item has been at no engine since its last run there, while the
	// engines were less than half full.
	idle struct {
		batch cf.BatchID
		item  cf.ItemID
	}
)

// QuarantineKey returns the quarantine's key of an item.
func (r *Simulation) QuarantineKey(b cf.BatchID, it cf.Item) cfquarantine.Key {
	it.Body = []byte(it.ID)
	if body := r.options.Crashes.Body; body != nil {
		it.Body = []byte(body(it))
	}
	return cfquarantine.KeyOfItem(&cf.Submission{ID: b, Host: host}, it)
}

// MaxUnplaced returns the longest time that an item which was not done has been at no engine while
// the engines were less than half full.
func (r *Simulation) MaxUnplaced() cf.Millis { return r.unplaced }

// FaultyItemCrashes returns the ends of engines under guilty items.
func (r *Simulation) FaultyItemCrashes() []Crash { return r.guilty }

// admit asks the quarantine whether an item may be sent to an engine.
func (r *Simulation) admit(w *cfrollout.Work, engine cf.Target, apart bool) cfrollout.Admission {
	v := r.options.Crashes.Quarantine.AdmitDeferred(r.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(engine),
		cfquarantine.DeferredWork{Isolated: apart, WaitingSince: w.WaitingSince()}, r.now)
	return cfrollout.Admission{Allowed: v.Pass, TryOthers: v.OtherTarget, RetryAt: v.RetryAt, MaxRuns: v.MaxRuns}
}

// follow tells the quarantine how a run ended at an engine; lost says that the engine ended.
func (r *Simulation) followRun(w *cfrollout.Work, at cf.Target, outcome cfrollout.Outcome, lost bool) {
	q := r.options.Crashes.Quarantine
	if q == nil {
		return
	}
	key, inc := r.QuarantineKey(w.Batch.Sub.ID, w.Item), cfquarantine.IncarnationOf(at)
	switch {
	case outcome == cfrollout.OutcomeDone:
		q.Answered(key, inc, w.Started, r.now)
	case lost:
		q.Lost(key, inc, true, r.now)
	default:
		q.Dropped(key, inc)
	}
}

// playCrashes ends the engines whose time has come, and brings back those that were down.
func (r *Simulation) playCrashes() {
	c := &r.options.Crashes
	for _, wave := range c.Bursts {
		if wave.At != r.now {
			continue
		}
		for _, i := range r.random.Perm(len(r.engines))[:int(wave.Fraction*float64(len(r.engines))+0.5)] {
			r.crash(r.engines[i], wave.Downtime)
		}
	}
	for _, e := range r.engines {
		if e.back > 0 && r.now >= e.back {
			e.back = 0
			before := cfquarantine.IncarnationOf(e.target)
			e.target.Started = r.now
			r.listEngines()
			for m, v := range e.held {
				r.planner.SwapDone(e.target.ID, m, v)
			}
			if c.Quarantine != nil {
				c.Quarantine.Replaced(before, r.now)
			}
		}
		if c.IsFaulty == nil || e.back > 0 {
			continue
		}
		for _, w := range sorted(e.runs) {
			if c.IsFaulty(w.Item) && r.now-w.Started >= crashAfter {
				r.guilty = append(r.guilty, Crash{r.now, w.Item.ID, len(e.runs) - 1})
				r.crash(e, c.FaultyDowntime)
				break
			}
		}
	}
	if c.Quarantine != nil && r.now%sweepEvery == 0 {
		c.Quarantine.Sweep(true, r.now)
	}
}

// crash ends an engine and its runs. It is listed until it is back.
func (r *Simulation) crash(e *engine, down cf.Millis) {
	if e.back > 0 {
		return
	}
	e.back, e.loading = r.now+down, ""
	for _, w := range sorted(e.runs) {
		r.endAt(e, w, cfrollout.OutcomeBroken, true)
	}
	if q := r.options.Crashes.Quarantine; q != nil {
		q.Checked(cfquarantine.IncarnationOf(e.target), r.now, cfquarantine.LossRefused, r.now)
	}
}

// noteIdle adds to the times of the items that are at no engine.
func (r *Simulation) noteIdle() {
	running, slots := 0, 0
	at := map[cf.ItemID]bool{}
	for _, e := range r.engines {
		for w := range e.runs {
			at[w.Item.ID] = true
		}
		if e.back == 0 {
			running, slots = running+len(e.runs), slots+e.target.Slots
		}
	}
	seen := map[idle]cf.Millis{}
	for _, t := range r.trainers {
		if t.batch == nil {
			continue
		}
		for _, it := range t.batch.Sub.Items {
			done := t.batch.Listed(it.ID) || slices.ContainsFunc(t.pending, func(p cf.Result) bool { return p.ID == it.ID })
			if done || at[it.ID] {
				continue
			}
			k := idle{t.batch.Sub.ID, it.ID}
			if seen[k] = r.idle[k]; 2*running < slots {
				seen[k] += lookEvery
			}
			r.unplaced = max(r.unplaced, seen[k])
		}
	}
	r.idle = seen
}
