package cfrollout

import (
	cf "currantford"
)

const (
	// slowLoadFactor is how much longer than usual a load must take to count as slowed down by
	// others. The difference exceeds what the time between two planning passes may add.
	slowLoadFactor = 1.25
	// outlierLoadFactor is how much longer than usual a load takes that says nothing about
	// concurrent loads: its order was carried out late, or its engine is slow.
	outlierLoadFactor = 2.5
	// maxSlowLoads is how many slow loads in one round show that the limit is too high.
	maxSlowLoads = 2
	// usualWeight is the weight of a new load in the usual time. Only loads that run alone count,
	// because concurrent ones would gradually raise the usual time.
	usualWeight = 0.1
	// maxLoads is the upper bound of the learned limit: each concurrent load costs the coordinator
	// some calls per second.
	maxLoads = 128
	// quickGrowthShare is the part of the engines up to which the limit grows by quickGrowthFactor
	// at a time. A weight store is sized for its fleet, and with slow growth a large fleet would
	// need longer to find the limit than a version lasts.
	quickGrowthShare  = 1.0 / 32
	quickGrowthFactor = 4
	// maxUnprovenLoads is how many engines may load a version at once that none has loaded yet,
	// since such a version may crash each of them.
	maxUnprovenLoads = 16
	// maxLoadShare is the part of the engines that may load at once, so that the others continue to
	// serve. An engine serves nothing during a load, for about one second.
	maxLoadShare = 0.5
	// minRetryPause is the pause after a limit was found before a higher one is tried. It doubles
	// with each failure up to maxRetryPause, since each try slows down a round of loads.
	minRetryPause cf.Millis = 30000
	maxRetryPause cf.Millis = 600000
)

// loadLimiter learns how many engines may load weights at once. The weight store serves some loads
// at full speed and slows all of them down if there are more. The number is not known and depends
// on the size of the store. With too few concurrent loads, a fleet has not loaded a version before
// the next one is announced.
//
// After a round of loads that took the usual time, the limit grows by half, or moves half of the
// way to a limit that was found too high. After a slow round it returns to the highest proven
// limit.
type loadLimiter struct {
	limit    int
	minLimit int
	maxLimit int
	proven   int // the highest limit that was as fast as usual
	// quickBelow is the limit up to which growth is quick.
	quickBelow int
	// usualTime is the duration of a load that nothing slows down, in ms.
	usualTime            float64
	goodLoads, slowLoads int // loads of this round
	// tooMany is the limit that was found too high, tried again at retryAt.
	tooMany    int
	retryAt    cf.Millis
	retryPause cf.Millis
}

func newLoadLimiter(minLimit, learned int) loadLimiter {
	initial := max(minLimit, min(learned, maxLoads))
	return loadLimiter{limit: initial, minLimit: minLimit, maxLimit: maxLoads, proven: initial, retryPause: minRetryPause}
}

// setEngineCount sets the number of engines.
func (l *loadLimiter) setEngineCount(engines int) {
	l.maxLimit = max(min(int(float64(engines)*maxLoadShare), maxLoads), l.minLimit)
	l.quickBelow = int(float64(engines) * quickGrowthShare)
}

// allowed returns how many engines may load at once.
func (l *loadLimiter) allowed() int { return min(l.limit, l.maxLimit) }

// LearnedLoads returns how many engines may load weights at once, as far as observed.
func (p *Planner) LearnedLoads() int { return p.loadLimit.proven }

// observe records the duration of a load while the given number of loads ran, this one included.
// While items wait for loads, more loads run than the limit allows.
func (l *loadLimiter) observe(concurrent int, took, now cf.Millis) {
	ms := float64(took)
	switch {
	case l.usualTime == 0 || ms < l.usualTime:
		l.usualTime = ms
	case concurrent == 1 && ms < l.usualTime*outlierLoadFactor:
		l.usualTime += usualWeight * (ms - l.usualTime)
	}
	if ms > l.usualTime*outlierLoadFactor || concurrent < l.allowed() {
		return
	}
	if ms > l.usualTime*slowLoadFactor {
		l.slowLoads++
		if l.slowLoads >= maxSlowLoads {
			l.endSlowRound(concurrent, now)
		}
		return
	}
	l.goodLoads++
	if l.goodLoads >= concurrent {
		l.endGoodRound(concurrent, now)
	}
}

// endSlowRound ends a round of slow loads.
func (l *loadLimiter) endSlowRound(concurrent int, now cf.Millis) {
	l.goodLoads, l.slowLoads = 0, 0
	if concurrent > l.limit && l.tooMany == concurrent && now < l.retryAt {
		return // already known
	}
	l.tooMany = concurrent
	l.proven = max(min(l.proven, concurrent-1), l.minLimit)
	l.limit = min(l.limit, l.proven)
	l.retryAt = now + l.retryPause
	l.retryPause = min(2*l.retryPause, maxRetryPause)
}

// endGoodRound ends a round of loads that took the usual time.
func (l *loadLimiter) endGoodRound(concurrent int, now cf.Millis) {
	l.goodLoads, l.slowLoads = 0, 0
	if l.tooMany == concurrent {
		l.tooMany, l.retryPause = 0, minRetryPause // the limit is not too high any more
	}
	l.proven = max(l.proven, concurrent)
	next := l.proven + max(l.proven/2, 1)
	if l.proven < l.quickBelow {
		next = min(quickGrowthFactor*l.proven, max(quickGrowthFactor*l.quickBelow, next))
	}
	if l.tooMany > 0 {
		next = l.proven + max((l.tooMany-l.proven)/2, 1)
	}
	if l.tooMany > 0 && next >= l.tooMany && now < l.retryAt {
		next = l.proven
	}
	l.limit = max(l.limit, min(next, maxLoads))
}
