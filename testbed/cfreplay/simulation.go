// Package cfreplay plays trainers before model engines against a planner of
// cfrollout, without a network and with a clock of its own: minutes of a load take
// a second. It stands for engines, trainers and coordinator at once; what it leaves
// out are failures of streams other than crashes of engines, the store, and the time that calls
// take.
//
// Usage:
//
//	r := cfreplay.New(cfreplay.Options{Engines: cfreplay.Engines{Count: 15, Slots: 6, Alone: 42, Beside: 1.7}, Trainers: trainers})
//	r.Run(60_000)
//	for _, o := range r.Outcomes() { ... }
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
	service cf.ServiceName = "engines"
	// tick is the step of the clock, lookEvery how often the planner looks.
	tick      cf.Millis = 10
	lookEvery cf.Millis = 20
)

type (
	// EngineOptions shape the engines of a replay.
	EngineOptions struct {
		Count, Slots, FailureDomains int
		// EventTime is what an event takes with no other run, Beside what each run adds, in ms.
		EventTime, EventTimePerRun float64
		// LoadTime is what a change of weights takes; runs stand still meanwhile. Beyond FullSpeedLoads
		// at once all take longer, by as much as there are more; zero is no bound.
		LoadTime       cf.Millis
		FullSpeedLoads int
		// LoadJitter is by how much a load may take longer, as a part of Load.
		LoadJitter float64
		// SlowFraction of the engines are SlowFactor times slower, drawn anew every SlowInterval.
		SlowFraction, SlowFactor float64
		SlowInterval             cf.Millis
	}

	// Options are what a replay plays.
	Options struct {
		Seed     uint64
		Limits   cfrollout.Limits
		Engines  EngineOptions
		Trainers []Trainer
		// ShareWeights are the weights of trainers' shares, 1 where not given.
		ShareWeights map[cf.ModelName]float64
		Crashes      Crashes
	}

	// Simulation is a load under way. It is not safe for concurrent use.
	Simulation struct {
		options  Options
		planner  *cfrollout.Planner
		random   *rand.Rand
		engines  []*engine
		trainers []*trainer
		now      cf.Millis
		guilty   []Crash
		idle     map[idle]cf.Millis
		unplaced cf.Millis
	}

	engine struct {
		target  cf.Target
		held    map[cf.ModelName]cf.WeightVersion
		loading cf.ModelName
		version cf.WeightVersion
		left    float64 // ms of the load
		slow    float64
		runs    map[*cfrollout.Work]*run
		back    cf.Millis // when it is up again, zero while it is
	}

	// run is how far a text is, in events.
	run struct{ done, length float64 }
)

// New returns a replay at its beginning.
func New(o Options) *Simulation {
	r := &Simulation{options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), idle: map[idle]cf.Millis{}}
	if o.Crashes.Quarantine != nil {
		o.Limits.Admit = r.admit
	}
	r.planner = cfrollout.New(o.Limits)
	r.planner.SetShareWeights(o.ShareWeights)
	var held []cf.ModelState
	for _, t := range o.Trainers {
		held = append(held, cf.ModelState{Name: t.Model, Version: 1})
		r.trainers = append(r.trainers, newTrainer(r, t))
	}
	for i := range o.Engines.Count {
		e := &engine{held: map[cf.ModelName]cf.WeightVersion{}, runs: map[*cfrollout.Work]*run{}, slow: 1}
		e.target = cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%03d", i)), Service: service, Slots: o.Engines.Slots, Models: held, Started: 1,
			Domain: cf.FailureDomain(fmt.Sprint("d", i%max(o.Engines.FailureDomains, 1))),
		}
		for _, t := range o.Trainers {
			e.held[t.Model] = 1
		}
		r.engines = append(r.engines, e)
	}
	r.listEngines()
	return r
}

// listEngines tells the planner which engines there are.
func (r *Simulation) listEngines() {
	var targets []cf.Target
	for _, e := range r.engines {
		targets = append(targets, e.target)
	}
	var models []cf.ModelName
	for _, t := range r.trainers {
		models = append(models, t.Model)
	}
	r.planner.SetEngines(targets, map[cf.ServiceName][]cf.ModelName{service: models})
}

// Run plays until a time.
func (r *Simulation) Run(until cf.Millis) {
	for ; r.now < until; r.now += tick {
		if every := r.options.Engines.SlowInterval; every > 0 && r.now%every == 0 {
			r.redraw()
		}
		for _, e := range r.engines {
			r.generate(e)
		}
		r.playCrashes()
		if r.now%lookEvery == 0 {
			r.look()
			r.noteIdle()
		}
	}
}

// LoseDomain ends the engines of a failure domain, and with them their runs.
func (r *Simulation) LoseDomain(domain cf.FailureDomain) {
	var lost []*engine
	r.engines = slices.DeleteFunc(r.engines, func(e *engine) bool {
		if e.target.Domain != domain {
			return false
		}
		lost = append(lost, e)
		return true
	})
	r.listEngines()
	for _, e := range lost {
		for _, w := range sorted(e.runs) {
			r.end(w, cfrollout.OutcomeBroken)
		}
	}
}

// SlowEngines makes the first n engines so many times slower, and the others as fast as usual.
func (r *Simulation) SlowEngines(n int, factor float64) {
	for i, e := range r.engines {
		if e.slow = 1; i < n {
			e.slow = factor
		}
	}
}

// redraw draws which engines are slow.
func (r *Simulation) redraw() {
	for _, e := range r.engines {
		if e.slow = 1; r.random.Float64() < r.options.Engines.SlowFraction {
			e.slow = r.options.Engines.SlowFactor
		}
	}
}

// loadFactor is how much longer loads take now than one alone.
func (r *Simulation) loadFactor() float64 {
	n := 0
	for _, e := range r.engines {
		if e.loading != "" {
			n++
		}
	}
	if most := r.options.Engines.FullSpeedLoads; most > 0 && n > most {
		return float64(n) / float64(most)
	}
	return 1
}

// Shares counts the engines of each trainer.
func (r *Simulation) Shares() map[cf.ModelName]int {
	out := map[cf.ModelName]int{}
	for _, e := range r.engines {
		if known, ok := r.planner.Engine(e.target.ID); ok {
			out[known.Model]++
		}
	}
	return out
}

// Outcomes returns what the trainers got so far, in their order.
func (r *Simulation) Outcomes() []Outcome {
	var out []Outcome
	for _, t := range r.trainers {
		out = append(out, t.outcome)
	}
	return out
}

// look does what a coordinator does at a look, and what trainers do meanwhile.
func (r *Simulation) look() {
	for _, t := range r.trainers {
		t.follow(r.now)
	}
	at := make(map[cf.InstanceID]*engine, len(r.engines))
	for _, e := range r.engines {
		at[e.target.ID] = e
	}
	for _, w := range r.planner.Place(r.now) {
		e := at[w.Engine]
		if e.back > 0 {
			r.endAt(e, w, cfrollout.OutcomeBroken, false) // nothing takes its connection
			continue
		}
		e.runs[w] = &run{done: float64(w.Text.Last), length: r.lengthOf(w)}
	}
	for _, s := range r.planner.Swaps(r.now) {
		e := at[s.Target.ID]
		if e.back > 0 {
			r.planner.SwapFailed(e.target.ID, r.now)
			continue
		}
		e.loading, e.version, e.left = s.Model, s.Version, float64(r.options.Engines.LoadTime)*(1+r.options.Engines.LoadJitter*r.random.Float64())
	}
	for _, w := range r.planner.Moves(r.now) {
		r.end(w, cfrollout.OutcomeStopped)
	}
}

func (r *Simulation) lengthOf(w *cfrollout.Work) float64 {
	for _, t := range r.trainers {
		if t.Model == w.Batch.Sub.Model {
			return t.lengths[w.Item.ID]
		}
	}
	return 1
}

// end ends a run.
func (r *Simulation) end(w *cfrollout.Work, outcome cfrollout.Outcome) {
	for _, e := range r.engines {
		if e.runs[w] != nil {
			r.endAt(e, w, outcome, false)
			return
		}
	}
	r.finished(w, outcome)
}

// endAt ends a run at an engine; lost says that the engine ended.
func (r *Simulation) endAt(e *engine, w *cfrollout.Work, outcome cfrollout.Outcome, lost bool) {
	delete(e.runs, w)
	r.followRun(w, e.target, outcome, lost)
	r.finished(w, outcome)
}

func (r *Simulation) finished(w *cfrollout.Work, outcome cfrollout.Outcome) {
	if !r.planner.Finished(w, outcome, r.now) {
		return
	}
	for _, t := range r.trainers {
		t.take(w)
	}
}

// generate lets an engine work for a tick.
func (r *Simulation) generate(e *engine) {
	if e.back > 0 {
		return
	}
	if e.loading != "" {
		if e.left -= float64(tick) / r.loadFactor(); e.left <= 0 {
			e.held[e.loading] = e.version
			r.planner.LoadEnded(e.target.ID, r.now)
			r.planner.SwapDone(e.target.ID, e.loading, e.version)
			e.loading = ""
		}
		return
	}
	pace := (r.options.Engines.EventTime + r.options.Engines.EventTimePerRun*float64(len(e.runs))) * e.slow
	var done []*cfrollout.Work
	for _, w := range sorted(e.runs) {
		x := e.runs[w]
		x.done += float64(tick) / pace
		for float64(w.Text.Last) < min(math.Floor(x.done), x.length) {
			w.Progress.RecordEvent(r.now)
			ev := cf.StreamEvent{ID: w.Text.Last + 1, Version: e.held[w.Batch.Sub.Model]}
			if err := w.Text.Append(ev); err != nil {
				panic(err) // the replay itself made the event
			}
		}
		if float64(w.Text.Last) >= x.length {
			done = append(done, w)
		}
	}
	for _, w := range done {
		r.end(w, cfrollout.OutcomeDone)
	}
}

// sorted returns runs in the order of their items, so that a seed plays the same again.
func sorted(runs map[*cfrollout.Work]*run) []*cfrollout.Work {
	out := make([]*cfrollout.Work, 0, len(runs))
	for w := range runs {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *cfrollout.Work) int { return cmp.Compare(a.Item.ID, b.Item.ID) })
	return out
}
