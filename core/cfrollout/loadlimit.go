package cfrollout

import (
	cf "currantford"
)

const (
	// slowLoadFactor is how much longer than usual a load takes that others slow
	// down, beyond what the time between two looks at it may add.
	slowLoadFactor = 1.25
	// outlierLoadFactor is how much longer a load takes that tells nothing of those
	// beside it: its order was carried out late, or its engine is slow.
	outlierLoadFactor = 2.5
	// maxSlowLoads is how many slow loads in one round end a try.
	maxSlowLoads = 2
	// usualWeight lets the usual time follow engines that change, by loads
	// that run alone: those beside others would bring it up little by little.
	usualWeight = 0.1
	// maxLoads bounds the loads at once that are learned: each costs the coordinator
	// some calls a second.
	maxLoads = 128
	// quickGrowthShare is the part of the engines below which a bound grows by loadsFactor at a
	// time: a weight store is made for its fleet, and a large fleet would else learn for
	// longer than a version lasts.
	quickGrowthShare  = 1.0 / 32
	quickGrowthFactor = 4
	// maxUnprovenLoads is how many engines load a version that none has held yet: it may end
	// each of them.
	maxUnprovenLoads = 16
	// maxLoadShare is the part of the engines that may load at once: the others go on
	// taking work, which loads hold up for their second each.
	maxLoadShare = 0.5
	// minRetryPause is the pause after a bound was found before the next try
	// above it; it doubles up to mostRest, as each try slows a round down.
	minRetryPause cf.Millis = 30000
	maxRetryPause cf.Millis = 600000
)

// loadLimiter learns how many engines may load weights at once. The weight store
// serves some loads at full speed and slows all of them down beyond; how many is
// not told, and differs with its size. With too few a fleet is never through with a
// version before the next.
//
// After a round of loads that took as long as usual it allows half as many more,
// or goes half of the way to a bound that was found; after a slow round it goes back
// to what was proved.
type loadLimiter struct {
	limit    int
	minLimit int
	maxLimit int
	proven   int // the most that were as fast as usual
	// quickBelow is up to where the bound grows quickly.
	quickBelow int
	// usualTime is the time of a load that nothing slows down, in ms.
	usualTime            float64
	goodLoads, slowLoads int // loads of this round
	// tooMany was found too many, and is tried again at retry.
	tooMany    int
	retryAt    cf.Millis
	retryPause cf.Millis
}

func newLoadLimiter(minLimit, learned int) loadLimiter {
	initial := max(minLimit, min(learned, maxLoads))
	return loadLimiter{limit: initial, minLimit: minLimit, maxLimit: maxLoads, proven: initial, retryPause: minRetryPause}
}

// setEngineCount takes how many engines there are.
func (l *loadLimiter) setEngineCount(engines int) {
	l.maxLimit = max(min(int(float64(engines)*maxLoadShare), maxLoads), l.minLimit)
	l.quickBelow = int(float64(engines) * quickGrowthShare)
}

// allowed is how many may load at once.
func (l *loadLimiter) allowed() int { return min(l.limit, l.maxLimit) }

// LearnedLoads returns how many engines may load weights at once, as far as it was
// seen.
func (p *Planner) LearnedLoads() int { return p.loadLimit.proven }

// observe takes the time of a load that ran beside others, itself counted. More
// than the limit run at once while work waits for them.
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

// endSlowRound ends a round that was slow.
func (l *loadLimiter) endSlowRound(concurrent int, now cf.Millis) {
	l.goodLoads, l.slowLoads = 0, 0
	if concurrent > l.limit && l.tooMany == concurrent && now < l.retryAt {
		return // known
	}
	l.tooMany = concurrent
	l.proven = max(min(l.proven, concurrent-1), l.minLimit)
	l.limit = min(l.limit, l.proven)
	l.retryAt = now + l.retryPause
	l.retryPause = min(2*l.retryPause, maxRetryPause)
}

// endGoodRound ends a round that was as fast as usual.
func (l *loadLimiter) endGoodRound(concurrent int, now cf.Millis) {
	l.goodLoads, l.slowLoads = 0, 0
	if l.tooMany == concurrent {
		l.tooMany, l.retryPause = 0, minRetryPause // it is none any more
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
