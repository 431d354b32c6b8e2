// Package cfslow learns how long engines stay slow, and says what a run saves by
// leaving one that has turned slow. It makes no calls and has no clock of its own.
//
// The load it answers: engines share their machines with other workloads, and each
// is 2.5 times as slow for some 600 ms at a time, 15% of the time. The longest text
// of a step, which takes 7.1 s on a quiet engine, meets two or three such periods,
// and its group is whole half a second late. A smoothed pace shows a period when
// half of it is over, and does not tell it from an engine that is slow for good.
//
// Usage:
//
//	s.Note(periods, pace, now) // each engine's State, as events show its pace
//	if periods.Known(now) && s.Slow(now) {
//		saved := periods.Saves(cfslow.Run{...}, s, cfslow.Place{...}, now)
//	}
package cfslow

import (
	"math"

	cf "currantford"
)

const (
	// bucketSpan is the span in which the ends of periods are counted together, ages how
	// many of them there are. What is slow for longer than all is slow for good.
	bucketSpan cf.Millis = 100
	buckets    cf.Millis = 40
	// priorMean and priorCount are what is taken for the length of periods, and for
	// how many of each age, until some have been observed: so long that a run leaves
	// at once, as it does by smoothed paces.
	priorMean  cf.Millis = 2000
	priorCount float64   = 2
	// lastingRemaining is how much longer an engine is taken to be slow that has been for
	// longer than all ages.
	lastingRemaining cf.Millis = 10000
	// countDecay is what is kept of the counts at each end of a period: some 400 periods
	// count, of 44 engines those of the last 45 s.
	countDecay = 0.9975
	// minPeriods is how many periods must have ended within about knownSpan before
	// decisions go by them: one or two may be a delay in the observer.
	minPeriods           = 8
	recentSpan cf.Millis = 30000
	// minPeriod is how long a period must last to count towards them: leaving a shorter one
	// costs more than it saves, and events that come late look like it.
	minPeriod cf.Millis = 150
	// priorSlowdown is how much slower engines are taken to be in a period, until
	// some have shown it; slowdownWeight is the weight of the newest that has.
	priorSlowdown  = 2.0
	slowdownWeight = 0.02
	// priorQuietTime is for how long engines are taken to have been seen quiet before any was,
	// in ms.
	priorQuietTime = 5000
)

// Periods is what is known of how long engines stay slow. The zero value knows
// nothing.
type Periods struct {
	reached, ended        [buckets]float64 // how many periods reached an age, and ended at it
	recent                float64          // those that ended lately, as of recentAt
	recentAt              cf.Millis
	reliable              bool // what Known returned at knownAt
	reliableAt            cf.Millis
	quietTime, begun      float64 // ms for which engines were seen quiet, and periods that began
	slowdown              float64
	remaining             [buckets + 1]float64 // what Left returns, by age
	endCount, remainingAt int                  // how many ended, and for how many left holds
}

// Reliable says whether enough periods were observed for decisions to go by them.
func (p *Periods) Reliable(now cf.Millis) bool {
	// It is asked for each engine of a choice.
	if p.recent < minPeriods {
		return false
	}
	if now != p.reliableAt {
		p.reliableAt, p.reliable = now, p.RecentCount(now) >= minPeriods && p.Mean() >= float64(minPeriod)
	}
	return p.reliable
}

// RecentCount returns about how many periods ended within the last half minute.
func (p *Periods) RecentCount(now cf.Millis) float64 {
	return p.recent * math.Exp(-float64(now-p.recentAt)/float64(recentSpan))
}

// recordEnd takes a period that lasted for a span; unless whole, it was lost sight of then.
func (p *Periods) recordEnd(span cf.Millis, whole bool, now cf.Millis) {
	last := int(span / bucketSpan)
	p.quietTime *= countDecay
	p.begun *= countDecay
	for i := range p.reached {
		p.reached[i] *= countDecay
		p.ended[i] *= countDecay
		if i < last || whole && i == last {
			p.reached[i]++
		}
	}
	p.endCount++
	if whole && last < int(buckets) {
		p.ended[last]++
	}
	if whole && last < int(buckets) && span >= minPeriod {
		p.recent = p.RecentCount(now) + 1
		p.recentAt = now
	}
}

// Remaining returns how much longer an engine is expected to be slow that has been for a
// while, in ms.
func (p *Periods) Remaining(been cf.Millis) float64 {
	if p.remainingAt != p.endCount || p.remaining[buckets] == 0 {
		p.remainingAt = p.endCount
		p.remaining[buckets] = float64(lastingRemaining)
		for i := int(buckets) - 1; i >= 0; i-- {
			prior := priorCount * float64(bucketSpan) / float64(priorMean)
			hazard := (p.ended[i] + prior) / (p.reached[i] + priorCount)
			// One that ends within the span does so in its middle.
			p.remaining[i] = hazard*float64(bucketSpan)/2 + (1-hazard)*(float64(bucketSpan)+p.remaining[i+1])
		}
	}
	i := int(min(max(been, 0)/bucketSpan, buckets))
	if i == int(buckets) {
		return p.remaining[buckets]
	}
	// Part of the span has passed.
	part := float64(max(been, 0)%bucketSpan) / float64(bucketSpan)
	return p.remaining[i]*(1-part) + p.remaining[i+1]*part
}

// Mean returns how long a period lasts, in ms.
func (p *Periods) Mean() float64 { return p.Remaining(0) }

// Slowdown returns how many times slower an engine is in a period.
func (p *Periods) Slowdown() float64 {
	if p.slowdown == 0 {
		return priorSlowdown
	}
	return p.slowdown
}

// SlowFraction returns the part of the time that engines are slow. It goes by how often periods
// begin: runs leave slow engines, so that those are seen for less than they are slow.
func (p *Periods) SlowFraction() float64 { return p.Mean() / (p.Mean() + p.quietBetween()) }

// quietBetween returns how long an engine is quiet between two periods, in ms.
func (p *Periods) quietBetween() float64 { return (p.quietTime + priorQuietTime) / (p.begun + 1) }

// Delay returns how much longer, in ms, a run at an engine takes than at its lasting pace
// because of the period that the engine is in, or may have come into since it was last
// observed. most is what the run has to do there at most, in ms at the lasting pace.
func (p *Periods) Delay(s *EngineState, most float64, now cf.Millis) float64 {
	lost := 1 - 1/p.Slowdown()
	if s.Slow(now) {
		return min(p.Remaining(now-s.since)*lost, most*(s.ratio-1))
	}
	mean := p.Mean()
	unseen := 1.0
	if s.baseline > 0 {
		// The state is one of two, and forgets what it was within the mean of both.
		unseen = 1 - math.Exp(-float64(max(now-s.observedAt, 0))*(1/p.quietBetween()+1/mean))
	}
	return p.SlowFraction() * unseen * min(mean*lost, most*(p.Slowdown()-1))
}
