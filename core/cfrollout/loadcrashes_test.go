package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// crashSim simulates engines that return under new ids one second after a crash.
type crashSim struct {
	planner    *cfrollout.Planner
	targets    []cf.Target
	returnsAt  map[cf.InstanceID]cf.Millis // crashed engines and when they return
	loads      map[cf.InstanceID]cfrollout.Swap
	loadEndsAt map[cf.InstanceID]cf.Millis
	held       map[cf.InstanceID]cf.WeightVersion
	starts     int
	crashed    int
	// ordersFail says that orders fail before the list shows that the engine is gone.
	ordersFail bool
}

func newCrashSim(n int) *crashSim {
	w := &crashSim{
		planner: cfrollout.New(cfrollout.DefaultLimits), targets: fleet(n, cf.ModelState{Name: "m", Version: 1}),
		returnsAt: map[cf.InstanceID]cf.Millis{}, loads: map[cf.InstanceID]cfrollout.Swap{}, loadEndsAt: map[cf.InstanceID]cf.Millis{},
		held: map[cf.InstanceID]cf.WeightVersion{},
	}
	w.planner.SetEngines(w.targets, models("m"))
	return w
}

// run makes a planning pass every 100 ms. A load ends after 500 ms, and crashes its engine if bad
// returns true for the version.
func (w *crashSim) run(from, to cf.Millis, bad func(cf.WeightVersion) bool) {
	for now := from; now < to; now += 100 {
		for id, at := range w.loadEndsAt {
			if now < at {
				continue
			}
			delete(w.loadEndsAt, id)
			if s := w.loads[id]; !bad(s.Version) {
				w.planner.SwapDone(id, s.Model, s.Version)
				w.held[id] = s.Version
				continue
			}
			if w.ordersFail {
				w.planner.SwapFailed(id, now)
			}
			w.crash(id, now)
		}
		changed := false
		for id, at := range w.returnsAt {
			if now >= at {
				delete(w.returnsAt, id)
				w.starts++
				w.targets = append(w.targets, cf.Target{
					ID: cf.InstanceID(fmt.Sprintf("n%03d", w.starts)), Service: service, Slots: 4, Models: []cf.ModelState{{Name: "m", Version: 1}},
				})
				changed = true
			}
		}
		if changed {
			w.planner.SetEngines(w.targets, models("m"))
		}
		for _, s := range w.planner.Swaps(now) {
			w.loads[s.Target.ID], w.loadEndsAt[s.Target.ID] = s, now+500
		}
	}
}

func (w *crashSim) crash(id cf.InstanceID, now cf.Millis) {
	w.crashed++
	w.returnsAt[id] = now + 1000
	delete(w.loadEndsAt, id)
	for i := range w.targets {
		if w.targets[i].ID == id {
			w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
			break
		}
	}
	w.planner.SetEngines(w.targets, models("m"))
}

// TestCrashingVersionIsNotOrderedRepeatedly announces a version that crashes each engine that loads
// it, and after five minutes another one like it for five more. Without memory of the crashes, 40
// engines would crash over a thousand times in these ten minutes.
func TestCrashingVersionIsNotOrderedRepeatedly(t *testing.T) {
	for _, fails := range []bool{false, true} {
		w := newCrashSim(40)
		w.ordersFail = fails
		w.planner.SetVersion("m", 2)
		bad := func(v cf.WeightVersion) bool { return v == 2 || v == 3 }
		w.run(0, 300_000, bad)
		// The first concurrent loads, two more, and tries after 10, 40 and 160 s.
		if most := cfrollout.DefaultLimits.UrgentLoads + 2 + 3; w.crashed > most || w.crashed < 3 {
			t.Errorf("ordersFail %v: %d engines crashed in five minutes, want between 3 and %d", fails, w.crashed, most)
		}
		before := w.crashed
		w.planner.SetVersion("m", 3)
		w.run(300_000, 600_000, bad)
		if most := 2 + 4; w.crashed-before > most || w.crashed == before {
			t.Errorf("ordersFail %v: %d engines crashed with the next version, want between 1 and %d", fails, w.crashed-before, most)
		}
		w.planner.SetVersion("m", 4)
		w.run(600_000, 640_000, bad)
		for _, target := range w.targets {
			if w.held[target.ID] != 4 {
				t.Errorf("ordersFail %v: %s does not hold a sound version after 40 s", fails, target.ID)
			}
		}
	}
}

// TestSoundVersionIsLoadedDespiteUnrelatedCrashes crashes the engines of a failure domain together,
// repeatedly, while they load a sound version. Loads may wait only for the one load that clears the
// version.
func TestSoundVersionIsLoadedDespiteUnrelatedCrashes(t *testing.T) {
	w := newCrashSim(40)
	sound := func(cf.WeightVersion) bool { return false }
	now := cf.Millis(0)
	for v := cf.WeightVersion(2); v <= 6; v++ {
		w.planner.SetVersion("m", v)
		w.run(now, now+200, sound)
		for _, target := range append([]cf.Target(nil), w.targets[:10]...) {
			w.crash(target.ID, now+200)
		}
		for id := range w.loadEndsAt { // and all loading engines
			w.crash(id, now+200)
		}
		began := now + 300
		for now = began; !w.anyHolds(v) && now < began+5000; now += 100 {
			w.run(now, now+100, sound)
		}
		if now-began > 700 {
			t.Errorf("version %d: first loaded %d ms after the crashes, want at most 700", v, now-began)
		}
		w.run(now, now+20_000, sound)
		now += 20_000
	}
}

func (w *crashSim) anyHolds(v cf.WeightVersion) bool {
	for _, target := range w.targets {
		if w.held[target.ID] == v {
			return true
		}
	}
	return false
}
