// Package cfadmission decides when a plain request may be sent to a target that other
// instances use too, how long it may wait for that, and which one goes first. It makes no
// calls and has no clock of its own.
//
// The load it answers: fifty instances before three targets of six slots and a queue of 24,
// and for some seconds ninety times the usual requests. The queues of the targets hold a
// request longer than callers want to wait for its answer, so that half of what is answered
// is late, and an instance that only counts what it has in flight can't hold back: its part
// of a target is a quarter of one request. Each instance therefore paces its sends by the
// queue that the targets show in their load header, divides its pace among organisations,
// and refuses at once what can't be in time.
//
// Nothing is limited until a target says that requests wait, or refuses one.
//
// Usage:
//
//	c := cfadmission.New()
//	t := c.Enter(ask, now)
//	v := c.Poll(t, now) // again at v.Until, while v.State is Wait
//	c.Sent(t, target, now) // or c.Leave(t)
//	c.Done(service, target, end, now)
package cfadmission

import (
	"math"
	"sync"

	cf "currantford"
)

type (
	// Request is a request that looks for a target.
	Request struct {
		Service cf.ServiceName
		Class   Class
		// Targets are the service's targets; the slice is not changed afterwards.
		// Tried are those that get the request no more.
		Targets []cf.Target
		Tried   map[cf.InstanceID]bool
		// Instances is how many share the targets.
		Instances int
		// Objective is the time in which an answer is worth most, Spent what the caller had
		// used of it before the request arrived here.
		Objective, Spent cf.Millis
		Arrived          cf.Millis
		// Deadline is the Uptime by which it must be answered.
		Deadline cf.Millis
		// Resubmitted: the caller was told to come back. Retry: a target has had the request already,
		// so that sending it, as a retry or a hedge, spends from the retry budget.
		Resubmitted, Retry bool
		// MayHaveRun: it may have run, so that it can't be refused any more.
		MayHaveRun bool
		// NoWait: it is refused where it would have to wait, as a hedge is.
		NoWait bool
	}

	// State is what a request is to do.
	State int

	// Decision is what was decided, and what decided it.
	Decision struct {
		State State
		// Until is when to ask again, for State Wait.
		Until  cf.Millis
		Reason Reason
		// Limited says that the limits act; Waiting is how many requests wait here.
		Limited bool
		Waiting int
		// SendPerS is what this instance sends to the service per second, DemandPerS what the
		// request's organisation asks for, and SharePerS what it is allowed of that, zero
		// while it may have all.
		SendPerS, DemandPerS, SharePerS float64
	}

	// Reason is why a request was refused.
	Reason string

	// Ticket is a request's place in the queue.
	Ticket struct {
		request Request
		service *service
		share   *share
		seq     int64
		queued  bool
		evicted bool
		// granted is the limit whose token the ticket has, until it is sent or leaves.
		granted *limit
	}

	// Controller limits what an instance sends. It is safe for concurrent use.
	Controller struct {
		mu       sync.Mutex
		services map[cf.ServiceName]*service
		lastSeq  int64
	}

	service struct {
		limits map[cf.InstanceID]*limit
		times  serviceTimes
		// minAnswerTime is the least time in ms in which a target should answer, by the last look.
		minAnswerTime float64
		// targets are those of the last ask, ordered are their limits.
		targets      []cf.Target
		targetLimits []*limit
		listVersion  int // counts changes of the candidates
		instances    int
		objective    cf.Millis
		objectiveAt  cf.Millis // as of when
		shares       *shares
		queue        []*Ticket
		budget       retryBudget
		// limitedUntil is the latest end of a target's limit, heldBackAt when a request was last kept back.
		limitedUntil, throttledAt cf.Millis
	}
)

// States of a request.
const (
	Send State = iota
	Wait
	Refuse
)

// Reasons of a refusal.
const (
	// NoCapacity: it can't be sent early enough to be in time.
	NoCapacity Reason = "the service is full"
	// OverShare is the same for an organisation over its share.
	OverShare Reason = "the service is full, and the organisation over its share"
	// TooLate: its objective has passed already, and there is no room to spare.
	TooLate Reason = "the service is full, and an answer would be late"
	// QueueFull: too many requests wait.
	QueueFull Reason = "the service and the queue before it are full"
	// TargetsRefused: each target has refused it.
	TargetsRefused Reason = "no target has room"
	// NoRetryBudget: a target did not run it, and it may not be sent to another.
	NoRetryBudget Reason = "the service is full, and the retry budget spent"
)

const (
	// networkTime is what an answer needs beside the target's time, there and back.
	networkTime cf.Millis = 15
	// refusalDivisor is the part of the objective within which a caller hears of a refusal,
	// less refusalTime, which a target's refusal after a wait takes.
	refusalDivisor              = 4
	targetRefusalTime cf.Millis = 9
	// maxQueued bounds the queue. At a refusal within 37 ms it is only reached from some
	// two thousand requests per second on.
	maxQueued = 64
	// maxWait bounds an estimate of a wait that is never reached, in ms.
	maxWait = 1e6
	// minPoll spaces the looks of a waiting request.
	minPoll cf.Millis = 2
	// mustSendPoll spaces the looks of one that can't be refused, and waits for a target that
	// is less full.
	mustSendPoll cf.Millis = 10
	// throttledSpan is how long a request that was kept back shows that this instance has
	// more to send than it may.
	throttledSpan cf.Millis = 500
	// lateObjectives is for how many objectives nothing that could be in time may have been kept
	// back here, and lateLevel what more than usual must be left over, before a request is
	// sent that will be late: in a flood of twice what there is, an instance keeps back a
	// dozen a second.
	lateObjectives = 2
	lateExtraLevel = 0.9
	// freeSlotMaxAge is how long a target's load report of a free slot counts for those.
	freeSlotMaxAge cf.Millis = 50
	// rankStep is by how much the level of each further priority is higher, mostNeed bounds it.
	rankStep, maxSendLevel = 1.2, 1.9
	// resubmittedDiscount lets callers that have come back go a little before new ones.
	resubmittedDiscount = 0.25
	// unreportedLevel is the unused rate at a target that has not said how full it is.
	unreportedLevel = -0.25
	// choiceTolerance is how much less unused rate a target may have than the one with most, to
	// be chosen for its other merits.
	choiceTolerance = 1.0
	// objectiveMaxAge is how long the shortest objective of a service's requests counts.
	objectiveMaxAge cf.Millis = 5000
	// forgetTargetAfter drops a target that is not listed any more.
	forgetTargetAfter cf.Millis = 60000
)

// sendLevel is the level of a target's bucket from which on requests of a tier are sent. Organisations
// under their share may borrow from the others' next sends: at a few sends a second for all, one
// that waits for its turn behind a large organisation's burst is not in time any more.
var sendLevel = [...]float64{underShare: -3, withinShare: 0, overShare: 1, noShare: 1.6}

// New returns a controller that knows nothing.
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

// update notes the targets and the objective of an ask.
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
			l.slots = t.Slots // a send to a target that is not listed creates its limit without them
		}
		if l.listVersion != s.listVersion-1 || l.startTime != t.Born {
			l.reset(t.Born)
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

// Enter takes a request that looks for a target. Leave or Sent ends its ticket.
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

// Poll decides what a ticket's request is to do now.
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

// targetScan is what one pass over a service's targets shows.
type targetScan struct {
	// best is the target with most unused rate that may get the request, nil for none; open
	// says that one is not limited.
	best      *limit
	unlimited bool
	// untried counts those that the request has not been to; total is the rate of all
	// that are there.
	untried   int
	totalRate float64
}

// scan passes over the targets, and notes the least time in which one should answer.
func (s *service) scan(t *Ticket, now cf.Millis) targetScan {
	var found targetScan
	var late *limit // the same where an answer would be late
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
			l.activeUntil = min(l.activeUntil, s.limitedUntil) // only a sign of fullness prolongs the limits
			l.updateRate(s.objective, s.instances)
			l.tokens = min(l.tokens, unreportedLevel) // as all instances find it at once
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

// withMoreTokens returns which of two limits has more unused rate; either may be nil.
func withMoreTokens(a, b *limit) *limit {
	if a == nil || b != nil && b.tokens > a.tokens {
		return b
	}
	return a
}

// timeToLevel returns in how many ms a target's unused rate comes to a level.
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

// poll decides while the service is limited.
func (s *service) poll(t *Ticket, now cf.Millis) Decision {
	found := s.scan(t, now)
	perS := found.totalRate * 1000
	switch {
	case found.unlimited:
		return Decision{State: Send}
	case found.untried == 0:
		return Decision{State: Refuse, Reason: TargetsRefused, SendPerS: perS}
	case found.totalRate == 0:
		return Decision{State: Send} // all are lost: a try is better than a refusal
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
			return Decision{State: Send} // a try is better than a failure
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

// Excluded says whether a request that may be sent can't go to a target now.
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

// Sent ends a ticket: its request goes to a target.
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

// Done takes the end of a send; acts says that the service's limits begin to act with it.
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

// Throughput returns what all instances together may send to a service per ms, and the mean
// time of an answer; zero while nothing is limited.
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
