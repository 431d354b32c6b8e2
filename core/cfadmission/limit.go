package cfadmission

import (
	"math"

	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// Outcome is what a send came to.
	Outcome int

	// Result is the end of one send.
	Result struct {
		Outcome Outcome
		// Load is the target's load header, nil where there was none.
		Load *cf.TargetLoad
		Took cf.Millis
		// Status is the HTTP status of the answer, zero where there was none.
		Status int
	}

	// times are what a service's answers take without queueing: smoothed, with the mean
	// deviation, both in ms, by so many answers. They are those of all its targets, since an
	// instance has a few answers a minute of each; a target that is slower shows it by its
	// queue.
	times struct {
		work, spread float64
		answers      int
	}

	// limit is the concurrency limit of one target at this instance. With many instances
	// before few targets it is below one request in flight, so it is kept as a rate of
	// starts: by Little's law the two differ by the time of an answer.
	limit struct {
		id    cf.InstanceID
		slots int
		sent  int // requests of this instance in flight
		// list is the service's list in which the target was last, born its start by then.
		list int
		born cf.Millis
		*times
		// room is how many requests waited when the target refused one, zero if it has not.
		room float64
		// slow is how many times as long this target's answers took lately as its service's.
		slow float64
		// waiting is how many requests wait at the target by its last load report, at reportedAt.
		waiting    float64
		reportedAt cf.Millis
		// idle says that a slot was free there, by the same report.
		idle bool
		// until is when the limit ceases to act; held forbids sends for a moment.
		until, held cf.Millis
		// failures counts losses since the last answer; lost is until when it gets nothing.
		failures int
		lost     cf.Millis
		// shareFactor is what this instance takes of an equal share, rate the starts per ms that
		// follow, bound the most in flight at once.
		shareFactor, rate float64
		bound             int
		// answer is the time of an answer with the aimed queue at most, excess what the rest
		// of the queue adds, both in ms.
		answer, excess float64
		moved          cf.Millis // when shareFactor was last moved
		// ample is when the queue was last at half of its aim or more.
		ample cf.Millis
		// tokens is the level of the token bucket of starts, as of filled.
		tokens float64
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
	// aimPart divides the time that the objective leaves for queues. At 1.6 0.3% more are
	// answered in all, and 4.3% of them late instead of 3.7%.
	aimPart = 2.0
	// limitSpan is how long a limit acts after a target has last said that requests wait,
	// or has refused: an instance of fifty hears of each target a few times a second.
	limitSpan cf.Millis = 3000
	// fullPart is the part of the aimed queue from which on a target counts as full: a few
	// requests wait now and then where there is room for all.
	fullPart = 0.33
	// reportFresh is how long a target's load report that nothing waits there counts while others
	// of its service are full.
	reportFresh cf.Millis = 500
	// shorterSpan is after what time a long queue is expected to be half as long.
	shorterSpan = 100.0
	// refusedSpan keeps requests off a target that has just refused one; a place frees
	// within a few milliseconds.
	refusedSpan cf.Millis = 50
	// lostSpan and lostMost do the same after a loss, doubled with each.
	lostSpan cf.Millis = 300
	lostMost cf.Millis = 2400
	// targetTime is the part of an answer's time that is the way to the target and back.
	targetTime cf.Millis = 2
	// smooth is the weight of the newest time in the smoothed one.
	smooth = 0.1
	// unknownWork is the part of the objective that work is taken for before any answer, with
	// the weight of priorAnswers.
	unknownWork  = 6
	priorAnswers = 3
	// smoothSlow is the same weight for how slow a target is: a slow period lasts some hundred
	// milliseconds. Up to slowFrom that is the spread of work; slowMost bounds what one long
	// answer may say.
	smoothSlow, slowFrom, slowMost = 0.4, 1.5, 3.0
	// ownSpan is the time constant of the rate of own starts.
	ownSpan = 1000.0
	// gain is how far a rate leaves its base for a queue that is wrong by its whole aim.
	// Load reports are 100 to 200 ms old with 50 instances, which bounds it: from 0.4 on
	// fewer are in time.
	gain = 0.3
	// rise, fall and fallBelow move the base, in parts of an equal share per second, or of
	// the base itself. It rises by the same for all and falls in proportion, so that equal
	// instances come to equal parts; towards an equal share it falls faster than below it,
	// since a queue that is too long shows everyone's excess. climb is added to the rise of
	// an instance in proportion to what it has, once the queue has been short for climbAfter:
	// then the others don't use theirs.
	rise, climb, fall, fallBelow = 0.3, 0.7, 0.3, 0.15
	// movedMost bounds the span that one answer stands for.
	movedMost                      cf.Millis = 250
	climbAfter                     cf.Millis = 400
	minShareFactor, maxShareFactor           = 0.25, 32.0
	// mostLevel is how much unused rate is kept, in requests.
	mostLevel = 2.0
	// HTTP statuses of targets that did not run a request.
	statusMisdirected, statusTooMany, statusFull = 421, 429, 503
	// statusFailed is the least HTTP status of a target's own failures.
	statusFailed = 500
	// inflightSlack is by how much the requests in flight may exceed their mean.
	inflightSlack = 1.5
)

// limited says whether the limit acts.
func (l *limit) limited(now cf.Millis) bool { return now < l.until }

// unavailable says whether the target gets nothing since it was lost. Afterwards one request at
// a time tries it, until it has answered.
func (l *limit) unavailable(now cf.Millis) bool { return now < l.lost || l.failures > 0 && l.sent > 0 }

// aim is how many requests should wait at the target. What the objective leaves beside the
// work, its spread and the network is divided by aimPart: the rest is for the wait here, and
// for load reports that are 200 ms old with 50 instances.
func (l *limit) aim(objective cf.Millis) float64 {
	work := max(l.work*l.slower(), 1)
	left := float64(objective) - float64(networkTime) - work - l.spread
	aim := float64(l.slots) * left / aimPart / work
	if l.room > 0 {
		aim = min(aim, l.room/2)
	}
	return max(aim, 1)
}

// slower is by how much the target counts as slower than its service.
func (l *limit) slower() float64 {
	if l.slow < slowFrom {
		return 1
	}
	return l.slow
}

// nearFull says that the target may refuse: by its last load report, and the time since, its queue is
// over half more than the aim.
func (l *limit) nearFull(objective, now cf.Millis) bool {
	aim := l.aim(objective)
	return now < l.held || (l.waiting-aim)/(1+float64(now-l.reportedAt)/shorterSpan) > aim/2
}

// answerTime is within what time an answer is expected: the queue, the work, and its spread.
// A queue that was too long when it was last heard of gets shorter, as all hold back.
func (l *limit) answerTime(now cf.Millis) float64 {
	if l.excess <= 0 {
		return l.answer
	}
	return l.answer + l.excess/(1+float64(now-l.reportedAt)/shorterSpan)
}

// off is by which part of its aim the queue is too short (above zero) or too long.
func (l *limit) off(objective cf.Millis) float64 {
	aim := l.aim(objective)
	return max((aim-l.waiting)/aim, -2)
}

// pace sets the rate and what follows from it. share is the part of an instance of the
// target's throughput where all take the same.
func (l *limit) pace(objective cf.Millis, instances int) {
	aim := l.aim(objective)
	work := l.work * l.slower()
	l.answer = work*(1+min(l.waiting, aim)/float64(l.slots)) + l.spread
	l.excess = work * (l.waiting - aim) / float64(l.slots)
	l.rate = l.share(instances) * l.shareFactor * (1 + gain*l.off(objective))
	inFlight := l.rate * l.work * (1 + aim/float64(l.slots))
	l.bound = max(2, int(math.Ceil(inFlight*inflightSlack)))
}

func (l *limit) share(instances int) float64 {
	return float64(l.slots) / max(l.work*l.slower(), 1) / float64(max(instances, 1))
}

// fill adds what the rate has brought.
func (l *limit) fill(now cf.Millis) {
	if now > l.filled {
		l.tokens = min(l.tokens+l.rate*float64(now-l.filled), mostLevel)
		l.filled = now
	}
}

// begin takes a target that is listed, after it was not or with another start: what was known
// of it is of before.
func (l *limit) begin(born cf.Millis) {
	*l = limit{id: l.id, slots: l.slots, sent: l.sent, born: born, times: l.times, shareFactor: 1, slow: 1, own: l.own, ownAt: l.ownAt}
}

// activate begins to limit: from an equal share, or from what this instance sends now, the
// more so the shorter the queue is. So one that many callers use is not cut while the target
// has room, and a flood doesn't set its own limit.
func (l *limit) activate(objective cf.Millis, instances int, now cf.Millis) {
	own := l.own * math.Exp(-float64(now-l.ownAt)/ownSpan)
	off := l.off(objective)
	l.shareFactor = 1 + min(max(own/l.share(instances)-1, 0), maxShareFactor)*min(max(off, 0), 1)
	l.tokens, l.filled = min(off, 1), now
	l.until, l.ample = now+limitSpan, now
}

// started counts a send.
func (l *limit) started(now cf.Millis) {
	l.sent++
	l.own = l.own*math.Exp(-float64(now-l.ownAt)/ownSpan) + 1/ownSpan
	l.ownAt = now
}

// ended takes the end of a send. heldBack says that requests were kept back here lately.
func (l *limit) ended(e Result, objective cf.Millis, instances int, heldBack bool, now cf.Millis) {
	l.sent--
	l.fill(now)
	acted := l.limited(now)
	if !acted {
		l.room = 0 // a refusal of before may have had another cause
	}
	switch e.Outcome {
	case Refused:
		l.waiting = max(l.waiting, 2*l.aim(objective))
		if e.Load != nil && e.Load.Waiting > 0 {
			l.waiting = float64(e.Load.Waiting)
			l.room = l.waiting
		}
		l.reportedAt, l.idle, l.held = now, false, now+refusedSpan
	case Lost:
		l.lost = now + lostSpan.Doubled(l.failures, lostMost)
		l.failures++
		l.tokens = min(l.tokens, 0)
		return
	case Abandoned:
		return
	case Answered:
		l.failures, l.lost = 0, 0
		l.learn(e, now)
	}
	if l.waiting >= max(l.aim(objective)*fullPart, 1) || e.Outcome == Refused {
		if !acted {
			l.activate(objective, instances, now)
			acted = true
		}
		l.until = now + limitSpan
	}
	if acted {
		l.follow(objective, heldBack, now)
		l.pace(objective, instances)
	}
}

// learn takes an answer's load, and its time unless it is a failure: one that fails at once
// says nothing of how long work takes.
func (l *limit) learn(e Result, now cf.Millis) {
	took, before := float64(max(e.Took-targetTime, 1)), l.waiting
	if e.Load != nil {
		l.waiting, l.reportedAt = float64(max(e.Load.Waiting, 0)), now
		l.idle = e.Load.Waiting <= 0 && e.Load.Running < l.slots
		if e.Load.Slots > 0 {
			l.slots = e.Load.Slots
		}
	} else if l.limited(now) && e.Status < statusFailed {
		// Without a header the queue is read from what answers take beyond their work.
		seen := max(took/l.work-1, 0) * float64(l.slots)
		l.waiting += 2 * smooth * (seen - l.waiting)
		l.reportedAt = now
	}
	if e.Status >= statusFailed {
		return
	}
	by := max(smooth, 1/float64(l.answers+priorAnswers))
	switch {
	case e.Load != nil && e.Load.Waiting > 0:
		// Queueing is taken out as far as the headers show it, which is after it: while a
		// queue grows that is too much.
		took /= 1 + min(l.waiting, before)/float64(l.slots)
		by = min(by, smooth/2)
	case e.Load == nil && l.limited(now):
		return
	}
	l.slow += smoothSlow * (min(took/max(l.work, 1), slowMost) - l.slow)
	if l.slower() > 1 {
		by = min(by, smooth/5) // it may last, or be the service's
	}
	l.answers++
	l.spread += by * (math.Abs(took-l.work) - l.spread)
	l.work += by * (took - l.work)
}

// follow moves the base by the queue that the target has shown.
func (l *limit) follow(objective cf.Millis, heldBack bool, now cf.Millis) {
	off, span := l.off(objective), float64(min(now-l.moved, movedMost))/1000
	l.moved = now
	switch {
	case off < 0 && l.shareFactor > 1:
		l.shareFactor = max(l.shareFactor*(1+fall*off*span), 1)
	case off < 0:
		l.shareFactor = max(l.shareFactor*(1+fallBelow*off*span), minShareFactor)
	case heldBack:
		up := rise
		if now-l.ample >= climbAfter {
			up += climb * l.shareFactor
		}
		l.shareFactor = min(l.shareFactor+up*off*span, maxShareFactor)
	}
	if off < 0.5 {
		l.ample = now
	}
}

// OutcomeOf returns the outcome of a send that cfbalance has judged. Only 503 and 429 say that
// a target is full; one that answers 421 is not the one that was meant, so that is lost.
func OutcomeOf(o cfbalance.Outcome, status int, err error) Outcome {
	switch {
	case o == cfbalance.Abandoned:
		return Abandoned
	case err != nil, status == statusMisdirected:
		return Lost
	case o == cfbalance.NotRun && (status == statusFull || status == statusTooMany):
		return Refused
	case o == cfbalance.NotRun:
		return Abandoned
	}
	return Answered
}
