package cfrollout_test

import (
	"fmt"
	"math"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/testbed/cfreplay"
)

const replayTime cf.Millis = 60_000

// overloaded returns 15 engines of six slots and four trainers whose texts have the given mean
// numbers of events, like the first deployment of docs/design/3-hard-load.md.
func overloaded(seed uint64, events ...float64) cfreplay.Options {
	o := cfreplay.Options{
		Seed: seed, Limits: cfrollout.DefaultLimits,
		Engines: cfreplay.EngineOptions{Count: 15, Slots: 6, FailureDomains: 3, EventTime: 42.1, EventTimePerRun: 1.67, LoadTime: 900, FullSpeedLoads: 10, LoadJitter: 0.5},
	}
	for i, mean := range events {
		o.Trainers = append(o.Trainers, cfreplay.Trainer{
			Model: cf.ModelName(fmt.Sprint("m", i)), MeanEvents: mean, MaxEvents: 98, MinGroups: 10, MaxGroups: 14, GroupSize: []int{8, 16, 16, 8}[i],
			RequiredFraction: 0.9, StepInterval: 4000, TrainTime: 750, CarryOver: true,
		})
	}
	return o
}

// totalWorth returns the worth of the trainers' results, in total and for each trainer.
func totalWorth(r *cfreplay.Simulation) (sum float64, each []float64) {
	for _, o := range r.Outcomes() {
		sum += o.Value
		each = append(each, o.Value)
	}
	return sum, each
}

// shareInTime returns the groups in time at a load, given as a multiple of the capacity, as a part
// of an upper bound that knows the true lengths, always fills all slots and loads no weights.
func shareInTime(load float64) float64 {
	inTime, best := 0, 0
	for seed := range uint64(2) {
		n := int(math.Round(38 * load))
		o := overloaded(seed)
		o.Engines.Count = 4
		o.Trainers = []cfreplay.Trainer{{Model: "a", MeanEvents: 14, MaxEvents: 98, MinGroups: n, MaxGroups: n, GroupSize: 8, RequiredFraction: 0.9, StepInterval: 4000, TrainTime: 750}}
		r := cfreplay.New(o)
		r.Run(20_000) // lengths are unknown before
		before := r.Outcomes()[0]
		r.Run(20_000 + replayTime)
		inTime += r.Outcomes()[0].InTime - before.InTime
		best += r.Outcomes()[0].UpperBound - before.UpperBound
	}
	return float64(inTime) / float64(best)
}

// TestGroupsInTimeAgainstABound guards against steps beyond capacity in which nearly all groups are
// late. From 1.5 times the capacity on, no group is in time if all groups are worked on at once.
// TestGroupsInTimeReachTheStatedPart checks the required part; this test checks the part that is
// reached.
func TestGroupsInTimeAgainstABound(t *testing.T) {
	for _, c := range []struct{ load, least float64 }{{0.8, 0.95}, {1, 0.8}, {1.5, 0.8}, {2, 0.78}, {3, 0.78}} {
		part := shareInTime(c.load)
		t.Logf("at %.1f times the capacity %.3f of the bound is in time", c.load, part)
		if part < c.least {
			t.Errorf("at %.1f times the capacity %.3f of the bound is in time, want %.2f", c.load, part, c.least)
		}
	}
}

// TestGroupsInTimeReachTheStatedPart guards against a selection that leaves more than a tenth of
// the possible groups incomplete, at any load.
func TestGroupsInTimeReachTheStatedPart(t *testing.T) {
	for _, load := range []float64{0.8, 1, 1.5, 2, 3} {
		if part := shareInTime(load); part < 0.9 {
			t.Errorf("at %.1f times the capacity %.3f of the bound is in time, want 0.9", load, part)
		}
	}
}

// TestTrainersProgressBeyondCapacity guards against a closed loop in which each step ends at the
// trainers' timeout, and against one trainer getting far less than the others.
func TestTrainersProgressBeyondCapacity(t *testing.T) {
	for name, disturb := range map[string]func(*cfreplay.Simulation){
		"undisturbed":  func(*cfreplay.Simulation) {},
		"slow engines": func(r *cfreplay.Simulation) { r.Run(8000); r.SlowEngines(3, 4); r.Run(16_000); r.SlowEngines(0, 1) },
		"lost domain":  func(r *cfreplay.Simulation) { r.Run(30_000); r.LoseDomain("d1") },
	} {
		run := func(limits cfrollout.Limits) (float64, []float64) {
			o := overloaded(3, 25, 27, 32, 35)
			o.Limits = limits
			r := cfreplay.New(o)
			disturb(r)
			r.Run(replayTime)
			return totalWorth(r)
		}
		got, each := run(cfrollout.DefaultLimits)
		all := cfrollout.DefaultLimits
		all.AllGroups = true
		before, _ := run(all)
		if got < 1.3*before {
			t.Errorf("%s: results worth %.1f with selected groups, %.1f with all groups", name, got, before)
		}
		for i, w := range each {
			if w < got/float64(len(each))/2 {
				t.Errorf("%s: trainer %d gets results worth %.1f of %.1f", name, i, w, got)
			}
		}
	}
}

// TestSharesDoNotFollowEachStep guards against engines that change their model with each step, and
// load weights for it, while the trainers' needs stay the same.
func TestSharesDoNotFollowEachStep(t *testing.T) {
	r := cfreplay.New(overloaded(5, 12, 12, 12, 12))
	r.Run(20_000)
	changes, before := 0, r.Shares()
	for now := cf.Millis(20_000); now < replayTime; now += 500 {
		r.Run(now)
		after := r.Shares()
		for m, n := range after {
			changes += max(n-before[m], 0)
		}
		before = after
	}
	if changes > 4 {
		t.Errorf("engines changed their model %d times in 40 s", changes)
	}
}

// TestShareWeights guards against share weights without effect: here one trainer counts twice.
func TestShareWeights(t *testing.T) {
	o := overloaded(5, 12, 12)
	o.Trainers[1].GroupSize = o.Trainers[0].GroupSize
	o.ShareWeights = map[cf.ModelName]float64{"m0": 2}
	r := cfreplay.New(o)
	r.Run(20_000)
	if s := r.Shares(); s["m0"] < 9 || s["m1"] < 4 {
		t.Errorf("15 engines are divided into %v, with twice the weight for m0", s)
	}
}

// TestStepsAreInTimeAgainAfterOverload guards against groups that are still late after the overload
// has ended.
func TestStepsAreInTimeAgainAfterOverload(t *testing.T) {
	o := overloaded(7, 10, 35, 35, 35)
	for i := range 3 {
		o.Trainers[i+1].Until = 25_000
	}
	r := cfreplay.New(o)
	r.Run(45_000)
	before := r.Outcomes()[0]
	r.Run(replayTime + 30_000)
	after := r.Outcomes()[0]
	if inTime, owed := after.InTime-before.InTime, after.Required-before.Required; owed < 60 || float64(inTime) < 0.9*float64(owed) {
		t.Errorf("%d of %d groups in time in the 45 s after the overload", inTime, owed)
	}
}
