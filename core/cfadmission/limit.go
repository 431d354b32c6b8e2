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

	// serviceTimes are what a service's answers take without queueing: smoothed, with the mean
	// deviation, both in ms, by so many answers. They are those of all its targets, since an
	// instance has a few answers a minute of each; a target that is slower shows it by its
	// queue.
	serviceTimes struct {
		serviceTime, deviation float64
		samples                int
	}

	// limit is the concurrency limit of one target at this instance. With many instances
	// before few targets it is below one request in flight, so it is kept as a rate of
	// starts: by Little's law the two differ by the time of an answer.
	limit struct {
		id       cf.InstanceID
		slots    int
		inFlight int // requests of this instance in flight
		// listVersion is the service's list in which the target was last, born its start by then.
		listVersion int
		startTime   cf.Millis
		*serviceTimes
		// queueCapacity is how many requests waited when the target refused one, zero if it has not.
		queueCapacity float64
		// slowdown is how many times as long this target's answers took lately as its service's.
		slowdown float64
		// waiting is how many requests wait at the target by its last load report, at reportedAt.
		waiting    float64
		reportedAt cf.Millis
		// hasFreeSlot says that a slot was free there, by the same report.
		hasFreeSlot bool
		// activeUntil is when the limit ceases to act; held forbids sends for a moment.
		activeUntil, pausedUntil cf.Millis
		// losses counts losses since the last answer; lost is until when it gets nothing.
		losses    int
		lostUntil cf.Millis
		// shareFactor is what this instance takes of an equal share, rate the starts per ms that
		// follow, bound the most in flight at once.
		shareFactor, rate float64
		maxInFlight       int
		// baseAnswerTime is the time of an answer with the aimed queue at most, excess what the rest
		// of the queue adds, both in ms.
		baseAnswerTime, excessWait float64
		adjustedAt                 cf.Millis // when shareFactor was last moved
		// longQueueAt is when the queue was last at half of its aim or more.
		longQueueAt cf.Millis
		// tokens is the level of the token bucket of starts, as of filled.
		tokens   float64
		filledAt cf.Millis
		// sendRate is the recent rate of starts of this instance, as of ownAt.
		sendRate   float64
		sendRateAt cf.Millis
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
	// queueTimeDivisor divides the time that the objective leaves for queues. At 1.6 0.3% more are
	// answered in all, and 4.3% of them late instead of 3.7%.
	queueTimeDivisor = 2.0
	// limitDuration is how long a limit acts after a target has last said that requests wait,
	// or has refused: an instance of fifty hears of each target a few times a second.
	limitDuration cf.Millis = 3000
	// fullFraction is the part of the aimed queue from which on a target counts as full: a few
	// requests wait now and then where there is room for all.
	fullFraction = 0.33
	// reportMaxAge is how long a target's load report that nothing waits there counts while others
	// of its service are full.
	reportMaxAge cf.Millis = 500
	// queueHalvingTime is after what time a long queue is expected to be half as long.
	queueHalvingTime = 100.0
	// refusedPause keeps requests off a target that has just refused one; a place frees
	// within a few milliseconds.
	refusedPause cf.Millis = 50
	// lostPause and lostMost do the same after a loss, doubled with each.
	lostPause    cf.Millis = 300
	maxLostPause cf.Millis = 2400
	// targetRoundTrip is the part of an answer's time that is the way to the target and back.
	targetRoundTrip cf.Millis = 2
	// smoothing is the weight of the newest time in the smoothed one.
	smoothing = 0.1
	// initialDivisor is the part of the objective that work is taken for before any answer, with
	// the weight of priorAnswers.
	initialDivisor = 6
	initialSamples = 3
	// slowdownSmoothing is the same weight for how slow a target is: a slow period lasts some hundred
	// milliseconds. Up to slowFrom that is the spread of work; slowMost bounds what one long
	// answer may say.
	slowdownSmoothing, minSlowdown, maxSlowdown = 0.4, 1.5, 3.0
	// sendRateSpan is the time constant of the rate of own starts.
	sendRateSpan = 1000.0
	// gain is how far a rate leaves its base for a queue that is wrong by its whole aim.
	// Load reports are 100 to 200 ms old with 50 instances, which bounds it: from 0.4 on
	// fewer are in time.
	gain = 0.3
	// riseRate, fall and fallBelow move the base, in parts of an equal share per second, or of
	// the base itself. It rises by the same for all and falls in proportion, so that equal
	// instances come to equal parts; towards an equal share it falls faster than below it,
	// since a queue that is too long shows everyone's excess. climb is added to the rise of
	// an instance in proportion to what it has, once the queue has been short for climbAfter:
	// then the others don't use theirs.
	riseRate, climbRate, fallRate, fallRateBelow = 0.3, 0.7, 0.3, 0.15
	// maxAdjustSpan bounds the span that one answer stands for.
	maxAdjustSpan                  cf.Millis = 250
	climbAfter                     cf.Millis = 400
	minShareFactor, maxShareFactor           = 0.25, 32.0
	// maxTokens is how much unused rate is kept, in requests.
	maxTokens = 2.0
	// HTTP statuses of targets that did not run a request.
	statusMisdirected, statusTooMany, statusFull = 421, 429, 503
	// statusFailed is the least HTTP status of a target's own failures.
	statusFailed = 500
	// inFlightSlack is by how much the requests in flight may exceed their mean.
	inFlightSlack = 1.5
)

// active says whether the limit acts.
func (l *limit) active(now cf.Millis) bool { return now < l.activeUntil }

// down says whether the target gets nothing since it was lost. Afterwards one request at
// a time tries it, until it has answered.
func (l *limit) down(now cf.Millis) bool { return now < l.lostUntil || l.losses > 0 && l.inFlight > 0 }

// desiredQueue is how many requests should wait at the target. What the objective leaves beside the
// work, its spread and the network is divided by aimPart: the rest is for the wait here, and
// for load reports that are 200 ms old with 50 instances.
func (l *limit) desiredQueue(objective cf.Millis) float64 {
	serviceTime := max(l.serviceTime*l.effectiveSlowdown(), 1)
	left := float64(objective) - float64(networkTime) - serviceTime - l.deviation
	queue := float64(l.slots) * left / queueTimeDivisor / serviceTime
	if l.queueCapacity > 0 {
		queue = min(queue, l.queueCapacity/2)
	}
	return max(queue, 1)
}

// effectiveSlowdown is by how much the target counts as slower than its service.
func (l *limit) effectiveSlowdown() float64 {
	if l.slowdown < minSlowdown {
		return 1
	}
	return l.slowdown
}

// nearFull says that the target may refuse: by its last load report, and the time since, its queue is
// over half more than the aim.
func (l *limit) nearFull(objective, now cf.Millis) bool {
	desired := l.desiredQueue(objective)
	return now < l.pausedUntil || (l.waiting-desired)/(1+float64(now-l.reportedAt)/queueHalvingTime) > desired/2
}

// answerTime is within what time an answer is expected: the queue, the work, and its spread.
// A queue that was too long when it was last heard of gets shorter, as all hold back.
func (l *limit) answerTime(now cf.Millis) float64 {
	if l.excessWait <= 0 {
		return l.baseAnswerTime
	}
	return l.baseAnswerTime + l.excessWait/(1+float64(now-l.reportedAt)/queueHalvingTime)
}

// queueError is by which part of its aim the queue is too short (above zero) or too long.
func (l *limit) queueError(objective cf.Millis) float64 {
	desired := l.desiredQueue(objective)
	return max((desired-l.waiting)/desired, -2)
}

// updateRate sets the rate and what follows from it. share is the part of an instance of the
// target's throughput where all take the same.
func (l *limit) updateRate(objective cf.Millis, instances int) {
	desired := l.desiredQueue(objective)
	serviceTime := l.serviceTime * l.effectiveSlowdown()
	l.baseAnswerTime = serviceTime*(1+min(l.waiting, desired)/float64(l.slots)) + l.deviation
	l.excessWait = serviceTime * (l.waiting - desired) / float64(l.slots)
	l.rate = l.evenShare(instances) * l.shareFactor * (1 + gain*l.queueError(objective))
	inFlight := l.rate * l.serviceTime * (1 + desired/float64(l.slots))
	l.maxInFlight = max(2, int(math.Ceil(inFlight*inFlightSlack)))
}

func (l *limit) evenShare(instances int) float64 {
	return float64(l.slots) / max(l.serviceTime*l.effectiveSlowdown(), 1) / float64(max(instances, 1))
}

// refill adds what the rate has brought.
func (l *limit) refill(now cf.Millis) {
	if now > l.filledAt {
		l.tokens = min(l.tokens+l.rate*float64(now-l.filledAt), maxTokens)
		l.filledAt = now
	}
}

// reset takes a target that is listed, after it was not or with another start: what was known
// of it is of before.
func (l *limit) reset(born cf.Millis) {
	*l = limit{id: l.id, slots: l.slots, inFlight: l.inFlight, startTime: born, serviceTimes: l.serviceTimes, shareFactor: 1, slowdown: 1, sendRate: l.sendRate, sendRateAt: l.sendRateAt}
}

// activate begins to limit: from an equal share, or from what this instance sends now, the
// more so the shorter the queue is. So one that many callers use is not cut while the target
// has room, and a flood doesn't set its own limit.
func (l *limit) activate(objective cf.Millis, instances int, now cf.Millis) {
	rate := l.sendRate * math.Exp(-float64(now-l.sendRateAt)/sendRateSpan)
	queueError := l.queueError(objective)
	l.shareFactor = 1 + min(max(rate/l.evenShare(instances)-1, 0), maxShareFactor)*min(max(queueError, 0), 1)
	l.tokens, l.filledAt = min(queueError, 1), now
	l.activeUntil, l.longQueueAt = now+limitDuration, now
}

// recordSend counts a send.
func (l *limit) recordSend(now cf.Millis) {
	l.inFlight++
	l.sendRate = l.sendRate*math.Exp(-float64(now-l.sendRateAt)/sendRateSpan) + 1/sendRateSpan
	l.sendRateAt = now
}

// recordResult takes the end of a send. heldBack says that requests were kept back here lately.
func (l *limit) recordResult(r Result, objective cf.Millis, instances int, throttled bool, now cf.Millis) {
	l.inFlight--
	l.refill(now)
	wasActive := l.active(now)
	if !wasActive {
		l.queueCapacity = 0 // a refusal of before may have had another cause
	}
	switch r.Outcome {
	case Refused:
		l.waiting = max(l.waiting, 2*l.desiredQueue(objective))
		if r.Load != nil && r.Load.Waiting > 0 {
			l.waiting = float64(r.Load.Waiting)
			l.queueCapacity = l.waiting
		}
		l.reportedAt, l.hasFreeSlot, l.pausedUntil = now, false, now+refusedPause
	case Lost:
		l.lostUntil = now + lostPause.Doubled(l.losses, maxLostPause)
		l.losses++
		l.tokens = min(l.tokens, 0)
		return
	case Abandoned:
		return
	case Answered:
		l.losses, l.lostUntil = 0, 0
		l.observe(r, now)
	}
	if l.waiting >= max(l.desiredQueue(objective)*fullFraction, 1) || r.Outcome == Refused {
		if !wasActive {
			l.activate(objective, instances, now)
			wasActive = true
		}
		l.activeUntil = now + limitDuration
	}
	if wasActive {
		l.adjustShare(objective, throttled, now)
		l.updateRate(objective, instances)
	}
}

// observe takes an answer's load, and its time unless it is a failure: one that fails at once
// says nothing of how long work takes.
func (l *limit) observe(r Result, now cf.Millis) {
	took, before := float64(max(r.Took-targetRoundTrip, 1)), l.waiting
	if r.Load != nil {
		l.waiting, l.reportedAt = float64(max(r.Load.Waiting, 0)), now
		l.hasFreeSlot = r.Load.Waiting <= 0 && r.Load.Running < l.slots
		if r.Load.Slots > 0 {
			l.slots = r.Load.Slots
		}
	} else if l.active(now) && r.Status < statusFailed {
		// Without a header the queue is read from what answers take beyond their work.
		seen := max(took/l.serviceTime-1, 0) * float64(l.slots)
		l.waiting += 2 * smoothing * (seen - l.waiting)
		l.reportedAt = now
	}
	if r.Status >= statusFailed {
		return
	}
	weight := max(smoothing, 1/float64(l.samples+initialSamples))
	switch {
	case r.Load != nil && r.Load.Waiting > 0:
		// Queueing is taken out as far as the headers show it, which is after it: while a
		// queue grows that is too much.
		took /= 1 + min(l.waiting, before)/float64(l.slots)
		weight = min(weight, smoothing/2)
	case r.Load == nil && l.active(now):
		return
	}
	l.slowdown += slowdownSmoothing * (min(took/max(l.serviceTime, 1), maxSlowdown) - l.slowdown)
	if l.effectiveSlowdown() > 1 {
		weight = min(weight, smoothing/5) // it may last, or be the service's
	}
	l.samples++
	l.deviation += weight * (math.Abs(took-l.serviceTime) - l.deviation)
	l.serviceTime += weight * (took - l.serviceTime)
}

// adjustShare moves the base by the queue that the target has shown.
func (l *limit) adjustShare(objective cf.Millis, throttled bool, now cf.Millis) {
	queueError, span := l.queueError(objective), float64(min(now-l.adjustedAt, maxAdjustSpan))/1000
	l.adjustedAt = now
	switch {
	case queueError < 0 && l.shareFactor > 1:
		l.shareFactor = max(l.shareFactor*(1+fallRate*queueError*span), 1)
	case queueError < 0:
		l.shareFactor = max(l.shareFactor*(1+fallRateBelow*queueError*span), minShareFactor)
	case throttled:
		rate := riseRate
		if now-l.longQueueAt >= climbAfter {
			rate += climbRate * l.shareFactor
		}
		l.shareFactor = min(l.shareFactor+rate*queueError*span, maxShareFactor)
	}
	if queueError < 0.5 {
		l.longQueueAt = now
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
