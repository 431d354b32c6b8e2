// Package cfreplay simulates trainers and model engines around a planner of cfrollout, without a
// network and with a virtual clock: a second of computing covers minutes of load. The simulation
// takes the place of the engines, the trainers and the coordinator. It leaves out the store, the
// duration of calls, and all failures of streams other than engine crashes.
//
// Usage:
//
//	sim := cfreplay.New(cfreplay.Options{Engines: cfreplay.EngineOptions{Count: 15, Slots: 6, EventTime: 42, EventTimePerRun: 1.7}, Trainers: trainers})
//	sim.Run(60_000)
//	for _, o := range sim.Outcomes() { ... }
package cfreplay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	cf "currantford"
	"currantford/core/cfrollout"
)

const (
	engineService cf.ServiceName = "engines"
	// tick is the step of the virtual clock, planInterval the time between two calls of the
	// planner.
	tick         cf.Millis = 10
	planInterval cf.Millis = 20
)

type (
	// EngineOptions describes the engines of a simulation.
	EngineOptions struct {
		Count, Slots, FailureDomains int
		// EventTime is the duration of an event in ms at an engine without runs. Each run of the
		// engine adds EventTimePerRun, in ms.
		EventTime, EventTimePerRun float64
		// LoadTime is the duration of a weight load. The engine's runs make no progress during the
		// load. If more than FullSpeedLoads engines load at once, each load is slowed down in
		// proportion to their number; zero means no limit.
		LoadTime       cf.Millis
		FullSpeedLoads int
		// LoadJitter bounds the random addition to the duration of a load, as a fraction of
		// LoadTime.
		LoadJitter float64
		// SlowFraction is the probability of an engine to be SlowFactor times slower. The slow
		// engines are drawn anew every SlowInterval.
		SlowFraction, SlowFactor float64
		SlowInterval             cf.Millis
	}

	// Options configures a simulation.
	Options struct {
		Seed     uint64
		Limits   cfrollout.Limits
		Engines  EngineOptions
		Trainers []Trainer
		// ShareWeights maps models to the weights of their trainers' shares. The default weight is
		// 1.
		ShareWeights map[cf.ModelName]float64
		Crashes      Crashes
	}

	// Simulation is a running simulation. It is not safe for concurrent use.
	Simulation struct {
		options       Options
		planner       *cfrollout.Planner
		random        *rand.Rand
		engines       []*engine
		trainers      []*trainer
		now           cf.Millis
		faultyCrashes []Crash
		unplacedFor   map[itemKey]cf.Millis
		maxUnplaced   cf.Millis
	}

	engine struct {
		target         cf.Target
		versions       map[cf.ModelName]cf.WeightVersion
		loading        cf.ModelName
		loadingVersion cf.WeightVersion
		loadRemaining  float64 // in ms, at full speed
		slowFactor     float64
		runs           map[*cfrollout.Work]*run
		restartAt      cf.Millis // zero while the engine is up
	}

	// run is the progress and the final length of a text, in events.
	run struct{ done, length float64 }
)

// New returns a simulation at time zero.
func New(o Options) *Simulation {
	sim := &Simulation{options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), unplacedFor: map[itemKey]cf.Millis{}}
	if o.Crashes.Quarantine != nil {
		o.Limits.Admit = sim.admit
	}
	sim.planner = cfrollout.New(o.Limits)
	sim.planner.SetShareWeights(o.ShareWeights)
	var initial []cf.ModelState
	for _, t := range o.Trainers {
		initial = append(initial, cf.ModelState{Name: t.Model, Version: 1})
		sim.trainers = append(sim.trainers, newTrainer(sim, t))
	}
	for i := range o.Engines.Count {
		e := &engine{versions: map[cf.ModelName]cf.WeightVersion{}, runs: map[*cfrollout.Work]*run{}, slowFactor: 1}
		e.target = cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%03d", i)), Service: engineService, Slots: o.Engines.Slots, Models: initial, Started: 1,
			Domain: cf.FailureDomain(fmt.Sprint("d", i%max(o.Engines.FailureDomains, 1))),
		}
		for _, t := range o.Trainers {
			e.versions[t.Model] = 1
		}
		sim.engines = append(sim.engines, e)
	}
	sim.updatePlanner()
	return sim
}

// updatePlanner passes the current list of engines to the planner.
func (sim *Simulation) updatePlanner() {
	var targets []cf.Target
	for _, e := range sim.engines {
		targets = append(targets, e.target)
	}
	var models []cf.ModelName
	for _, t := range sim.trainers {
		models = append(models, t.Model)
	}
	sim.planner.SetEngines(targets, map[cf.ServiceName][]cf.ModelName{engineService: models})
}

// Run advances the simulation to the given time.
func (sim *Simulation) Run(until cf.Millis) {
	for ; sim.now < until; sim.now += tick {
		if interval := sim.options.Engines.SlowInterval; interval > 0 && sim.now%interval == 0 {
			sim.drawSlowEngines()
		}
		for _, e := range sim.engines {
			sim.advance(e)
		}
		sim.applyCrashes()
		if sim.now%planInterval == 0 {
			sim.runPlanner()
			sim.recordUnplaced()
		}
	}
}

// LoseDomain removes the engines of a failure domain and ends their runs.
func (sim *Simulation) LoseDomain(domain cf.FailureDomain) {
	var lost []*engine
	sim.engines = slices.DeleteFunc(sim.engines, func(e *engine) bool {
		if e.target.Domain != domain {
			return false
		}
		lost = append(lost, e)
		return true
	})
	sim.updatePlanner()
	for _, e := range lost {
		for _, w := range sortedRuns(e.runs) {
			sim.endRun(w, cfrollout.OutcomeBroken)
		}
	}
}

// SlowEngines makes the first n engines slower by the given factor, and sets all others to full
// speed.
func (sim *Simulation) SlowEngines(n int, factor float64) {
	for i, e := range sim.engines {
		if e.slowFactor = 1; i < n {
			e.slowFactor = factor
		}
	}
}

// drawSlowEngines selects the slow engines at random.
func (sim *Simulation) drawSlowEngines() {
	for _, e := range sim.engines {
		if e.slowFactor = 1; sim.random.Float64() < sim.options.Engines.SlowFraction {
			e.slowFactor = sim.options.Engines.SlowFactor
		}
	}
}

// loadSlowdown returns the factor by which current weight loads are slower than a single one.
func (sim *Simulation) loadSlowdown() float64 {
	n := 0
	for _, e := range sim.engines {
		if e.loading != "" {
			n++
		}
	}
	if limit := sim.options.Engines.FullSpeedLoads; limit > 0 && n > limit {
		return float64(n) / float64(limit)
	}
	return 1
}

// Shares returns the number of engines of each trainer's model.
func (sim *Simulation) Shares() map[cf.ModelName]int {
	out := map[cf.ModelName]int{}
	for _, e := range sim.engines {
		if known, ok := sim.planner.Engine(e.target.ID); ok {
			out[known.Model]++
		}
	}
	return out
}

// Outcomes returns the results of each trainer so far, in the order of Options.Trainers.
func (sim *Simulation) Outcomes() []Outcome {
	var out []Outcome
	for _, t := range sim.trainers {
		out = append(out, t.outcome)
	}
	return out
}

// runPlanner makes the trainers read and submit, and then does what a coordinator does in one pass:
// it places runs, starts weight loads and stops the runs that are to be moved.
func (sim *Simulation) runPlanner() {
	for _, t := range sim.trainers {
		t.poll(sim.now)
	}
	at := make(map[cf.InstanceID]*engine, len(sim.engines))
	for _, e := range sim.engines {
		at[e.target.ID] = e
	}
	for _, w := range sim.planner.Place(sim.now) {
		e := at[w.Engine]
		if e.restartAt > 0 {
			sim.endRunAt(e, w, cfrollout.OutcomeBroken, false) // the engine is down and refuses the connection
			continue
		}
		e.runs[w] = &run{done: float64(w.Text.Last), length: sim.textLength(w)}
	}
	for _, s := range sim.planner.Swaps(sim.now) {
		e := at[s.Target.ID]
		if e.restartAt > 0 {
			sim.planner.SwapFailed(e.target.ID, sim.now)
			continue
		}
		e.loading, e.loadingVersion, e.loadRemaining = s.Model, s.Version, float64(sim.options.Engines.LoadTime)*(1+sim.options.Engines.LoadJitter*sim.random.Float64())
	}
	for _, w := range sim.planner.Moves(sim.now) {
		sim.endRun(w, cfrollout.OutcomeStopped)
	}
}

func (sim *Simulation) textLength(w *cfrollout.Work) float64 {
	for _, t := range sim.trainers {
		if t.Model == w.Batch.Sub.Model {
			return t.lengths[w.Item.ID]
		}
	}
	return 1
}

// endRun ends a run at whichever engine it is.
func (sim *Simulation) endRun(w *cfrollout.Work, outcome cfrollout.Outcome) {
	for _, e := range sim.engines {
		if e.runs[w] != nil {
			sim.endRunAt(e, w, outcome, false)
			return
		}
	}
	sim.finishRun(w, outcome)
}

// endRunAt ends a run at an engine. crashed says that the engine crashed.
func (sim *Simulation) endRunAt(e *engine, w *cfrollout.Work, outcome cfrollout.Outcome, crashed bool) {
	delete(e.runs, w)
	sim.recordRun(w, e.target, outcome, crashed)
	sim.finishRun(w, outcome)
}

func (sim *Simulation) finishRun(w *cfrollout.Work, outcome cfrollout.Outcome) {
	if !sim.planner.Finished(w, outcome, sim.now) {
		return
	}
	for _, t := range sim.trainers {
		t.addResult(w)
	}
}

// advance simulates one tick of an engine.
func (sim *Simulation) advance(e *engine) {
	if e.restartAt > 0 {
		return
	}
	if e.loading != "" {
		if e.loadRemaining -= float64(tick) / sim.loadSlowdown(); e.loadRemaining <= 0 {
			e.versions[e.loading] = e.loadingVersion
			sim.planner.LoadEnded(e.target.ID, sim.now)
			sim.planner.SwapDone(e.target.ID, e.loading, e.loadingVersion)
			e.loading = ""
		}
		return
	}
	pace := (sim.options.Engines.EventTime + sim.options.Engines.EventTimePerRun*float64(len(e.runs))) * e.slowFactor
	var done []*cfrollout.Work
	for _, w := range sortedRuns(e.runs) {
		progress := e.runs[w]
		progress.done += float64(tick) / pace
		for float64(w.Text.Last) < min(math.Floor(progress.done), progress.length) {
			w.Progress.RecordEvent(sim.now)
			ev := cf.StreamEvent{ID: w.Text.Last + 1, Version: e.versions[w.Batch.Sub.Model]}
			if err := w.Text.Append(ev); err != nil {
				panic(err) // cannot happen: the simulation generates valid events
			}
		}
		if float64(w.Text.Last) >= progress.length {
			done = append(done, w)
		}
	}
	for _, w := range done {
		sim.endRun(w, cfrollout.OutcomeDone)
	}
}

// sortedRuns returns the runs in the order of their item ids, so that equal seeds give equal
// results.
func sortedRuns(runs map[*cfrollout.Work]*run) []*cfrollout.Work {
	out := make([]*cfrollout.Work, 0, len(runs))
	for w := range runs {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *cfrollout.Work) int { return cmp.Compare(a.Item.ID, b.Item.ID) })
	return out
}
