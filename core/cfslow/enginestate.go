package cfslow

import (
	"math"

	cf "currantford"
)

const (
	// slowThreshold and quietThreshold are the ratios of an engine's pace to its baseline pace at
	// which a slow period begins and ends. Events show ratios of 1 and 2.5, or between these if a
	// period began or ended during the event.
	slowThreshold  = 1.4
	quietThreshold = 1.25
	// maxGap is the time without an event after which the state of an engine is unknown.
	maxGap cf.Millis = 400
	// baselineRate bounds the relative change of the baseline pace per second, baselineRateSlow the
	// same within a slow period. baselineStep is the fraction of the difference that one
	// observation corrects at most. The bounds are the same in both directions and do not depend on
	// the size of the difference, which makes the baseline a median: events that are read late and
	// then in bursts do not change it.
	baselineRate     = 0.3
	baselineRateSlow = 0.1
	baselineStep     = 0.3
	// minBaseline bounds an engine's baseline pace from below, as a fraction of the typical pace.
	minBaseline = 0.6
	// noiseSpan is the time in ms over which the relative error of the pace outside of slow periods
	// is smoothed. The thresholds are raised to at least noiseSlow and noiseQuiet times that error
	// above 1. maxNoise bounds the error.
	noiseSpan  = 1500.0
	noiseSlow  = 4.0
	noiseQuiet = 2.0
	maxNoise   = 0.25
	// ratioWeight is the weight of the newest pace in the ratio of a period.
	ratioWeight = 0.3
)

// EngineState is the state of an engine as observed by the events of its runs. The zero value has
// no observations.
type EngineState struct {
	baseline   float64 // lasting pace in ms per event
	ratio      float64 // ratio of the pace to the baseline in the current period
	noise      float64 // mean relative error of the pace outside of slow periods
	slow       bool
	since      cf.Millis // start of the current period
	quietSince cf.Millis // end of the last period
	observedAt cf.Millis
}

// BaselinePace returns an engine's lasting pace in ms per event, zero before the first observation.
func (s *EngineState) BaselinePace() float64 { return s.baseline }

// Slow reports whether the engine is in a slow period.
func (s *EngineState) Slow(now cf.Millis) bool { return s.slow && now-s.observedAt <= maxGap }

// Quiet reports whether the engine was observed recently and has not been slow for the given span.
func (s *EngineState) Quiet(span, now cf.Millis) bool {
	return !s.slow && s.baseline > 0 && now-s.observedAt <= maxGap && now-s.quietSince >= span
}

// Since returns the start of the current slow period.
func (s *EngineState) Since() cf.Millis { return s.since }

// IndicatesSlow reports whether a pace would begin a slow period.
func (s *EngineState) IndicatesSlow(pace float64) bool {
	return s.baseline > 0 && pace > s.baseline*max(slowThreshold, 1+noiseSlow*min(s.noise, maxNoise))
}

// Observe records the pace of an engine's events in ms per event, as observed at the given time.
// typical is the pace of similar engines, used until the engine has a baseline; zero if unknown.
func (s *EngineState) Observe(p *Periods, pace, typical float64, seen cf.Millis) {
	if s.baseline == 0 {
		s.baseline, s.observedAt, s.quietSince = pace, seen, seen
		if typical > 0 {
			s.baseline = min(max(pace, typical/slowThreshold), slowThreshold*typical)
		}
		return
	}
	// No engine is that much faster than similar ones; its first events must have arrived in a
	// burst.
	s.baseline = max(s.baseline, minBaseline*typical)
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
	case s.slow && ratio < max(quietThreshold, 1+noiseQuiet*min(s.noise, maxNoise)):
		s.slow, s.quietSince = false, seen
		p.recordEnd(seen-s.since, true, seen)
	case s.slow && seen-s.since > bucketSpan*buckets:
		p.recordEnd(seen-s.since, false, seen)
		s.slow, s.quietSince, s.baseline = false, seen, pace // permanently slow
	case s.slow:
		s.ratio += ratioWeight * (ratio - s.ratio)
		s.adjustBaseline(pace, baselineRateSlow, passed)
		if seen-s.since > bucketSpan {
			p.observeSlowdown(s.ratio)
		}
	case s.IndicatesSlow(pace):
		s.slow, s.ratio = true, ratio
		s.since = seen - cf.Millis(min(pace, float64(passed))) // the period began within an event
		p.begun++
	default:
		s.adjustBaseline(pace, baselineRate, passed)
		s.noise += min(float64(passed)/noiseSpan, 1) * (math.Abs(ratio-1) - s.noise)
		p.quietTime += float64(passed)
	}
}

// adjustBaseline adjusts the baseline towards an observed pace.
func (s *EngineState) adjustBaseline(pace, rate float64, passed cf.Millis) {
	step := rate * s.baseline * float64(passed) / 1000
	s.baseline += min(max(baselineStep*(pace-s.baseline), -step), step)
}

// endUnobserved ends a period that was last observed at the given time.
func (s *EngineState) endUnobserved(p *Periods, at cf.Millis) {
	if s.slow {
		s.slow, s.quietSince = false, at
		p.recordEnd(max(at-s.since, 0), false, at)
	}
}

// DiscardPeriod discards the current period, if any, without counting it. It is used if the
// observed pace is not the engine's own, while it loads weights or while most other engines appear
// slow too.
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
