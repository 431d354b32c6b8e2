package cfrollout

import (
	cf "currantford"
)

const (
	// slowLoad is how much longer than usual a load takes that others slow
	// down, beyond what the time between two looks at it may add.
	slowLoad = 1.25
	// oddLoad is how much longer a load takes that tells nothing of those
	// beside it: its order was carried out late, or its engine is slow.
	oddLoad = 2.5
	// slowMost is how many slow loads in one round end a try.
	slowMost = 2
	// usualWeight lets the usual time follow engines that change, by loads
	// that run alone: those beside others would bring it up little by little.
	usualWeight = 0.1
	// loadsMost bounds the loads at once that are learned: each costs the coordinator
	// some calls a second.
	loadsMost = 128
	// loadsQuick is the part of the engines below which a bound grows by loadsFactor at a
	// time: a weight store is made for its fleet, and a large fleet would else learn for
	// longer than a version lasts.
	loadsQuick  = 1.0 / 32
	loadsFactor = 4
	// unprovedMost is how many engines load a version that none has held yet: it may end
	// each of them.
	unprovedMost = 16
	// loadsPart is the part of the engines that may load at once: the others go on
	// taking work, which loads hold up for their second each.
	loadsPart = 0.5
	// firstRest is the pause after a bound was found before the next try
	// above it; it doubles up to mostRest, as each try slows a round down.
	firstRest cf.Millis = 30000
	mostRest  cf.Millis = 600000
)

// loadPace learns how many engines may load weights at once. The weight store
// serves some loads at full speed and slows all of them down beyond; how many is
// not told, and differs with its size. With too few a fleet is never through with a
// version before the next.
//
// After a round of loads that took as long as usual it allows half as many more,
// or goes half of the way to a bound that was found; after a slow round it goes back
// to what was proved.
type loadPace struct {
	limit  int
	least  int
	most   int
	proved int // the most that were as fast as usual
	// quick is up to where the bound grows quickly.
	quick int
	// usual is the time of a load that nothing slows down, in ms.
	usual      float64
	good, slow int // loads of this round
	// found was found too many, and is tried again at retry.
	found int
	retry cf.Millis
	rest  cf.Millis
}

func newLoadPace(least, learned int) loadPace {
	begin := max(least, min(learned, loadsMost))
	return loadPace{limit: begin, least: least, most: loadsMost, proved: begin, rest: firstRest}
}

// bound takes how many engines there are.
func (l *loadPace) bound(engines int) {
	l.most = max(min(int(float64(engines)*loadsPart), loadsMost), l.least)
	l.quick = int(float64(engines) * loadsQuick)
}

// allowed is how many may load at once.
func (l *loadPace) allowed() int { return min(l.limit, l.most) }

// LearnedLoads returns how many engines may load weights at once, as far as it was
// seen.
func (p *Planner) LearnedLoads() int { return p.loads.proved }

// took takes the time of a load that ran beside others, itself counted. More
// than the limit run at once while work waits for them.
func (l *loadPace) took(beside int, took, now cf.Millis) {
	ms := float64(took)
	switch {
	case l.usual == 0 || ms < l.usual:
		l.usual = ms
	case beside == 1 && ms < l.usual*oddLoad:
		l.usual += usualWeight * (ms - l.usual)
	}
	if ms > l.usual*oddLoad || beside < l.allowed() {
		return
	}
	if ms > l.usual*slowLoad {
		l.slow++
		if l.slow >= slowMost {
			l.back(beside, now)
		}
		return
	}
	l.good++
	if l.good >= beside {
		l.onward(beside, now)
	}
}

// back ends a round that was slow.
func (l *loadPace) back(beside int, now cf.Millis) {
	l.good, l.slow = 0, 0
	if beside > l.limit && l.found == beside && now < l.retry {
		return // known
	}
	l.found = beside
	l.proved = max(min(l.proved, beside-1), l.least)
	l.limit = min(l.limit, l.proved)
	l.retry = now + l.rest
	l.rest = min(2*l.rest, mostRest)
}

// onward ends a round that was as fast as usual.
func (l *loadPace) onward(beside int, now cf.Millis) {
	l.good, l.slow = 0, 0
	if l.found == beside {
		l.found, l.rest = 0, firstRest // it is none any more
	}
	l.proved = max(l.proved, beside)
	next := l.proved + max(l.proved/2, 1)
	if l.proved < l.quick {
		next = min(loadsFactor*l.proved, max(loadsFactor*l.quick, next))
	}
	if l.found > 0 {
		next = l.proved + max((l.found-l.proved)/2, 1)
	}
	if l.found > 0 && next >= l.found && now < l.retry {
		next = l.proved
	}
	l.limit = max(l.limit, min(next, loadsMost))
}
