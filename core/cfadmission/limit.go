package cfadmission

import (
	"math"

	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// Outcome is what a send came to.
	Outcome int

	// End is the end of one send.
	End struct {
		Outcome Outcome
		// Load is the target's load header, nil where there was none.
		Load *cf.TargetLoad
		Took cf.Millis
	}

	// limit is the concurrency limit of one target at this instance. With many instances
	// before few targets it is below one request in flight, so it is kept as a rate of
	// starts: by Little's law the two differ by the time of an answer.
	limit struct {
		slots int
		sent  int // requests of this instance in flight
		// work is the smoothed time of an answer that did not queue, spread its mean
		// deviation, both in ms; quiet says that they come from such answers alone.
		work, spread float64
		quiet        bool
		// waiting is how many requests wait at the target by its last word, at heard.
		waiting float64
		heard   cf.Millis
		// idle says that a slot was free there, by the same word.
		idle bool
		// until is when the limit ceases to act; held forbids sends for a moment.
		until, held cf.Millis
		// failures counts losses since the last answer; lost is until when it gets nothing.
		failures int
		lost     cf.Millis
		// boost is what this instance takes of an equal share, rate the starts per ms that
		// follow, bound the most in flight at once.
		boost, rate float64
		bound       int
		// level is the token bucket of starts, as of filled.
		level  float64
		filled cf.Millis
		// own is the recent rate of starts of this instance, as of ownAt.
		own   float64
		ownAt cf.Millis
	}
)

// Outcomes of a send.
const (
	// Answered: the target answered, also with a failure of its own.
	Answered Outcome = iota
	// Refused: the target did not run the request.
	Refused
	// Lost: no answer came, or no connection could be had.
	Lost
	// Abandoned: the send was given up here.
	Abandoned
)

const (
	// limitSpan is how long a limit acts after a target has last said that requests wait,
	// or has refused: an instance of fifty hears of each target a few times a second.
	limitSpan cf.Millis = 3000
	// heardSpan is how long a target's word that nothing waits there counts while others
	// of its service are full.
	heardSpan cf.Millis = 500
	// refusedSpan keeps requests off a target that has just refused one; a place frees
	// within a few milliseconds.
	refusedSpan cf.Millis = 50
	// lostSpan and lostMost do the same after a loss, doubled with each.
	lostSpan cf.Millis = 300
	lostMost cf.Millis = 2400
	// smooth is the weight of the newest time in the smoothed one.
	smooth = 0.1
	// ownSpan is the time constant of the rate of own starts.
	ownSpan = 1000.0
	// gain is how far a rate leaves its base for a queue that is wrong by its whole aim.
	// Words of the load are 100 to 200 ms old with 50 instances: at twice this gain the
	// queue swings between empty and full.
	gain, gainAbove = 0.15, 0.25
	// rise and fall move the base with each answer. It falls fast towards an equal share and
	// slowly below, since a queue that is too long shows everyone's excess.
	rise, fall, fallBelow = 0.05, 0.1, 0.05
	leastBoost, mostBoost = 0.25, 32.0
	// mostLevel is how much unused rate is kept, in requests.
	mostLevel = 2.0
	// inflightSlack is by how much the requests in flight may exceed their mean.
	inflightSlack = 1.5
)

// limited says whether the limit acts.
func (l *limit) limited(now cf.Millis) bool { return now < l.until }

// gone says whether the target gets nothing since it was lost. Afterwards one request at
// a time tries it, until it has answered.
func (l *limit) gone(now cf.Millis) bool { return now < l.lost || l.failures > 0 && l.sent > 0 }

// aim is how many requests should wait at the target: a third of what the objective leaves
// beside the work, since what the instances see of the queue is wrong by as much, and work
// varies by another third.
func (l *limit) aim(objective cf.Millis) float64 {
	left := float64(objective) - float64(networkTime) - l.work - l.spread
	return max(float64(l.slots)*left/3/max(l.work, 1), 1)
}

// answerTime is when an answer is expected that a caller gets in time: the queue by the last
// word, the work, and its spread.
func (l *limit) answerTime() float64 {
	return l.work*(1+l.waiting/float64(l.slots)) + 2*l.spread
}

// off is by which part of its aim the queue is too short (above zero) or too long.
func (l *limit) off(objective cf.Millis) float64 {
	aim := l.aim(objective)
	return max((aim-l.waiting)/aim, -2)
}

// pace sets the rate and what follows from it. share is the part of an instance of the
// target's throughput where all take the same.
func (l *limit) pace(objective cf.Millis, instances int) {
	off, by := l.off(objective), gain
	if off < 0 {
		by = gainAbove
	}
	l.rate = l.share(instances) * l.boost * (1 + by*off)
	inFlight := l.rate * l.work * (1 + l.aim(objective)/float64(l.slots))
	l.bound = max(2, int(math.Ceil(inFlight*inflightSlack)))
}

func (l *limit) share(instances int) float64 {
	return float64(l.slots) / max(l.work, 1) / float64(max(instances, 1))
}

// fill adds what the rate has brought.
func (l *limit) fill(now cf.Millis) {
	if now > l.filled {
		l.level = min(l.level+l.rate*float64(now-l.filled), mostLevel)
		l.filled = now
	}
}

// activate begins to limit: from what this instance sends now, so that one which many callers
// use is not cut to an equal share while the target has room.
func (l *limit) activate(objective cf.Millis, instances int, now cf.Millis) {
	if l.work == 0 {
		l.work = float64(objective) / unknownWork
	}
	own := l.own * math.Exp(-float64(now-l.ownAt)/ownSpan)
	l.boost = min(max(own/l.share(instances), 1), mostBoost)
	l.level, l.filled = min(l.off(objective), 1), now
	l.until = now + limitSpan
}

// started counts a send.
func (l *limit) started(now cf.Millis) {
	l.sent++
	l.own = l.own*math.Exp(-float64(now-l.ownAt)/ownSpan) + 1/ownSpan
	l.ownAt = now
}

// ended takes the end of a send. pressed says that requests were kept back here lately.
func (l *limit) ended(e End, objective cf.Millis, instances int, pressed bool, now cf.Millis) {
	l.sent--
	l.fill(now)
	acted := l.limited(now)
	switch e.Outcome {
	case Refused:
		if e.Load != nil {
			l.waiting = float64(e.Load.Waiting)
		} else if l.work > 0 {
			l.waiting = max(l.waiting, 2*l.aim(objective))
		}
		l.heard, l.idle, l.held = now, false, now+refusedSpan
	case Lost:
		l.lost = now + lostSpan.Doubled(l.failures, lostMost)
		l.failures++
		l.level = min(l.level, 0)
		return
	case Abandoned:
		return
	case Answered:
		l.failures, l.lost = 0, 0
		l.learn(e, now)
	}
	if l.waiting >= 1 || e.Outcome == Refused {
		if !acted {
			l.activate(objective, instances, now)
			acted = true
		}
		l.until = now + limitSpan
	}
	if acted {
		l.follow(objective, pressed)
		l.pace(objective, instances)
	}
}

// learn takes an answer's time and load.
func (l *limit) learn(e End, now cf.Millis) {
	took := float64(max(e.Took, 1))
	if e.Load != nil {
		l.waiting, l.heard = float64(max(e.Load.Waiting, 0)), now
		l.idle = e.Load.Waiting <= 0 && e.Load.Running < l.slots
		if e.Load.Slots > 0 {
			l.slots = e.Load.Slots
		}
	} else if l.limited(now) && l.quiet {
		// Without a header the queue is read from what answers take beyond their work.
		seen := max(took/l.work-1, 0) * float64(l.slots)
		l.waiting += 2 * smooth * (seen - l.waiting)
		l.heard = now
	}
	idle := e.Load == nil && !l.limited(now) || e.Load != nil && e.Load.Waiting <= 0
	switch {
	case idle && !l.quiet:
		l.work, l.spread, l.quiet = took, took/2, true
	case idle:
		l.spread += smooth * (math.Abs(took-l.work) - l.spread)
		l.work += smooth * (took - l.work)
	case !l.quiet:
		// Queueing is taken out as far as the header shows it.
		took /= 1 + l.waiting/float64(l.slots)
		if l.work == 0 {
			l.work = took
		}
		l.work += smooth * (took - l.work)
		l.spread = l.work / 2
	}
}

// follow moves the base by the queue that the target has shown.
func (l *limit) follow(objective cf.Millis, pressed bool) {
	off := l.off(objective)
	switch {
	case off < 0 && l.boost > 1:
		l.boost = max(l.boost*(1+fall*off), 1)
	case off < 0:
		l.boost = max(l.boost*(1+fallBelow*off), leastBoost)
	case pressed:
		l.boost = min(l.boost+rise*off, mostBoost)
	}
}

// OutcomeOf returns the outcome of a send as cfbalance has judged it.
func OutcomeOf(o cfbalance.Outcome, err error) Outcome {
	switch {
	case o == cfbalance.Abandoned:
		return Abandoned
	case o == cfbalance.Full:
		return Refused
	case err != nil:
		return Lost
	}
	return Answered
}
