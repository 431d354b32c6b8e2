// Package cfadmission implements admission control for plain requests, the single requests outside
// of batches that are forwarded to targets shared with other instances. It decides when a request
// may be sent to a target, how long it may wait for that, and which request goes first. It makes no
// network calls and takes the time as an argument.
//
// It is designed for overload: fifty instances share three targets, each with six slots and a queue
// of 24, and receive ninety times the usual request rate for some seconds. A full target queue
// holds a request for longer than its caller wants to wait, so that without admission control half
// of the answers are late. A limit on the requests in flight per instance does not help, since an
// instance's share of a target is a quarter of one request. Each instance therefore limits its send
// rate by the queue length that targets report in their load header, divides that rate among
// organisations, and rejects at once any request that can't be answered in time.
//
// Nothing is limited until a target reports waiting requests or refuses a request.
//
// Usage:
//
//	c := cfadmission.New()
//	t := c.Enter(request, now)
//	d := c.Poll(t, now) // again at d.Until, while d.State is Wait
//	c.Sent(t, target, now) // or c.Cancel(t)
//	c.Done(service, target, result, now)
package cfadmission

import (
	"math"
	"sync"

	cf "currantford"
)

type (
	// Request is a request that needs a target.
	Request struct {
		Service cf.ServiceName
		Class   Class
		// Targets are the targets of the service; the slice must not be modified afterwards. Tried
		// are the targets to which the request must not be sent again.
		Targets []cf.Target
		Tried   map[cf.InstanceID]bool
		// Instances is the number of instances that share the targets.
		Instances int
		// Objective is the response time objective. Spent is the part of it that the caller had
		// used up before the request arrived at this instance.
		Objective, Spent cf.Millis
		Arrived          cf.Millis
		// Deadline is the Uptime by which the request must be answered.
		Deadline cf.Millis
		// Resubmitted is true if the caller was told to come back and sends the request again.
		// Retry is true if a target has been sent the request already; sending it once more, as a
		// retry or as a hedge, spends from the retry budget.
		Resubmitted, Retry bool
		// MayHaveRun is true if a target may have run the request, which therefore can't be refused
		// any more.
		MayHaveRun bool
		// NoWait is true if the request is refused instead of queued, as hedges are.
		NoWait bool
	}

	// State tells what to do with a request.
	State int

	// Decision is the decision on a request, with the figures that led to it.
	Decision struct {
		State State
		// Until is the time of the next Poll, for State Wait.
		Until  cf.Millis
		Reason Reason
		// Limited is true while limits are active for the service. Waiting is the number of
		// requests that wait at this instance.
		Limited bool
		Waiting int
		// SendPerS is the rate per second at which this instance may send to the service,
		// DemandPerS the request rate of the organisation, and SharePerS the rate that the
		// organisation is allowed, zero if it is not restricted.
		SendPerS, DemandPerS, SharePerS float64
	}

	// Reason is why a request was refused.
	Reason string

	// Ticket represents a request between Enter and Sent or Cancel, whether it is queued or not.
	Ticket struct {
		request Request
		service *service
		share   *share
		seq     int64
		queued  bool
		evicted bool
		// granted is the limit of which the ticket holds a token, until Sent or Cancel.
		granted *limit
	}

	// Controller limits the requests that an instance sends to targets. It is safe for concurrent
	// use.
	Controller struct {
		mu       sync.Mutex
		services map[cf.ServiceName]*service
		lastSeq  int64
	}

	service struct {
		limits map[cf.InstanceID]*limit
		times  serviceTimes
		// minAnswerTime is the shortest time in ms in which a target is expected to answer, as of
		// the last scan.
		minAnswerTime float64
		// targets are those of the last request, targetLimits the limits of these targets in the
		// same order.
		targets      []cf.Target
		targetLimits []*limit
		listVersion  int // incremented with each change of the targets
		instances    int
		objective    cf.Millis
		objectiveAt  cf.Millis // when the objective was last confirmed by a request
		shares       *shares
		queue        []*Ticket
		budget       retryBudget
		// limitedUntil is when the last active limit of a target ends. throttledAt is when a
		// request was last delayed or refused that could have been answered in time.
		limitedUntil, throttledAt cf.Millis
	}
)

// States of a request.
const (
	Send State = iota
	Wait
	Refuse
)

// Reasons for refusing a request.
const (
	// NoCapacity: the request can't be sent early enough to be answered in time.
	NoCapacity Reason = "the service is full"
	// OverShare: the request can't be sent in time, as its organisation is over its share.
	OverShare Reason = "the service is full, and the organisation over its share"
	// TooLate: the objective can't be met any more, and no target has a free slot.
	TooLate Reason = "the service is full, and an answer would be late"
	// QueueFull: too many requests are queued at this instance.
	QueueFull Reason = "the service and the queue before it are full"
	// TargetsRefused: every target has been tried without success.
	TargetsRefused Reason = "no target has room"
	// NoRetryBudget: a target did not run the request, and the retry budget does not allow another
	// send.
	NoRetryBudget Reason = "the service is full, and the retry budget spent"
)

const (
	// networkTime is the part of an answer's time that is spent outside the target, both ways.
	networkTime cf.Millis = 15
	// refusalDivisor divides the objective: callers are to learn of a refusal within that part of
	// it. targetRefusalTime is subtracted from it: the time that a refusal by a target takes after
	// the wait.
	refusalDivisor              = 4
	targetRefusalTime cf.Millis = 9
	// maxQueued bounds the queue. With refusals within 37 ms the bound is reached only from about
	// two thousand requests per second on.
	maxQueued = 64
	// maxWait bounds an estimated wait that would otherwise be infinite, in ms.
	maxWait = 1e6
	// minPoll is the shortest interval between polls of a waiting request.
	minPoll cf.Millis = 2
	// mustSendPoll is the longest interval between polls of a request that can't be refused and
	// waits for a less loaded target.
	mustSendPoll cf.Millis = 10
	// throttledSpan is for how long a delayed or refused request counts as a sign that this
	// instance's demand exceeds its rate.
	throttledSpan cf.Millis = 500
	// Unless a target has just reported a free slot, a request that will be late is sent only if,
	// for lateObjectives times the objective, no target has reported its load and no request that
	// could be in time was delayed or refused here, and if the bucket holds lateExtraLevel more
	// tokens than requests over their share need. At twice the capacity an instance throttles a
	// dozen requests a second.
	lateObjectives = 2
	lateExtraLevel = 0.9
	// freeSlotMaxAge is the age up to which a load report that shows a free slot admits late
	// requests.
	freeSlotMaxAge cf.Millis = 50
	// rankStep raises the send level for each lower priority, up to maxSendLevel.
	rankStep, maxSendLevel = 1.2, 1.9
	// resubmittedDiscount lowers the send level for resubmitted requests and retries, so that they
	// go slightly ahead of new ones.
	resubmittedDiscount = 0.25
	// unreportedLevel bounds the tokens of a target that has not reported its load recently.
	unreportedLevel = -0.25
	// choiceTolerance is by how many tokens a target may be behind the one that granted the send
	// and still be chosen, for instance for its shorter answer time.
	choiceTolerance = 1.0
	// objectiveMaxAge is for how long the shortest objective among a service's requests counts.
	objectiveMaxAge cf.Millis = 5000
	// forgetTargetAfter is how long after the last send the limit of a target that is no longer
	// listed is dropped.
	forgetTargetAfter cf.Millis = 60000
)

// sendLevel is the number of tokens that a target's bucket must hold for a request of a tier to be
// sent. It is negative for organisations under their share, which may borrow from the next sends of
// others: at a few sends a second in all, a request that waits behind a large organisation's burst
// is no longer in time.
var sendLevel = [...]float64{underShare: -3, withinShare: 0, overShare: 1, noShare: 1.6}

// New returns a controller without any state.
func New() *Controller { return &Controller{services: map[cf.ServiceName]*service{}} }

func (c *Controller) serviceFor(name cf.ServiceName) *service {
	s := c.services[name]
	if s == nil {
		s = &service{limits: map[cf.InstanceID]*limit{}, shares: newShares(), instances: 1, budget: retryBudget{balance: maxBalance}}
		c.services[name] = s
	}
	return s
}

func (s *service) limit(id cf.InstanceID, slots int) *limit {
	l := s.limits[id]
	if l == nil {
		l = &limit{id: id, slots: max(slots, 1), shareFactor: 1, slowdown: 1, serviceTimes: &s.times}
		s.limits[id] = l
	}
	return l
}

// update records the targets and the objective of a request.
func (s *service) update(r Request, now cf.Millis) {
	if s.objective == 0 || r.Objective < s.objective || now-s.objectiveAt > objectiveMaxAge {
		s.objective = r.Objective
	}
	if s.times.samples == 0 {
		s.times.serviceTime = float64(r.Objective) / initialDivisor
		s.times.deviation = s.times.serviceTime / 2
	}
	if r.Objective == s.objective {
		s.objectiveAt = now
	}
	s.instances = max(r.Instances, 1)
	if len(r.Targets) == len(s.targets) && (len(r.Targets) == 0 || &r.Targets[0] == &s.targets[0]) {
		return
	}
	s.targets, s.targetLimits = r.Targets, make([]*limit, len(r.Targets))
	s.listVersion++
	for i, t := range r.Targets {
		l := s.limit(t.ID, t.Slots)
		if t.Slots > 0 {
			l.slots = t.Slots // Sent may have created the limit of an unlisted target, without its slots.
		}
		if l.listVersion != s.listVersion-1 || l.startTime != t.Started {
			l.reset(t.Started)
		}
		l.listVersion = s.listVersion
		s.targetLimits[i] = l
	}
	for id, l := range s.limits {
		if l.listVersion != s.listVersion && l.inFlight <= 0 && now-l.sendRateAt > forgetTargetAfter {
			delete(s.limits, id)
		}
	}
}

// Enter registers a request that needs a target. The ticket ends with Sent or Cancel.
func (c *Controller) Enter(r Request, now cf.Millis) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(r.Service)
	s.update(r, now)
	c.lastSeq++
	x := s.shares.shareOf(r.Class, now)
	if !r.Resubmitted && !r.Retry {
		x.recordArrival(now)
	}
	return &Ticket{request: r, service: s, share: x, seq: c.lastSeq}
}

// Poll decides what to do with a ticket's request now.
func (c *Controller) Poll(t *Ticket, now cf.Millis) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := t.service
	if t.granted != nil {
		return Decision{State: Send, Limited: true}
	}
	if now >= s.limitedUntil {
		s.remove(t)
		return Decision{State: Send}
	}
	d := s.poll(t, now)
	d.Limited, d.Waiting, d.DemandPerS = true, len(s.queue), t.share.demand*1000
	if s.shares.contended && t.share.capped {
		d.SharePerS = t.share.allowed * 1000
	}
	if d.State != Wait {
		s.remove(t)
	}
	if d.State != Send && !t.late(now) && !t.request.NoWait {
		s.throttledAt = now
	}
	return d
}

// targetScan is the result of one pass over a service's targets.
type targetScan struct {
	// best is the target with the most tokens that may be sent the request, nil if there is none.
	// unlimited is true if a target without an active limit may be sent it.
	best      *limit
	unlimited bool
	// untried is the number of targets that the request has not been sent to, totalRate the sum of
	// the rates of all available targets.
	untried   int
	totalRate float64
}

// scan passes over the targets and updates minAnswerTime.
func (s *service) scan(t *Ticket, now cf.Millis) targetScan {
	var found targetScan
	var late *limit // like found.best, among the targets whose answer would be late
	minAnswer, left := math.Inf(1), t.timeLeft(now)
	for i, l := range s.targetLimits {
		tried := len(t.request.Tried) > 0 && t.request.Tried[s.targets[i].ID]
		if !tried {
			found.untried++
		}
		if l.down(now) {
			continue
		}
		if !l.active(now) {
			if now-l.reportedAt <= reportMaxAge {
				found.unlimited = found.unlimited || !tried
				continue
			}
			l.activate(s.objective, s.instances, now)
			l.activeUntil = min(l.activeUntil, s.limitedUntil) // only waiting or refused requests prolong the limits of a service
			l.updateRate(s.objective, s.instances)
			l.tokens = min(l.tokens, unreportedLevel) // all instances activate the limit at the same time
		}
		l.refill(now)
		found.totalRate += l.rate
		answer := l.answerTime(now)
		minAnswer = min(minAnswer, answer)
		if tried || now < l.pausedUntil || l.inFlight >= l.maxInFlight || t.request.MayHaveRun && l.nearFull(s.objective, now) {
			continue
		}
		if answer > left {
			late = withMoreTokens(late, l)
			continue
		}
		found.best = withMoreTokens(found.best, l)
	}
	if s.minAnswerTime = 0; found.totalRate > 0 {
		s.minAnswerTime = minAnswer
	}
	if t.request.MayHaveRun || t.late(now) {
		found.best = withMoreTokens(late, found.best)
	}
	return found
}

// withMoreTokens returns the limit that has more tokens; either may be nil.
func withMoreTokens(a, b *limit) *limit {
	if a == nil || b != nil && b.tokens > a.tokens {
		return b
	}
	return a
}

// timeToLevel returns the time in ms until the bucket of any target reaches a level.
func (s *service) timeToLevel(t *Ticket, level float64, now cf.Millis) float64 {
	soonest := math.Inf(1)
	for i, l := range s.targetLimits {
		if len(t.request.Tried) > 0 && t.request.Tried[s.targets[i].ID] || l.down(now) || l.inFlight >= l.maxInFlight || l.rate <= 0 {
			continue
		}
		soonest = min(soonest, max((level-l.tokens)/l.rate, float64(l.pausedUntil-now), 0))
	}
	return soonest
}

// poll decides on a request while limits are active for the service.
func (s *service) poll(t *Ticket, now cf.Millis) Decision {
	found := s.scan(t, now)
	perS := found.totalRate * 1000
	switch {
	case found.unlimited:
		return Decision{State: Send}
	case found.untried == 0:
		return Decision{State: Refuse, Reason: TargetsRefused, SendPerS: perS}
	case found.totalRate == 0:
		return Decision{State: Send} // all targets are down; an attempt is better than a refusal
	}
	s.shares.divide(found.totalRate, now)
	level := t.requiredLevel(now)
	ahead, blocked := s.ahead(t, found.best, now)
	if found.best != nil && found.best.tokens >= level && !blocked && !t.evicted {
		found.best.tokens--
		t.granted = found.best
		return Decision{State: Send, SendPerS: perS}
	}
	at := now + max(cf.Millis(min(s.timeToLevel(t, level, now)+float64(ahead)/found.totalRate, maxWait)), minPoll)
	sendBy := t.sendBy(now)
	if t.request.MayHaveRun {
		if now >= sendBy {
			return Decision{State: Send} // an attempt is better than a failure
		}
		at = min(at, now+mustSendPoll, sendBy)
	}
	if t.evicted || at > sendBy {
		return Decision{State: Refuse, Reason: t.reason(now), SendPerS: perS}
	}
	if t.request.NoWait {
		return Decision{State: Refuse, Reason: NoCapacity, SendPerS: perS}
	}
	if !t.queued {
		s.push(t, now)
	}
	return Decision{State: Wait, Until: min(at, sendBy), SendPerS: perS}
}

// Excluded reports whether a request that was granted a send must not go to a given target now.
func (c *Controller) Excluded(t *Ticket, id cf.InstanceID, now cf.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := t.service.limits[id]
	switch {
	case t.granted == nil || l == nil || l == t.granted:
		return false
	case l.down(now) || now < l.pausedUntil || l.inFlight >= l.maxInFlight && l.active(now):
		return true
	case !t.request.MayHaveRun && !t.late(now) && l.answerTime(now) > t.timeLeft(now):
		return true
	}
	return l.active(now) && l.tokens < t.granted.tokens+1-choiceTolerance
}

// Sent ends a ticket: its request is sent to a target.
func (c *Controller) Sent(t *Ticket, id cf.InstanceID, now cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := t.service
	l := s.limit(id, 1)
	if t.granted != nil && t.granted != l {
		t.granted.tokens++
	}
	if t.granted != l && l.active(now) {
		l.refill(now)
		l.tokens--
	}
	t.granted = nil
	s.remove(t)
	l.recordSend(now)
	t.share.recordSend(now)
	if t.request.Retry {
		s.budget.spend(t.request.MayHaveRun || now < s.limitedUntil)
	} else {
		s.budget.earn(now < s.limitedUntil)
	}
}

// Cancel ends a ticket whose request is not sent.
func (c *Controller) Cancel(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.granted != nil {
		t.granted.tokens++
		t.granted = nil
	}
	t.service.remove(t)
}

// Done records the result of a send. activated is true if this result activates the limits of the
// service.
func (c *Controller) Done(name cf.ServiceName, id cf.InstanceID, r Result, now cf.Millis) (activated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(name)
	l := s.limit(id, 1)
	l.recordResult(r, s.objective, s.instances, now-s.throttledAt <= throttledSpan, now)
	activated = now >= s.limitedUntil && now < l.activeUntil
	s.limitedUntil = max(s.limitedUntil, l.activeUntil)
	return activated
}

// Throughput returns the rate per ms at which all instances together may send to a service, and the
// mean answer time without queueing in ms. Both are zero while nothing is limited.
func (c *Controller) Throughput(name cf.ServiceName, now cf.Millis) (perMs, meanTime float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(name)
	if now >= s.limitedUntil {
		return 0, 0
	}
	for _, l := range s.targetLimits {
		if l.losses == 0 {
			perMs += l.rate * float64(s.instances)
		}
	}
	return perMs, s.times.serviceTime
}
