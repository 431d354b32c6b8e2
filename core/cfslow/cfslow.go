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
	// age is the span in which the ends of periods are counted together, ages how
	// many of them there are. What is slow for longer than all is slow for good.
	age  cf.Millis = 100
	ages cf.Millis = 40
	// priorMean and priorCount are what is taken for the length of periods, and for
	// how many of each age, until some have been observed: so long that a run leaves
	// at once, as it does by smoothed paces.
	priorMean  cf.Millis = 2000
	priorCount float64   = 2
	// lastingLeft is how much longer an engine is taken to be slow that has been for
	// longer than all ages.
	lastingLeft cf.Millis = 10000
	// keep is what is kept of the counts at each end of a period: some 400 periods
	// count, of 44 engines those of the last 45 s.
	keep = 0.9975
	// knownPeriods is how many periods must have ended within about knownSpan before
	// decisions go by them: one or two may be a delay in the observer.
	knownPeriods           = 8
	knownSpan    cf.Millis = 30000
	// longEnough is how long a period must last to count towards them: leaving a shorter one
	// costs more than it saves, and events that come late look like it.
	longEnough cf.Millis = 150
	// slowdownPrior is how much slower engines are taken to be in a period, until
	// some have shown it; slowdownWeight is the weight of the newest that has.
	slowdownPrior  = 2.0
	slowdownWeight = 0.02
	// quietPrior is for how long engines are taken to have been seen quiet before any was,
	// in ms.
	quietPrior = 5000
)

// Periods is what is known of how long engines stay slow. The zero value knows
// nothing.
type Periods struct {
	reached, ended [ages]float64 // how many periods reached an age, and ended at it
	recent         float64       // those that ended lately, as of recentAt
	recentAt       cf.Millis
	known          bool // what Known returned at knownAt
	knownAt        cf.Millis
	quiet, begun   float64 // ms for which engines were seen quiet, and periods that began
	slowdown       float64
	left           [ages + 1]float64 // what Left returns, by age
	ends, leftOf   int               // how many ended, and for how many left holds
}

// Reliable says whether enough periods were observed for decisions to go by them.
func (p *Periods) Reliable(now cf.Millis) bool {
	// It is asked for each engine of a choice.
	if p.recent < knownPeriods {
		return false
	}
	if now != p.knownAt {
		p.knownAt, p.known = now, p.RecentCount(now) >= knownPeriods && p.Mean() >= float64(longEnough)
	}
	return p.known
}

// RecentCount returns about how many periods ended within the last half minute.
func (p *Periods) RecentCount(now cf.Millis) float64 {
	return p.recent * math.Exp(-float64(now-p.recentAt)/float64(knownSpan))
}

// end takes a period that lasted for a span; unless whole, it was lost sight of then.
func (p *Periods) end(span cf.Millis, whole bool, now cf.Millis) {
	last := int(span / age)
	p.quiet *= keep
	p.begun *= keep
	for i := range p.reached {
		p.reached[i] *= keep
		p.ended[i] *= keep
		if i < last || whole && i == last {
			p.reached[i]++
		}
	}
	p.ends++
	if whole && last < int(ages) {
		p.ended[last]++
	}
	if whole && last < int(ages) && span >= longEnough {
		p.recent = p.RecentCount(now) + 1
		p.recentAt = now
	}
}

// Remaining returns how much longer an engine is expected to be slow that has been for a
// while, in ms.
func (p *Periods) Remaining(been cf.Millis) float64 {
	if p.leftOf != p.ends || p.left[ages] == 0 {
		p.leftOf = p.ends
		p.left[ages] = float64(lastingLeft)
		for i := int(ages) - 1; i >= 0; i-- {
			prior := priorCount * float64(age) / float64(priorMean)
			hazard := (p.ended[i] + prior) / (p.reached[i] + priorCount)
			// One that ends within the span does so in its middle.
			p.left[i] = hazard*float64(age)/2 + (1-hazard)*(float64(age)+p.left[i+1])
		}
	}
	i := int(min(max(been, 0)/age, ages))
	if i == int(ages) {
		return p.left[ages]
	}
	// Part of the span has passed.
	part := float64(max(been, 0)%age) / float64(age)
	return p.left[i]*(1-part) + p.left[i+1]*part
}

// Mean returns how long a period lasts, in ms.
func (p *Periods) Mean() float64 { return p.Remaining(0) }

// Slowdown returns how many times slower an engine is in a period.
func (p *Periods) Slowdown() float64 {
	if p.slowdown == 0 {
		return slowdownPrior
	}
	return p.slowdown
}

// SlowFraction returns the part of the time that engines are slow. It goes by how often periods
// begin: runs leave slow engines, so that those are seen for less than they are slow.
func (p *Periods) SlowFraction() float64 { return p.Mean() / (p.Mean() + p.between()) }

// between returns how long an engine is quiet between two periods, in ms.
func (p *Periods) between() float64 { return (p.quiet + quietPrior) / (p.begun + 1) }

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
	if s.usual > 0 {
		// The state is one of two, and forgets what it was within the mean of both.
		unseen = 1 - math.Exp(-float64(max(now-s.seen, 0))*(1/p.between()+1/mean))
	}
	return p.SlowFraction() * unseen * min(mean*lost, most*(p.Slowdown()-1))
}
