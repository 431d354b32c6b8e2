package cfadmission_test

import (
	"testing"

	cf "currantford"
)

// usual is the rate of an organisation per second: three large ones have half of 12.
func usual(org int) float64 {
	if org < 3 {
		return 2
	}
	return 6.0 / 70
}

// flood is ninety times the usual rate for eight seconds, with one of three targets lost half
// a second after its start, and the usual rate before and after.
func flood(seed uint64) load {
	return load{
		orgs: 73, instances: 50, targets: 3, lostAt: 10500, seed: seed,
		phases: []phase{{10000, usual}, {18000, func(org int) float64 { return 90 * usual(org) }}, {20000, usual}, {24000, usual}},
	}
}

// mostAnswered is what the targets can answer in the flood: three for half a second, then two.
const mostAnswered = 3*slots/work*500 + 2*slots/work*7500

// Load: the flood. Without the decision half of what is answered is late.
func TestFloodIsAnsweredInTime(t *testing.T) {
	for seed := range uint64(3) {
		l := flood(seed)
		on := play(l).byPhase[1]
		l.off = true
		off := play(l).byPhase[1]
		t.Logf("seed %d: on %+v, off %+v, at most %.0f", seed, on, off, mostAnswered)
		if float64(on.inTime) < 0.86*mostAnswered {
			t.Errorf("seed %d: %d answered in time", seed, on.inTime)
		}
		if served := on.inTime + on.late; float64(on.late) > 0.06*float64(served) || float64(served) < 0.95*float64(off.inTime+off.late) {
			t.Errorf("seed %d: %d late of %d answered, %d without the decision", seed, on.late, served, off.inTime+off.late)
		}
		if cf.Millis(on.slowest) > objective/4 {
			t.Errorf("seed %d: a refusal took %.0f ms", seed, on.slowest)
		}
		if float64(off.inTime) > 0.6*mostAnswered {
			t.Errorf("seed %d: %d answered in time without the decision: the load is not the one that it answers", seed, off.inTime)
		}
	}
}
