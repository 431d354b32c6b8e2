package cfrollout_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

// periodSim simulates the load that cfslow is made for, without a network: 44 engines of 8 slots,
// machines that are temporarily slow, and four trainers with a step every 4 s.
type periodSim struct {
	periodSettings
	planner                   *cfrollout.Planner
	random                    *rand.Rand
	now                       cf.Millis
	targets                   []cf.Target
	slow                      map[cf.InstanceID]bool
	redrawAt                  map[cf.InstanceID]cf.Millis
	runs                      map[*cfrollout.Work]*simRun
	steps                     map[cf.BatchID]*simStep
	stepTimes                 []cf.Millis // when 90% of a step's groups were complete
	groupTimes                []cf.Millis // when each group was complete
	moves                     int
	slowLongRuns              int // starts of long texts at slow engines
	longRuns                  int
	lengths                   map[cf.ItemID]int
	loading                   map[cf.InstanceID]simLoad
	submitted                 map[cf.ModelName]int
	stalledUntil, reportStall cf.Millis
	jitter                    *rand.Rand
}

type periodSettings struct {
	seed          uint64
	uniform       bool
	noPeriodMoves bool      // moves by smoothed paces
	noMoves       bool      // no moves at all
	maxStall      cf.Millis // the observer sometimes reads nothing for up to this long
	passInterval  cf.Millis
	loads         bool
	maxDelay      cf.Millis
}

type simRun struct {
	w          *cfrollout.Work
	engine     cf.InstanceID
	readyAt    cf.Millis // connects and processes the prompt until then
	work       float64   // of the current event, in ms of a fast engine
	eventTimes []cf.Millis
	stopAt     cf.Millis
}

type simLoad struct {
	model   cf.ModelName
	version cf.WeightVersion
	endsAt  cf.Millis
}

type simStep struct {
	batch       *cfbatch.Batch
	submittedAt cf.Millis
	left        map[cf.GroupID]int
	groupTimes  []cf.Millis
}

const (
	simTick         cf.Millis = 5
	simStepInterval cf.Millis = 4000
	simReadTime     cf.Millis = 35
	simStopTime     cf.Millis = 15 // until a stopped run has ended
	simAcceptTime   cf.Millis = 300
)

func newPeriodSim(s periodSettings) *periodSim {
	w := &periodSim{periodSettings: s, random: rand.New(rand.NewPCG(s.seed, 7)), slow: map[cf.InstanceID]bool{}, redrawAt: map[cf.InstanceID]cf.Millis{}, runs: map[*cfrollout.Work]*simRun{}, steps: map[cf.BatchID]*simStep{}, lengths: map[cf.ItemID]int{}, loading: map[cf.InstanceID]simLoad{}, submitted: map[cf.ModelName]int{}, jitter: rand.New(rand.NewPCG(s.seed, 8))}
	limits := cfrollout.DefaultLimits
	limits.NoSlowPeriods = s.noPeriodMoves
	w.planner = cfrollout.New(limits)
	names := []cf.ModelName{"a", "b", "c", "d"}
	var held []cf.ModelState
	for _, m := range names {
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	w.targets = fleet(44, held...)
	for i := range w.targets {
		w.targets[i].Slots = 8
	}
	w.planner.SetEngines(w.targets, models(names...))
	return w
}

// submit adds a step of 8 to 12 groups of 8 or 16 items, with one text in ten being seven times as
// long.
func (w *periodSim) submit(m cf.ModelName, n int) {
	w.submitted[m]++
	version := cf.WeightVersion(w.submitted[m])
	if !w.loads {
		version = 1
	}
	w.planner.SetVersion(m, version)
	sub := cf.Submission{ID: cf.BatchID(fmt.Sprint(m, n)), Model: m, MinVersion: max(version-1, 1), Accepted: w.now}
	st := &simStep{submittedAt: w.now, left: map[cf.GroupID]int{}}
	for g := range 8 + w.random.IntN(5) {
		group := cf.GroupID(fmt.Sprint(sub.ID, "-", g))
		size := 8 + 8*w.random.IntN(2)
		st.left[group] = size
		for i := range size {
			length := 11 * math.Exp(0.4*w.random.NormFloat64())
			if w.random.IntN(10) == 0 {
				length *= 7
			}
			length = min(max(math.Round(length), 2), 147)
			it := cf.Item{ID: cf.ItemID(fmt.Sprint(group, "-", i)), Group: group, LengthHint: cf.Tokens(77 * length * math.Exp(math.Log(1.6)*w.random.NormFloat64()))}
			w.lengths[it.ID] = int(length)
			sub.Items = append(sub.Items, it)
		}
	}
	sub.TargetGroups = (len(st.left)*9 + 9) / 10
	st.batch = cfbatch.New(sub)
	w.steps[sub.ID] = st
	w.planner.AddBatch(st.batch, defaultTerms)
}

func (w *periodSim) run(span cf.Millis) {
	names := []cf.ModelName{"a", "b", "c", "d"}
	for end := w.now + span; w.now < end; w.now += simTick {
		for i, m := range names {
			if (w.now+cf.Millis(i)*simStepInterval/4)%simStepInterval == 0 {
				w.submit(m, int(w.now))
			}
		}
		w.redrawSlowMachines()
		w.generate()
		if w.maxStall > 0 && w.now > w.stalledUntil && w.jitter.IntN(40) == 0 {
			w.stalledUntil = w.now + cf.Millis(w.jitter.IntN(int(w.maxStall)))
			if d := w.stalledUntil - w.now; d > 15 {
				w.reportStall = w.stalledUntil
			}
		}
		if w.now >= w.stalledUntil && w.reportStall > 0 {
			w.planner.ProcessStalled(w.now)
			w.reportStall = 0
		}
		if w.now >= w.stalledUntil && (w.passInterval == 0 || w.now%w.passInterval == 0) {
			w.pass()
		}
	}
}

func (w *periodSim) redrawSlowMachines() {
	for _, t := range w.targets {
		if w.now >= w.redrawAt[t.ID] {
			w.slow[t.ID] = !w.uniform && w.random.Float64() < 0.15
			w.redrawAt[t.ID] = w.now + 500 + cf.Millis(w.random.IntN(200))
		}
	}
}

func (w *periodSim) generate() {
	running := map[cf.InstanceID]int{}
	for _, r := range w.runs {
		running[r.engine]++
	}
	for _, run := range w.sortedRuns() {
		r := w.runs[run]
		event := 77 * (0.631 + 0.00205*float64(running[r.engine]))
		speed := 1.0
		if w.slow[r.engine] {
			speed = 1 / 2.5
		}
		if w.now < r.readyAt || w.loading[r.engine].endsAt > w.now {
			continue
		}
		r.work += speed * float64(simTick)
		if r.work >= event {
			r.work -= event
			r.eventTimes = append(r.eventTimes, w.now+simTick-cf.Millis(r.work/speed))
		}
		if w.now < w.stalledUntil {
			continue
		}
		for _, at := range r.eventTimes {
			if w.maxStall > 0 {
				at = w.now // read only now
			}
			if w.maxDelay > 0 {
				at = max(at+cf.Millis(w.jitter.IntN(int(w.maxDelay))), run.Progress.LastEvent())
			}
			if int(run.Text.Last) < w.lengths[run.Item.ID] {
				_ = run.Text.Append(cf.StreamEvent{ID: run.Text.Last + 1, Data: "x", Version: run.Version})
				run.Progress.RecordEvent(at)
			}
		}
		r.eventTimes = r.eventTimes[:0]
		switch {
		case int(run.Text.Last) >= w.lengths[run.Item.ID]:
			delete(w.runs, run)
			if w.planner.Finished(run, cfrollout.OutcomeDone, w.now) {
				w.noteDone(run)
			}
		case r.stopAt > 0 && w.now >= r.stopAt:
			delete(w.runs, run)
			w.planner.Finished(run, cfrollout.OutcomeStopped, w.now)
		}
	}
}

func (w *periodSim) noteDone(run *cfrollout.Work) {
	st := w.steps[run.Batch.Sub.ID]
	if st == nil {
		return
	}
	if st.left[run.Item.Group]--; st.left[run.Item.Group] > 0 {
		return
	}
	st.groupTimes = append(st.groupTimes, w.now-st.submittedAt)
	w.groupTimes = append(w.groupTimes, w.now-st.submittedAt+simAcceptTime)
	if len(st.groupTimes) < st.batch.Sub.TargetGroups {
		return
	}
	w.stepTimes = append(w.stepTimes, w.now-st.submittedAt+simAcceptTime)
	delete(w.steps, run.Batch.Sub.ID)
	for _, stopped := range w.planner.EndBatch(run.Batch.Sub.ID) {
		w.runs[stopped].stopAt = w.now + simStopTime
	}
}

func (w *periodSim) pass() {
	for _, run := range w.planner.Place(w.now) {
		w.runs[run] = &simRun{w: run, engine: run.Engine, readyAt: w.now + simReadTime}
		if w.planner.IsLong(run) {
			w.longRuns++
			if w.slow[run.Engine] {
				w.slowLongRuns++
			}
		}
	}
	for _, s := range w.planner.Swaps(w.now) {
		w.loading[s.Target.ID] = simLoad{s.Model, s.Version, w.now + 900}
	}
	for id, l := range w.loading {
		if w.now >= l.endsAt {
			delete(w.loading, id)
			w.planner.SwapDone(id, l.model, l.version)
			w.planner.LoadEnded(id, w.now)
		}
	}
	if w.noMoves {
		return
	}
	for _, run := range w.planner.Moves(w.now) {
		w.moves++
		if r := w.runs[run]; r.stopAt == 0 {
			r.stopAt = w.now + simStopTime
		}
	}
}

func (w *periodSim) sortedRuns() []*cfrollout.Work {
	out := make([]*cfrollout.Work, 0, len(w.runs))
	for run := range w.runs {
		out = append(out, run)
	}
	slices.SortFunc(out, func(a, b *cfrollout.Work) int { return cmp.Compare(a.Item.ID, b.Item.ID) })
	return out
}

func mean(of []cf.Millis) float64 {
	sum := 0.0
	for _, x := range of {
		sum += float64(x)
	}
	return sum / float64(max(len(of), 1))
}

func shareWithin(of []cf.Millis, most cf.Millis) float64 {
	n := 0
	for _, x := range of {
		if x <= most {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

type simResult struct {
	stepTimes, groupTimes         []cf.Millis
	moves, slowLongRuns, longRuns int
}

// runSeeds simulates 40 s with each of several seeds.
func runSeeds(s periodSettings, seeds int) simResult {
	worlds := make([]*periodSim, seeds)
	var wg sync.WaitGroup
	for i := range worlds {
		s.seed = uint64(i)
		worlds[i] = newPeriodSim(s)
		wg.Go(func() { worlds[i].run(40000) })
	}
	wg.Wait()
	r := simResult{}
	for _, w := range worlds {
		r.stepTimes, r.groupTimes = append(r.stepTimes, w.stepTimes...), append(r.groupTimes, w.groupTimes...)
		r.moves, r.slowLongRuns, r.longRuns = r.moves+w.moves, r.slowLongRuns+w.slowLongRuns, r.longRuns+w.longRuns
	}
	slices.Sort(r.stepTimes)
	return r
}

// TestPeriodMovesReduceStepDelay guards against a step that waits for its longest text, which met
// two or three slow periods of machines. Moves must not come when half of such a period is over, go
// to engines that are slow as well, wait for a slot, or cost more than the rest of the period.
// Events that are read late or in bursts, pauses and loads must not count as slow periods. Steps
// lose more time with the decision turned off.
func TestPeriodMovesReduceStepDelay(t *testing.T) {
	const seeds = 4
	for _, s := range []periodSettings{{}, {loads: true, maxDelay: 15, maxStall: 60, passInterval: 20}} {
		uniform, noMoves, smoothed := s, s, s
		uniform.uniform, uniform.noMoves, noMoves.noMoves, smoothed.noPeriodMoves = true, true, true, true
		results := []simResult{runSeeds(uniform, seeds), runSeeds(noMoves, seeds), runSeeds(smoothed, seeds), runSeeds(s, seeds)}
		for i, r := range results {
			t.Logf("%-24s loads %5t: 90%% of the groups complete after %.0f ms, steps by 7.5 s %.3f, by 8.2 s %.3f; groups by 8.2 s %.3f; moves %d, long texts started at slow engines %d of %d",
				[]string{"uniform engines", "no moves", "moves by smoothed paces", "moves by slow periods"}[i], s.loads, mean(r.stepTimes), shareWithin(r.stepTimes, 7500), shareWithin(r.stepTimes, 8200), shareWithin(r.groupTimes, 8200), r.moves, r.slowLongRuns, r.longRuns)
		}
		lostTime := func(i int) float64 { return mean(results[i].stepTimes) - mean(results[0].stepTimes) }
		if lostTime(3) > 0.92*lostTime(2) || lostTime(3) > 0.92*lostTime(1) {
			t.Errorf("a step loses %.0f ms to slow machines, %.0f ms without the decision, %.0f ms without moves", lostTime(3), lostTime(2), lostTime(1))
		}
		if 4*results[3].moves > 3*results[2].moves {
			t.Errorf("%d moves, %d without the decision", results[3].moves, results[2].moves)
		}
	}
}

// TestUniformMachinesAreUnaffected guards against decisions that change anything where machines are
// uniform: no run moves, and steps take the same time as before.
func TestUniformMachinesAreUnaffected(t *testing.T) {
	withPeriods, without := runSeeds(periodSettings{uniform: true}, 2), runSeeds(periodSettings{uniform: true, noPeriodMoves: true}, 2)
	if withPeriods.moves+without.moves > 0 || math.Abs(mean(withPeriods.stepTimes)-mean(without.stepTimes)) > 20 {
		t.Errorf("%d and %d moves, steps of %.0f and %.0f ms", withPeriods.moves, without.moves, mean(withPeriods.stepTimes), mean(without.stepTimes))
	}
}
