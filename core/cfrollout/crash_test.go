package cfrollout_test

import (
	"fmt"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
	"currantford/testbed/cfreplay"
)

// maxUnplaced is how long an unfinished item may have no engine while slots are free.
const maxUnplaced cf.Millis = 5000

// crashBursts returns nine engines of twelve slots and one trainer, with three bursts of five
// crashes, 0.4 s apart, each of which affects three in ten engines.
func crashBursts(seed uint64) cfreplay.Options {
	o := cfreplay.Options{
		Seed: seed, Limits: cfrollout.DefaultLimits,
		Engines:  cfreplay.EngineOptions{Count: 9, Slots: 12, FailureDomains: 3, EventTime: 42, EventTimePerRun: 1.7, LoadTime: 900, FullSpeedLoads: 10},
		Trainers: []cfreplay.Trainer{{Model: "a", MeanEvents: 14, MaxEvents: 40, MinGroups: 10, MaxGroups: 12, GroupSize: 8, RequiredFraction: 1, StepInterval: 4000, TrainTime: 750}},
		Crashes:  cfreplay.Crashes{Quarantine: cfquarantine.New("i")},
	}
	for _, at := range []cf.Millis{5000, 11_000, 17_000} {
		for n := range cf.Millis(5) {
			o.Crashes.Bursts = append(o.Crashes.Bursts, cfreplay.CrashBurst{At: at + 400*n, Fraction: 0.3, Downtime: 400})
		}
	}
	return o
}

// TestItemsCompleteAfterABurstOfCrashes guards against items that are never placed again after
// their engines have crashed in a burst.
func TestItemsCompleteAfterABurstOfCrashes(t *testing.T) {
	for name, body := range map[string]func(cf.Item) string{
		"one body per item":  nil,
		"one body per group": func(it cf.Item) string { return string(it.Group) },
		"one body per step":  func(it cf.Item) string { return string(it.Group[:strings.LastIndex(string(it.Group), "-")]) },
		"one body for all":   func(cf.Item) string { return "x" },
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				o := crashBursts(seed)
				o.Crashes.Body = body
				r := cfreplay.New(o)
				r.Run(60_000)
				got := r.Outcomes()[0]
				if n := r.MaxUnplaced(); n >= maxUnplaced {
					t.Errorf("an item had no engine for %d ms while slots were free, want less than %d", n, maxUnplaced)
				}
				if got.InTime < got.Required {
					t.Errorf("%d of %d groups in time, %d late, of %d steps", got.InTime, got.Required, got.Late, got.Steps)
				}
			})
		}
	}
}

// TestItemThatCrashesEnginesIsIsolated checks that an item which crashes each engine that runs it
// costs only as many engines as its pauses allow, whichever step it belongs to. All other items are
// done in time.
func TestItemThatCrashesEnginesIsIsolated(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			o := crashBursts(seed)
			o.Crashes.Bursts = nil
			o.Crashes.FaultyDowntime = 3000
			o.Crashes.IsFaulty = func(it cf.Item) bool { return it.ID == "a-3-04-02" }
			r := cfreplay.New(o)
			r.Run(60_000)
			crashes := r.FaultyItemCrashes()
			// Three at once, and then one after each pause of 1, 2, 4 and 4 s until its step
			// expires.
			if n := len(crashes); n < 6 || n > 7 {
				t.Errorf("%d engines crashed while they ran it, want 6 or 7", n)
			}
			for i := 3; i < len(crashes); i++ {
				pause, limit := []cf.Millis{1000, 2000, 4000}[min(i-3, 2)], []int{4, 2, 1}[min(i-3, 2)]
				if waited := crashes[i].At - crashes[i-1].At; waited < pause {
					t.Errorf("crash %d comes %d ms after the previous one, want at least %d", i+1, waited, pause)
				}
				if crashes[i].OtherRuns >= limit {
					t.Errorf("crash %d ends %d other runs, want fewer than %d", i+1, crashes[i].OtherRuns, limit)
				}
			}
			if n := r.MaxUnplaced(); n >= maxUnplaced {
				t.Errorf("an item had no engine for %d ms while slots were free, want less than %d", n, maxUnplaced)
			}
			if got := r.Outcomes()[0]; got.InTime < got.Required-1 {
				t.Errorf("%d of %d groups in time, want all but its own", got.InTime, got.Required)
			}
		})
	}
}
