package cfslow

import (
	"math"

	cf "currantford"
)

const (
	// slowFrom and quietBelow are how many times its lasting pace an engine takes when a
	// period of slowness begins and ends. Events show the paces of 1 and 2.5 times; those
	// made half in a period lie between.
	slowFrom   = 1.4
	quietBelow = 1.25
	// maxGap is after how long without an event the state of an engine is not known.
	maxGap cf.Millis = 400
	// baselineRate is by what part of itself the lasting pace follows what is seen in a second,
	// usualRateSlow the same within a period, and usualNear the most of the difference at
	// once. It goes up and down alike, however far what is seen lies off: it is a median, and
	// events that are read late and then in bursts do not move it.
	baselineRate     = 0.3
	baselineRateSlow = 0.1
	baselineStep     = 0.3
	// minBaseline is the least part of the usual lasting pace that an engine's is.
	minBaseline = 0.6
	// noiseSpan is over how many ms the error of what a quiet engine shows is smoothed.
	// noiseSlow and noiseQuiet widen slowFrom and quietBelow to so many times that error,
	// noiseMost bounds it.
	noiseSpan  = 1500.0
	noiseSlow  = 4.0
	noiseQuiet = 2.0
	maxNoise   = 0.25
	// ratioWeight is the weight of the newest pace in how much slower a period is.
	ratioWeight = 0.3
)

// EngineState is what the events of an engine's runs show of it. The zero value is an engine
// that has shown nothing.
type EngineState struct {
	baseline   float64 // the lasting pace
	ratio      float64 // how much slower it is in the period under way
	noise      float64 // the mean error of the pace of a quiet engine, as a part of it
	slow       bool
	since      cf.Millis // when the period began
	quietSince cf.Millis // when the last one ended
	observedAt cf.Millis
}

// BaselinePace returns an engine's lasting pace, zero where it has not shown.
func (s *EngineState) BaselinePace() float64 { return s.baseline }

// Slow says whether the engine is in a period of slowness.
func (s *EngineState) Slow(now cf.Millis) bool { return s.slow && now-s.observedAt <= maxGap }

// Quiet says whether the engine was seen quiet just now, and has been for a span.
func (s *EngineState) Quiet(span, now cf.Millis) bool {
	return !s.slow && s.baseline > 0 && now-s.observedAt <= maxGap && now-s.quietSince >= span
}

// Since returns when the period of slowness began that the engine is in.
func (s *EngineState) Since() cf.Millis { return s.since }

// IndicatesSlow says whether a pace would begin a period of slowness.
func (s *EngineState) IndicatesSlow(pace float64) bool {
	return s.baseline > 0 && pace > s.baseline*max(slowFrom, 1+noiseSlow*min(s.noise, maxNoise))
}

// Observe takes the pace of an engine's events as they show it at seen, in ms per event. usual is
// that of engines like it, for one that has shown nothing yet, zero if that is not known.
func (s *EngineState) Observe(p *Periods, pace, usual float64, seen cf.Millis) {
	if s.baseline == 0 {
		s.baseline, s.observedAt, s.quietSince = pace, seen, seen
		if usual > 0 {
			s.baseline = min(max(pace, usual/slowFrom), slowFrom*usual)
		}
		return
	}
	// No engine is so much faster than others like it: its first events came in a burst.
	s.baseline = max(s.baseline, minBaseline*usual)
	passed := seen - s.observedAt
	if passed <= 0 || pace <= 0 {
		return
	}
	s.observedAt = seen
	if passed > maxGap {
		s.endUnobserved(p, seen-passed)
		passed = 0
	}
	ratio := pace / s.baseline
	switch {
	case s.slow && ratio < max(quietBelow, 1+noiseQuiet*min(s.noise, maxNoise)):
		s.slow, s.quietSince = false, seen
		p.recordEnd(seen-s.since, true, seen)
	case s.slow && seen-s.since > bucketSpan*buckets:
		p.recordEnd(seen-s.since, false, seen)
		s.slow, s.quietSince, s.baseline = false, seen, pace // that is what it is like
	case s.slow:
		s.ratio += ratioWeight * (ratio - s.ratio)
		s.adjustBaseline(pace, baselineRateSlow, passed)
		if seen-s.since > bucketSpan {
			p.observeSlowdown(s.ratio)
		}
	case s.IndicatesSlow(pace):
		s.slow, s.ratio = true, ratio
		s.since = seen - cf.Millis(min(pace, float64(passed))) // it began within an event
		p.begun++
	default:
		s.adjustBaseline(pace, baselineRate, passed)
		s.noise += min(float64(passed)/noiseSpan, 1) * (math.Abs(ratio-1) - s.noise)
		p.quietTime += float64(passed)
	}
}

// adjustBaseline moves the lasting pace towards one that was seen.
func (s *EngineState) adjustBaseline(pace, rate float64, passed cf.Millis) {
	most := rate * s.baseline * float64(passed) / 1000
	s.baseline += min(max(baselineStep*(pace-s.baseline), -most), most)
}

// endUnobserved ends a period that was lost sight of at a moment.
func (s *EngineState) endUnobserved(p *Periods, at cf.Millis) {
	if s.slow {
		s.slow, s.quietSince = false, at
		p.recordEnd(max(at-s.since, 0), false, at)
	}
}

// DiscardPeriod drops a period that is under way: what the engine shows at now is not its pace, as it
// loads weights, or as most others look slow too. It counts as none.
func (s *EngineState) DiscardPeriod(p *Periods, now cf.Millis) {
	if s.slow {
		p.begun = max(p.begun-1, 0)
	}
	s.slow, s.quietSince = false, now
}

func (p *Periods) observeSlowdown(ratio float64) {
	if p.slowdown == 0 {
		p.slowdown = ratio
	}
	p.slowdown += slowdownWeight * (ratio - p.slowdown)
}
