package cfadmission

import (
	"math"

	cf "currantford"
)

// late reports whether the request can no longer be answered within its objective.
func (t *Ticket) late(now cf.Millis) bool { return t.timeLeft(now) < t.service.minAnswerTime }

// timeLeft returns how long a target may take to answer within the objective, in ms.
func (t *Ticket) timeLeft(now cf.Millis) float64 {
	return float64(t.request.Arrived + t.request.Objective - t.request.Spent - networkTime - now)
}

// lateSendLevel returns the level from which on a request that will be late is sent. Such a request
// displaces no other one if a target has a free slot by its last load report. If, for a while, no
// target has reported and no request that could be in time was throttled here, a late request is
// sent to find out whether there is capacity.
func (s *service) lateSendLevel(now cf.Millis) float64 {
	reported := cf.Millis(0)
	for _, l := range s.targetLimits {
		if l.hasFreeSlot && now-l.reportedAt <= freeSlotMaxAge && !l.down(now) {
			return sendLevel[overShare]
		}
		reported = max(reported, l.reportedAt)
	}
	if now-max(s.throttledAt, reported) > lateObjectives*s.objective {
		return sendLevel[overShare] + lateExtraLevel
	}
	return math.Inf(1)
}

// sendBy returns the Uptime by which the request must be sent.
func (t *Ticket) sendBy(now cf.Millis) cf.Millis {
	answer := cf.Millis(t.service.minAnswerTime)
	if t.request.MayHaveRun {
		return t.request.Deadline - networkTime - answer
	}
	if t.late(now) {
		return now
	}
	return min(t.request.Arrived+t.request.Objective/refusalDivisor-targetRefusalTime, t.request.Arrived+t.request.Objective-t.request.Spent-networkTime-answer)
}

// requiredLevel returns the number of tokens that a target must have for the request to be sent.
func (t *Ticket) requiredLevel(now cf.Millis) float64 {
	n := min(sendLevel[t.service.shares.tierOf(t.share, now)]+rankStep*float64(t.share.rank), maxSendLevel)
	switch {
	case t.request.MayHaveRun:
		return sendLevel[withinShare] - resubmittedDiscount
	case t.late(now):
		return t.service.lateSendLevel(now)
	case t.request.Resubmitted || t.request.Retry:
		return n - resubmittedDiscount
	}
	return n
}

func (t *Ticket) reason(now cf.Millis) Reason {
	switch {
	case t.evicted:
		return QueueFull
	case t.late(now):
		return TooLate
	case t.service.shares.tierOf(t.share, now) == overShare:
		return OverShare
	}
	return NoCapacity
}

// before reports whether t takes precedence over u: requests that may have run come first and late
// ones last, then the order is by priority, by the tier of the organisation, resubmitted requests
// and retries before new ones, and by how much each class has been served.
func (t *Ticket) before(u *Ticket, now cf.Millis) bool {
	if t.request.MayHaveRun != u.request.MayHaveRun {
		return t.request.MayHaveRun
	}
	if tl, ul := t.late(now), u.late(now); tl != ul {
		return ul
	}
	if t.request.Class.Priority != u.request.Class.Priority {
		return t.request.Class.Priority < u.request.Class.Priority
	}
	if ts, us := t.service.shares.tierOf(t.share, now), u.service.shares.tierOf(u.share, now); ts != us {
		return ts < us
	}
	if ta, ua := t.request.Resubmitted || t.request.Retry, u.request.Resubmitted || u.request.Retry; ta != ua {
		return ta
	}
	if t.share != u.share {
		t.share.decay(now)
		u.share.decay(now)
		if t.share.served != u.share.served {
			return t.share.served < u.share.served
		}
	}
	return t.seq < u.seq
}

// ahead returns the number of queued requests that take precedence over t. blocked is true if one
// of them could be sent to best now.
func (s *service) ahead(t *Ticket, best *limit, now cf.Millis) (n int, blocked bool) {
	for _, u := range s.queue {
		if u == t || !u.before(t, now) {
			continue
		}
		n++
		blocked = blocked || best != nil && best.tokens >= u.requiredLevel(now) && u.mayUse(best, now)
	}
	return n, blocked
}

// mayUse reports whether the request may be sent to a target as far as that depends on the request:
// one that can't be refused is not sent to a target that may refuse it.
func (t *Ticket) mayUse(l *limit, now cf.Millis) bool {
	return !t.request.Tried[l.id] && (!t.request.MayHaveRun || !l.nearFull(t.service.objective, now))
}

// push queues a ticket. If the queue exceeds its bound, the last request in precedence is evicted
// and refused at its next Poll.
func (s *service) push(t *Ticket, now cf.Millis) {
	t.queued = true
	s.queue = append(s.queue, t)
	if len(s.queue) <= maxQueued {
		return
	}
	worst := s.queue[0]
	for _, u := range s.queue[1:] {
		if worst.before(u, now) {
			worst = u
		}
	}
	worst.evicted = true
	s.remove(worst)
}

func (s *service) remove(t *Ticket) {
	if !t.queued {
		return
	}
	t.queued = false
	for i, u := range s.queue {
		if u == t {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}
