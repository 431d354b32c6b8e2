// Package cfslow estimates how long slow periods of engines last, and how much time a run saves by
// moving away from an engine that has become slow. An engine is a target that serves a model, and a
// run generates the text of one item at an engine, event by event. The package makes no network
// calls and takes the time as an argument.
//
// Engines share their machines with other workloads: each is 2.5 times as slow for some 600 ms at a
// time, 15% of the time. The longest text of a trainer's step takes 7.1 s on an engine without slow
// periods, but encounters two or three of them, which delays its whole group by half a second. A
// smoothed pace shows a slow period only when half of it is over, and does not distinguish it from
// a permanent slowdown.
//
// Usage:
//
//	s.Observe(periods, pace, typical, now) // for each engine's EngineState
//	if periods.Reliable(now) && s.Slow(now) {
//		saved := periods.TimeSaved(cfslow.Run{...}, s, cfslow.Destination{...}, cost, now)
//	}
package cfslow

import (
	"math"

	cf "currantford"
)

const (
	// bucketSpan is the width of the histogram buckets in which the lengths of periods are counted,
	// and buckets their number. An engine that stays slow for longer than all buckets is taken to
	// be permanently slow.
	bucketSpan cf.Millis = 100
	buckets    cf.Millis = 40
	// priorMean is the assumed mean length of periods until enough have been observed, with the
	// weight of priorCount periods in each bucket. It is long enough for runs to move at once, as
	// they do when decisions are based on smoothed paces.
	priorMean  cf.Millis = 2000
	priorCount float64   = 2
	// lastingRemaining is the expected remaining length of a period that has lasted for longer than
	// all buckets.
	lastingRemaining cf.Millis = 10000
	// countDecay is the factor applied to all counts at the end of each period: about 400 periods
	// have weight, with 44 engines those of the last 45 s.
	countDecay = 0.9975
	// minPeriods is the number of periods that must have ended within about recentSpan before
	// decisions rely on the estimates: one or two may be caused by delays in the observer.
	minPeriods           = 8
	recentSpan cf.Millis = 30000
	// minPeriodLength is the length from which on a period counts as recent: moving away from a
	// shorter one costs more than it saves, and late events look like one.
	minPeriodLength cf.Millis = 150
	// priorSlowdown is the assumed slowdown in a period until one has been observed; slowdownWeight
	// is the weight of the newest sample.
	priorSlowdown  = 2.0
	slowdownWeight = 0.02
	// priorQuietTime is the time without slowness in ms that is assumed as observed at the start.
	priorQuietTime = 5000
)

// Periods estimates the length and frequency of slow periods. The zero value has no observations.
type Periods struct {
	reached, ended        [buckets]float64 // periods that lasted until a bucket, and that ended in it
	recent                float64          // decayed count of ended periods, as of recentAt
	recentAt              cf.Millis
	reliable              bool // result of Reliable at reliableAt
	reliableAt            cf.Millis
	quietTime, begun      float64 // ms during which engines were observed not to be slow, and periods that began
	slowdown              float64
	remaining             [buckets + 1]float64 // results of Remaining, by bucket
	endCount, remainingAt int                  // periods that ended, and their number when remaining was calculated
}

// Reliable reports whether enough periods have been observed for decisions to rely on the
// estimates.
func (p *Periods) Reliable(now cf.Millis) bool {
	// The result is cached because it is needed for each engine considered in a choice.
	if p.recent < minPeriods {
		return false
	}
	if now != p.reliableAt {
		p.reliableAt, p.reliable = now, p.RecentCount(now) >= minPeriods && p.Mean() >= float64(minPeriodLength)
	}
	return p.reliable
}

// RecentCount returns approximately how many periods ended within the last half minute.
func (p *Periods) RecentCount(now cf.Millis) float64 {
	return p.recent * math.Exp(-float64(now-p.recentAt)/float64(recentSpan))
}

// recordEnd records a period of a given length. complete is false if the observation stopped before
// the period's end.
func (p *Periods) recordEnd(span cf.Millis, complete bool, now cf.Millis) {
	last := int(span / bucketSpan)
	p.quietTime *= countDecay
	p.begun *= countDecay
	for i := range p.reached {
		p.reached[i] *= countDecay
		p.ended[i] *= countDecay
		if i < last || complete && i == last {
			p.reached[i]++
		}
	}
	p.endCount++
	if complete && last < int(buckets) {
		p.ended[last]++
	}
	if complete && last < int(buckets) && span >= minPeriodLength {
		p.recent = p.RecentCount(now) + 1
		p.recentAt = now
	}
}

// Remaining returns the expected remaining length, in ms, of a period that has lasted for the given
// time.
func (p *Periods) Remaining(elapsed cf.Millis) float64 {
	if p.remainingAt != p.endCount || p.remaining[buckets] == 0 {
		p.remainingAt = p.endCount
		p.remaining[buckets] = float64(lastingRemaining)
		for i := int(buckets) - 1; i >= 0; i-- {
			prior := priorCount * float64(bucketSpan) / float64(priorMean)
			hazard := (p.ended[i] + prior) / (p.reached[i] + priorCount)
			// A period that ends within a bucket does so in its middle on average.
			p.remaining[i] = hazard*float64(bucketSpan)/2 + (1-hazard)*(float64(bucketSpan)+p.remaining[i+1])
		}
	}
	i := int(min(max(elapsed, 0)/bucketSpan, buckets))
	if i == int(buckets) {
		return p.remaining[buckets]
	}
	// Interpolate between the buckets.
	fraction := float64(max(elapsed, 0)%bucketSpan) / float64(bucketSpan)
	return p.remaining[i]*(1-fraction) + p.remaining[i+1]*fraction
}

// Mean returns the mean length of a period in ms.
func (p *Periods) Mean() float64 { return p.Remaining(0) }

// Slowdown returns the ratio of the pace in a period to the baseline pace.
func (p *Periods) Slowdown() float64 {
	if p.slowdown == 0 {
		return priorSlowdown
	}
	return p.slowdown
}

// SlowFraction returns the fraction of time that engines are slow. It is derived from how often
// periods begin: runs move away from slow engines, so that observed slow time is too short.
func (p *Periods) SlowFraction() float64 { return p.Mean() / (p.Mean() + p.quietBetween()) }

// quietBetween returns the mean time in ms between two periods of an engine.
func (p *Periods) quietBetween() float64 { return (p.quietTime + priorQuietTime) / (p.begun + 1) }

// Delay returns how much longer, in ms, a run takes at an engine than at its baseline pace, due to
// a period in progress or to one that may have begun since the last observation. maxWork bounds the
// run's work there, in ms at the baseline pace.
func (p *Periods) Delay(s *EngineState, maxWork float64, now cf.Millis) float64 {
	lostFraction := 1 - 1/p.Slowdown()
	if s.Slow(now) {
		return min(p.Remaining(now-s.since)*lostFraction, maxWork*(s.ratio-1))
	}
	mean := p.Mean()
	unobserved := 1.0
	if s.baseline > 0 {
		// The engine alternates between two states; the last observation loses its weight with the
		// sum of the two transition rates.
		unobserved = 1 - math.Exp(-float64(max(now-s.observedAt, 0))*(1/p.quietBetween()+1/mean))
	}
	return p.SlowFraction() * unobserved * min(mean*lostFraction, maxWork*(p.Slowdown()-1))
}
