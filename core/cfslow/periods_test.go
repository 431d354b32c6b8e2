package cfslow_test

import (
	"math"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfslow"
)

const quietPace = 49

// observeEngines simulates twelve engines that are observed every 20 ms, with a relative error of
// the pace. Each is slow for 600 ms and then not for 3,400 ms, offset from each other. It returns
// the first engine, which has just become slow.
func observeEngines(p *cfslow.Periods, to cf.Millis, noise float64) *cfslow.EngineState {
	random := rand.New(rand.NewPCG(2, 3))
	var engines [12]cfslow.EngineState
	for now := cf.Millis(20); now <= to; now += 20 {
		for i := range engines {
			pace := quietPace * (1 + noise*random.NormFloat64())
			if (now+cf.Millis(i)*320)%4000 < 600 {
				pace *= 2.5
			}
			engines[i].Observe(p, pace, quietPace, now)
		}
	}
	return &engines[0]
}

// TestPeriodsAreLearned guards against decisions based on a wrong mean length, fraction of time or
// slowdown of slow periods.
func TestPeriodsAreLearned(t *testing.T) {
	for _, noise := range []float64{0, 0.08} {
		p := &cfslow.Periods{}
		s := observeEngines(p, 120000, noise)
		if !p.Reliable(120000) || math.Abs(p.Mean()-600) > 120 || math.Abs(p.SlowFraction()-0.15) > 0.03 || math.Abs(p.Slowdown()-2.5) > 0.3 || math.Abs(s.BaselinePace()-quietPace) > 3 {
			t.Errorf("noise %.2f: reliable %t, mean %.0f ms, slow fraction %.3f, slowdown %.2f, baseline pace %.1f", noise, p.Reliable(120000), p.Mean(), p.SlowFraction(), p.Slowdown(), s.BaselinePace())
		}
		if late := p.Remaining(500); late > 250 {
			t.Errorf("a period of 600 ms that has lasted 500 ms is expected to last %.0f ms more", late)
		}
	}
}

// TestBurstsDoNotChangeTheBaselinePace guards against bursts and late events lowering the baseline
// pace until every engine appears slow.
func TestBurstsDoNotChangeTheBaselinePace(t *testing.T) {
	p, s := &cfslow.Periods{}, &cfslow.EngineState{}
	for now := cf.Millis(0); now < 60000; now += 20 {
		pace := float64(quietPace)
		switch now % 200 {
		case 0:
			pace = 90
		case 20, 40:
			pace = 2
		}
		s.Observe(p, pace, quietPace, now)
	}
	if math.Abs(s.BaselinePace()-quietPace) > 5 || p.Mean() > 2100 {
		t.Errorf("baseline pace %.1f, periods of %.0f ms", s.BaselinePace(), p.Mean())
	}
}

// TestLastingSlownessBecomesTheBaselinePace guards against expecting a permanently slow engine to
// become fast again.
func TestLastingSlownessBecomesTheBaselinePace(t *testing.T) {
	p, s := &cfslow.Periods{}, &cfslow.EngineState{}
	for now := cf.Millis(20); now < 20000; now += 20 {
		pace := float64(quietPace)
		if now > 10000 {
			pace *= 2
		}
		s.Observe(p, pace, 0, now)
	}
	if s.Slow(20000) || math.Abs(s.BaselinePace()-2*quietPace) > 5 || p.Reliable(20000) {
		t.Errorf("slow %t, baseline pace %.1f, reliable %t", s.Slow(20000), s.BaselinePace(), p.Reliable(20000))
	}
}

// TestTimeSavedByMove guards against moves near the end of a period (the planner requires a saving
// of 100 ms), of runs with little left, or to an engine that is equally slow.
func TestTimeSavedByMove(t *testing.T) {
	p := &cfslow.Periods{}
	now := cf.Millis(120100)
	s := observeEngines(p, now, 0)
	destination := cfslow.Destination{Pace: s.BaselinePace()} // the planner assumes the same pace elsewhere, unless it is clearly lower
	saved := func(left float64, to cfslow.Destination, now cf.Millis) float64 {
		return p.TimeSaved(cfslow.Run{EventsLeft: left}, s, to, 80, now)
	}
	if early := saved(100, destination, now); early < 80 || early > 280 {
		t.Errorf("moving a long run saves %.0f ms at the start of a period", early)
	}
	if late := saved(100, destination, now+350); late > 50 {
		t.Errorf("moving a long run saves %.0f ms at the end of a period", late)
	}
	if short := saved(1, destination, now); short > 0 {
		t.Errorf("moving a run with one event left saves %.0f ms", short)
	}
	if bad := saved(100, cfslow.Destination{Pace: s.BaselinePace(), Delay: p.Delay(s, 100*quietPace, now)}, now); bad > 0 {
		t.Errorf("moving a long run to an equally slow engine saves %.0f ms", bad)
	}
}
