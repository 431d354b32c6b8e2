package cfadmission

import (
	"math"

	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// Outcome is the outcome of a send.
	Outcome int

	// Result is the result of one send.
	Result struct {
		Outcome Outcome
		// Load is the target's load header, nil if there was none.
		Load *cf.TargetLoad
		Took cf.Millis
		// Status is the HTTP status of the answer, zero if there was none.
		Status int
	}

	// serviceTimes are the smoothed time that a service's answers take without queueing and its
	// mean deviation, both in ms, with the number of samples. They cover all targets of the
	// service, since an instance receives only a few answers a minute from each; a slower target is
	// recognised by its longer queue.
	serviceTimes struct {
		serviceTime, deviation float64
		samples                int
	}

	// limit is the concurrency limit of one target at this instance. With many instances and few
	// targets the limit is below one request in flight, so it is kept as a rate of sends: by
	// Little's law the two differ by the factor of the answer time.
	limit struct {
		id       cf.InstanceID
		slots    int
		inFlight int // this instance's requests only
		// listVersion is the service's listVersion when the target was last listed, startTime the
		// start of the target as listed then.
		listVersion int
		startTime   cf.Millis
		*serviceTimes
		// queueCapacity is the number of requests that waited when the target refused one, zero if
		// it has not refused any.
		queueCapacity float64
		// slowdown is the ratio of this target's recent answer times to those of the service.
		slowdown float64
		// waiting is the number of requests waiting at the target by its last load report, as of
		// reportedAt.
		waiting    float64
		reportedAt cf.Millis
		// hasFreeSlot is true if the same report showed a free slot.
		hasFreeSlot bool
		// The limit is active until activeUntil. Before pausedUntil nothing is sent to the target.
		activeUntil, pausedUntil cf.Millis
		// losses counts the lost sends since the last answer. Before lostUntil the target is sent
		// nothing.
		losses    int
		lostUntil cf.Millis
		// shareFactor is this instance's share of the target relative to an equal one, rate the
		// resulting sends per ms, and maxInFlight the resulting limit on requests in flight.
		shareFactor, rate float64
		maxInFlight       int
		// baseAnswerTime is the expected answer time with at most the desired queue, excessWait
		// what the rest of the queue adds, both in ms.
		baseAnswerTime, excessWait float64
		adjustedAt                 cf.Millis // when shareFactor was last adjusted
		// longQueueAt is when the queue was last over half of the desired length.
		longQueueAt cf.Millis
		// tokens is the level of the token bucket for sends, as of filledAt.
		tokens   float64
		filledAt cf.Millis
		// sendRate is the recent rate of sends of this instance per ms, as of sendRateAt.
		sendRate   float64
		sendRateAt cf.Millis
	}
)

// Outcomes of a send.
const (
	// Answered: the target answered, possibly with a failure of its own.
	Answered Outcome = iota
	// Refused: the target did not run the request.
	Refused
	// Lost: no answer arrived, or no connection could be opened.
	Lost
	// Abandoned: this instance gave up the send.
	Abandoned
)

const (
	// queueTimeDivisor divides the time that the objective leaves for queueing. With 1.6 instead of
	// 2, 0.3% more requests are answered in all, but 4.3% of them late instead of 3.7%.
	queueTimeDivisor = 2.0
	// limitDuration is how long a limit stays active after a target has last reported waiting
	// requests or refused one: one of fifty instances receives a few answers a second from each
	// target.
	limitDuration cf.Millis = 3000
	// fullFraction is the fraction of the desired queue from which on a target counts as full:
	// occasionally a few requests wait although there is capacity for all.
	fullFraction = 0.33
	// reportMaxAge is for how long a load report without waiting requests exempts a target from
	// limits while others of its service are full.
	reportMaxAge cf.Millis = 500
	// queueHalvingTime is the time in ms after which a long queue is expected to be half as long.
	queueHalvingTime = 100.0
	// refusedPause is how long nothing is sent to a target after it refused a request; a place in
	// its queue becomes free within a few milliseconds.
	refusedPause cf.Millis = 50
	// lostPause is the same after a lost send. It doubles with each further loss, up to
	// maxLostPause.
	lostPause    cf.Millis = 300
	maxLostPause cf.Millis = 2400
	// targetRoundTrip is the part of an answer's time that is spent on the network to the target
	// and back.
	targetRoundTrip cf.Millis = 2
	// smoothing is the weight of the newest sample in smoothed times.
	smoothing = 0.1
	// Before any answer the service time is assumed to be the objective divided by initialDivisor,
	// with the weight of initialSamples samples.
	initialDivisor = 6
	initialSamples = 3
	// slowdownSmoothing is the weight of the newest sample in a target's slowdown; slow periods
	// last some hundred milliseconds. Ratios below minSlowdown are ordinary variation of the
	// service time. maxSlowdown bounds the effect of a single long answer.
	slowdownSmoothing, minSlowdown, maxSlowdown = 0.4, 1.5, 3.0
	// sendRateSpan is the time constant of sendRate, in ms.
	sendRateSpan = 1000.0
	// gain is the relative change of the rate for a queue that is off by its whole desired length.
	// It is bounded by the age of load reports, 100 to 200 ms with 50 instances: from 0.4 on fewer
	// requests are answered in time.
	gain = 0.3
	// These are the rates, per second, at which shareFactor is adjusted. It increases by the same
	// amount at all instances (riseRate) and decreases in proportion to itself, so that equal
	// instances converge to equal shares. Above an equal share it decreases faster (fallRate) than
	// below (fallRateBelow), since a queue that is too long shows the excess of all instances. Once
	// the queue has been short for climbAfter, which means that other instances do not use their
	// shares, climbRate times shareFactor is added to the increase.
	riseRate, climbRate, fallRate, fallRateBelow = 0.3, 0.7, 0.3, 0.15
	// maxAdjustSpan bounds the time span for which a single answer adjusts shareFactor.
	maxAdjustSpan                  cf.Millis = 250
	climbAfter                     cf.Millis = 400
	minShareFactor, maxShareFactor           = 0.25, 32.0
	// maxTokens bounds the token bucket, in requests.
	maxTokens = 2.0
	// These are the HTTP statuses of answers to requests that a target did not run.
	statusMisdirected, statusTooMany, statusFull = 421, 429, 503
	// statusFailed is the lowest HTTP status of a target's own failures.
	statusFailed = 500
	// inFlightSlack is the ratio of maxInFlight to the mean number of requests in flight.
	inFlightSlack = 1.5
)

// active reports whether the limit is active.
func (l *limit) active(now cf.Millis) bool { return now < l.activeUntil }

// down reports whether the target is sent nothing after lost sends. After the pause a single
// request at a time probes it, until it has answered.
func (l *limit) down(now cf.Millis) bool { return now < l.lostUntil || l.losses > 0 && l.inFlight > 0 }

// desiredQueue returns how many requests should wait at the target. The time that the objective
// leaves after the service time, its deviation and the network is divided by queueTimeDivisor; the
// rest is reserved for waiting at the instance and for the age of load reports, 200 ms with 50
// instances.
func (l *limit) desiredQueue(objective cf.Millis) float64 {
	serviceTime := max(l.serviceTime*l.effectiveSlowdown(), 1)
	left := float64(objective) - float64(networkTime) - serviceTime - l.deviation
	queue := float64(l.slots) * left / queueTimeDivisor / serviceTime
	if l.queueCapacity > 0 {
		queue = min(queue, l.queueCapacity/2)
	}
	return max(queue, 1)
}

// effectiveSlowdown returns the slowdown, or 1 if it is within ordinary variation.
func (l *limit) effectiveSlowdown() float64 {
	if l.slowdown < minSlowdown {
		return 1
	}
	return l.slowdown
}

// nearFull reports whether the target may refuse a request: by its last load report and the time
// since, its queue exceeds the desired length by more than half.
func (l *limit) nearFull(objective, now cf.Millis) bool {
	desired := l.desiredQueue(objective)
	return now < l.pausedUntil || (l.waiting-desired)/(1+float64(now-l.reportedAt)/queueHalvingTime) > desired/2
}

// answerTime returns the expected answer time in ms: queueing, service time and its deviation. A
// queue reported as too long is expected to shrink since then, as all instances throttle.
func (l *limit) answerTime(now cf.Millis) float64 {
	if l.excessWait <= 0 {
		return l.baseAnswerTime
	}
	return l.baseAnswerTime + l.excessWait/(1+float64(now-l.reportedAt)/queueHalvingTime)
}

// queueError returns by which fraction of the desired length the queue is too short (positive) or
// too long (negative).
func (l *limit) queueError(objective cf.Millis) float64 {
	desired := l.desiredQueue(objective)
	return max((desired-l.waiting)/desired, -2)
}

// updateRate recalculates the rate and the values derived from it.
func (l *limit) updateRate(objective cf.Millis, instances int) {
	desired := l.desiredQueue(objective)
	serviceTime := l.serviceTime * l.effectiveSlowdown()
	l.baseAnswerTime = serviceTime*(1+min(l.waiting, desired)/float64(l.slots)) + l.deviation
	l.excessWait = serviceTime * (l.waiting - desired) / float64(l.slots)
	l.rate = l.evenShare(instances) * l.shareFactor * (1 + gain*l.queueError(objective))
	inFlight := l.rate * l.serviceTime * (1 + desired/float64(l.slots))
	l.maxInFlight = max(2, int(math.Ceil(inFlight*inFlightSlack)))
}

// evenShare returns the rate of sends per ms of one instance if all instances use the target
// equally.
func (l *limit) evenShare(instances int) float64 {
	return float64(l.slots) / max(l.serviceTime*l.effectiveSlowdown(), 1) / float64(max(instances, 1))
}

// refill adds the tokens accrued since filledAt.
func (l *limit) refill(now cf.Millis) {
	if now > l.filledAt {
		l.tokens = min(l.tokens+l.rate*float64(now-l.filledAt), maxTokens)
		l.filledAt = now
	}
}

// reset discards what is known of a target that is listed again after an absence or has restarted.
func (l *limit) reset(startTime cf.Millis) {
	*l = limit{id: l.id, slots: l.slots, inFlight: l.inFlight, startTime: startTime, serviceTimes: l.serviceTimes, shareFactor: 1, slowdown: 1, sendRate: l.sendRate, sendRateAt: l.sendRateAt}
}

// activate makes the limit active. It starts from an equal share, or from the rate at which this
// instance sends now; the shorter the queue, the more of that rate is kept. An instance that many
// callers use is thus not throttled while the target has capacity, and a flood of requests does not
// set its own limit.
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

// recordResult processes the result of a send. throttled is true if requests were delayed or
// refused here recently.
func (l *limit) recordResult(r Result, objective cf.Millis, instances int, throttled bool, now cf.Millis) {
	l.inFlight--
	l.refill(now)
	active := l.active(now)
	if !active {
		l.queueCapacity = 0 // an earlier refusal may have had another cause
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
		l.lostUntil = now + lostPause.Backoff(l.losses, maxLostPause)
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
		if !active {
			l.activate(objective, instances, now)
			active = true
		}
		l.activeUntil = now + limitDuration
	}
	if active {
		l.adjustShare(objective, throttled, now)
		l.updateRate(objective, instances)
	}
}

// observe processes the load reported in an answer, and the answer's time unless it is a failure:
// an immediate failure says nothing about the service time.
func (l *limit) observe(r Result, now cf.Millis) {
	took, before := float64(max(r.Took-targetRoundTrip, 1)), l.waiting
	if r.Load != nil {
		l.waiting, l.reportedAt = float64(max(r.Load.Waiting, 0)), now
		l.hasFreeSlot = r.Load.Waiting <= 0 && r.Load.Running < l.slots
		if r.Load.Slots > 0 {
			l.slots = r.Load.Slots
		}
	} else if l.active(now) && r.Status < statusFailed {
		// Without a load header the queue is estimated from the answer time beyond the service
		// time.
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
		// The queueing time is removed according to the load headers, which report the queue as of
		// the end of a request: while a queue grows, too much is removed.
		took /= 1 + min(l.waiting, before)/float64(l.slots)
		weight = min(weight, smoothing/2)
	case r.Load == nil && l.active(now):
		return
	}
	l.slowdown += slowdownSmoothing * (min(took/max(l.serviceTime, 1), maxSlowdown) - l.slowdown)
	if l.effectiveSlowdown() > 1 {
		weight = min(weight, smoothing/5) // not ignored: the slowdown may last, or affect the whole service
	}
	l.samples++
	l.deviation += weight * (math.Abs(took-l.serviceTime) - l.deviation)
	l.serviceTime += weight * (took - l.serviceTime)
}

// adjustShare adjusts shareFactor by the reported queue.
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

// OutcomeOf returns the outcome of a send that cfbalance has classified. Only 503 and 429 mean that
// a target is full. A target that answers 421 is not the intended one, so that counts as lost.
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
