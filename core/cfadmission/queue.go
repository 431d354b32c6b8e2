package cfadmission

import (
	"math"

	cf "currantford"
)

// late says that the request can't be answered within its objective any more.
func (t *Ticket) late(now cf.Millis) bool { return t.left(now) < t.service.quickest }

// left is what a target's answer may take to be in time, in ms.
func (t *Ticket) left(now cf.Millis) float64 {
	return float64(t.ask.Arrived + t.ask.Objective - t.ask.Spent - networkTime - now)
}

// lateNeed is the level from which on a request is sent that will be late: it takes nobody's
// place where a target has a free slot by its last load report. Where no target has reported,
// and nothing that could be in time was kept back here for a while, it finds out.
func (s *service) lateNeed(now cf.Millis) float64 {
	reported := cf.Millis(0)
	for _, l := range s.ordered {
		if l.idle && now-l.reportedAt <= idleSpan && !l.unavailable(now) {
			return need[overShare]
		}
		reported = max(reported, l.reportedAt)
	}
	if now-max(s.heldBackAt, reported) > lateSpan*s.objective {
		return need[overShare] + lateLevel
	}
	return math.Inf(1)
}

// last is the Uptime by which the request must be sent.
func (t *Ticket) last(now cf.Millis) cf.Millis {
	answer := cf.Millis(t.service.quickest)
	if t.ask.MayHaveRun {
		return t.ask.Deadline - networkTime - answer
	}
	if t.late(now) {
		return now
	}
	return min(t.ask.Arrived+t.ask.Objective/refusalPart-refusalTime, t.ask.Arrived+t.ask.Objective-t.ask.Spent-networkTime-answer)
}

// need is the level from which on the request is sent.
func (t *Ticket) need(now cf.Millis) float64 {
	n := min(need[t.service.shares.stand(t.share, now)]+rankLevel*float64(t.share.rank), mostNeed)
	switch {
	case t.ask.MayHaveRun:
		return need[withinShare] - againLevel
	case t.late(now):
		return t.service.lateNeed(now)
	case t.ask.Resubmitted || t.ask.Retry:
		return n - againLevel
	}
	return n
}

func (t *Ticket) reason(now cf.Millis) Reason {
	switch {
	case t.evicted:
		return QueueFull
	case t.late(now):
		return TooLate
	case t.service.shares.stand(t.share, now) == overShare:
		return OverShare
	}
	return NoCapacity
}

// before says whether t goes before u: by priority, then by how each organisation stands
// against its share, then those that have come back, then by what each has been served.
func (t *Ticket) before(u *Ticket, now cf.Millis) bool {
	if t.ask.MayHaveRun != u.ask.MayHaveRun {
		return t.ask.MayHaveRun
	}
	if tl, ul := t.late(now), u.late(now); tl != ul {
		return ul
	}
	if t.ask.Class.Priority != u.ask.Class.Priority {
		return t.ask.Class.Priority < u.ask.Class.Priority
	}
	if ts, us := t.service.shares.stand(t.share, now), u.service.shares.stand(u.share, now); ts != us {
		return ts < us
	}
	if ta, ua := t.ask.Resubmitted || t.ask.Retry, u.ask.Resubmitted || u.ask.Retry; ta != ua {
		return ta
	}
	if t.share != u.share {
		t.share.decay(now)
		u.share.decay(now)
		if t.share.served != u.share.served {
			return t.share.served < u.share.served
		}
	}
	return t.n < u.n
}

// ahead counts the queue's requests that go before t; blocked says that one of them could go
// to best now.
func (s *service) ahead(t *Ticket, best *limit, now cf.Millis) (n int, blocked bool) {
	for _, u := range s.queue {
		if u == t || !u.before(t, now) {
			continue
		}
		n++
		blocked = blocked || best != nil && best.tokens >= u.need(now) && u.mayUse(best, now)
	}
	return n, blocked
}

// mayUse says whether the request may go to a target as far as that depends on the request:
// one that can't be refused isn't sent to a target that may refuse it.
func (t *Ticket) mayUse(l *limit, now cf.Millis) bool {
	return !t.ask.Tried[l.id] && (!t.ask.MayHaveRun || !l.nearFull(t.service.objective, now))
}

// push queues a ticket; where too many wait the last of them is refused when it asks again.
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
	s.drop(worst)
}

func (s *service) drop(t *Ticket) {
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
