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

// unevenWorld plays the load of cfslow without a network: 44 engines of 8 slots, machines
// that are slow for a while, and four trainers with a step every 4 s.
type unevenWorld struct {
	unevenSettings
	p        *cfrollout.Planner
	random   *rand.Rand
	now      cf.Millis
	targets  []cf.Target
	slow     map[cf.InstanceID]bool
	redraw   map[cf.InstanceID]cf.Millis
	runs     map[*cfrollout.Work]*unevenRun
	open     map[cf.BatchID]*unevenStep
	done     []cf.Millis // when 90% of a step's groups were whole
	whole    []cf.Millis // when each group was
	moves    int
	starts   int
	slowRuns int // starts of long texts at engines that were slow
	long     int
	lengths  map[cf.ItemID]int
}

type unevenSettings struct {
	seed   uint64
	even   bool
	off    bool // moves by smoothed paces
	never  bool // no moves at all
	gather cf.Millis
}

type unevenRun struct {
	w      *cfrollout.Work
	engine cf.InstanceID
	ready  cf.Millis // until then it connects and reads
	work   float64   // of the event under way, in ms of a quiet engine
	made   []cf.Millis
	stop   cf.Millis
}

type unevenStep struct {
	batch *cfbatch.Batch
	at    cf.Millis
	left  map[cf.GroupID]int
	whole []cf.Millis
}

const (
	unevenTick   cf.Millis = 5
	unevenEvery  cf.Millis = 4000
	unevenReread cf.Millis = 35
	unevenStop   cf.Millis = 15 // until a stopped run is over
	unevenAccept cf.Millis = 300
)

func newUneven(s unevenSettings) *unevenWorld {
	w := &unevenWorld{unevenSettings: s, random: rand.New(rand.NewPCG(s.seed, 7)), slow: map[cf.InstanceID]bool{}, redraw: map[cf.InstanceID]cf.Millis{}, runs: map[*cfrollout.Work]*unevenRun{}, open: map[cf.BatchID]*unevenStep{}, lengths: map[cf.ItemID]int{}}
	limits := cfrollout.DefaultLimits
	limits.NoSlowPeriods = s.off
	w.p = cfrollout.New(limits)
	names := []cf.ModelName{"a", "b", "c", "d"}
	var held []cf.ModelState
	for _, m := range names {
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	w.targets = fleet(44, held...)
	for i := range w.targets {
		w.targets[i].Slots = 8
	}
	w.p.SetEngines(w.targets, models(names...))
	return w
}

// submit hands in a step: 8 to 12 groups of 8 or 16, a text in ten five times as long.
func (w *unevenWorld) submit(m cf.ModelName, n int) {
	sub := cf.Submission{ID: cf.BatchID(fmt.Sprint(m, n)), Model: m, MinVersion: 1, Accepted: w.now}
	st := &unevenStep{at: w.now, left: map[cf.GroupID]int{}}
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
	w.open[sub.ID] = st
	w.p.AddBatch(st.batch, terms)
}

func (w *unevenWorld) play(span cf.Millis) {
	names := []cf.ModelName{"a", "b", "c", "d"}
	for end := w.now + span; w.now < end; w.now += unevenTick {
		for i, m := range names {
			if (w.now+cf.Millis(i)*unevenEvery/4)%unevenEvery == 0 {
				w.submit(m, int(w.now))
			}
		}
		w.machines()
		w.generate()
		w.look()
	}
}

func (w *unevenWorld) machines() {
	for _, t := range w.targets {
		if w.now >= w.redraw[t.ID] {
			w.slow[t.ID] = !w.even && w.random.Float64() < 0.15
			w.redraw[t.ID] = w.now + 500 + cf.Millis(w.random.IntN(200))
		}
	}
}

func (w *unevenWorld) generate() {
	running := map[cf.InstanceID]int{}
	for _, r := range w.runs {
		running[r.engine]++
	}
	for _, run := range w.sorted() {
		r := w.runs[run]
		event := 77 * (0.631 + 0.00205*float64(running[r.engine]))
		speed := 1.0
		if w.slow[r.engine] {
			speed = 1 / 2.5
		}
		if w.now < r.ready {
			continue
		}
		r.work += speed * float64(unevenTick)
		if r.work >= event {
			r.work -= event
			r.made = append(r.made, w.now+unevenTick-cf.Millis(r.work/speed))
		}
		// A host hands on what it has gathered, and how far it has seen.
		if w.gather == 0 || w.now%w.gather == 0 || int(run.Text.Last)+len(r.made) >= w.lengths[run.Item.ID] {
			for _, at := range r.made {
				if int(run.Text.Last) < w.lengths[run.Item.ID] {
					_ = run.Text.Append(cf.StreamEvent{ID: run.Text.Last + 1, Data: "x", Version: 1})
					run.Progress.Note(at)
				}
			}
			r.made = r.made[:0]
			if w.gather > 0 {
				run.Progress.Seen(w.now)
			}
		}
		switch {
		case int(run.Text.Last) >= w.lengths[run.Item.ID]:
			delete(w.runs, run)
			if w.p.Finished(run, cfrollout.OutcomeDone, w.now) {
				w.list(run)
			}
		case r.stop > 0 && w.now >= r.stop:
			delete(w.runs, run)
			w.p.Finished(run, cfrollout.OutcomeStopped, w.now)
		}
	}
}

func (w *unevenWorld) list(run *cfrollout.Work) {
	st := w.open[run.Batch.Sub.ID]
	if st == nil {
		return
	}
	if st.left[run.Item.Group]--; st.left[run.Item.Group] > 0 {
		return
	}
	st.whole = append(st.whole, w.now-st.at)
	w.whole = append(w.whole, w.now-st.at+unevenAccept)
	if len(st.whole) < st.batch.Sub.TargetGroups {
		return
	}
	w.done = append(w.done, w.now-st.at+unevenAccept)
	delete(w.open, run.Batch.Sub.ID)
	for _, stopped := range w.p.EndBatch(run.Batch.Sub.ID) {
		w.runs[stopped].stop = w.now + unevenStop
	}
}

func (w *unevenWorld) look() {
	for _, run := range w.p.Place(w.now) {
		w.starts++
		w.runs[run] = &unevenRun{w: run, engine: run.Engine, ready: w.now + unevenReread}
		if w.p.Long(run) {
			w.long++
			if w.slow[run.Engine] {
				w.slowRuns++
			}
		}
	}
	if w.never {
		return
	}
	for _, run := range w.p.Moves(w.now) {
		w.moves++
		if r := w.runs[run]; r.stop == 0 {
			r.stop = w.now + unevenStop
		}
	}
}

func (w *unevenWorld) sorted() []*cfrollout.Work {
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

func within(of []cf.Millis, most cf.Millis) float64 {
	n := 0
	for _, x := range of {
		if x <= most {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

type unevenResult struct {
	done, whole               []cf.Millis
	moves, starts, slow, long int
}

// replay plays 40 s of several seeds, each on its own.
func replay(s unevenSettings, seeds int) unevenResult {
	worlds := make([]*unevenWorld, seeds)
	var wg sync.WaitGroup
	for i := range worlds {
		s.seed = uint64(i)
		worlds[i] = newUneven(s)
		wg.Go(func() { worlds[i].play(40000) })
	}
	wg.Wait()
	r := unevenResult{}
	for _, w := range worlds {
		r.done, r.whole = append(r.done, w.done...), append(r.whole, w.whole...)
		r.moves, r.starts, r.slow, r.long = r.moves+w.moves, r.starts+w.starts, r.slow+w.slowRuns, r.long+w.long
	}
	slices.Sort(r.done)
	return r
}

// Symptom: a step waits for its longest text, which met two or three periods of a slow
// machine. Guards against moves that come when such a period is half over, land at engines
// that are slow as well, or cost more than the rest of the period: without the decision the
// steps lose a quarter more to slow machines.
func TestStepsLoseLessToSlowPeriods(t *testing.T) {
	const seeds = 4
	even := replay(unevenSettings{even: true}, seeds)
	never := replay(unevenSettings{never: true}, seeds)
	for _, gather := range []cf.Millis{0, 100} {
		before := replay(unevenSettings{gather: gather, off: true}, seeds)
		now := replay(unevenSettings{gather: gather}, seeds)
		for _, r := range []struct {
			name string
			unevenResult
		}{{"even engines", even}, {"no moves", never}, {"moves by smoothed paces", before}, {"moves by slow periods", now}} {
			t.Logf("%-24s events gathered %d ms: 90%% of the groups whole after %.0f ms, steps by 7.5 s %.3f, by 8.2 s %.3f; groups by 8.2 s %.3f; moves %d, long texts begun at slow engines %d of %d",
				r.name, gather, mean(r.done), within(r.done, 7500), within(r.done, 8200), within(r.whole, 8200), r.moves, r.slow, r.long)
		}
		if lost, lostBefore := mean(now.done)-mean(even.done), mean(before.done)-mean(even.done); lost > 0.85*lostBefore {
			t.Errorf("events gathered %d ms: a step loses %.0f ms to slow machines, %.0f ms without the decision", gather, lost, lostBefore)
		}
		if now.moves > before.moves {
			t.Errorf("%d moves, %d without the decision", now.moves, before.moves)
		}
	}
}

// Guards against decisions that change where machines are even: nothing moves, and steps
// take what they took.
func TestEvenMachinesAreServedAsBefore(t *testing.T) {
	now, before := replay(unevenSettings{even: true}, 2), replay(unevenSettings{even: true, off: true}, 2)
	if now.moves+before.moves > 0 || math.Abs(mean(now.done)-mean(before.done)) > 20 {
		t.Errorf("%d and %d moves, steps of %.0f and %.0f ms", now.moves, before.moves, mean(now.done), mean(before.done))
	}
}
