package cfingress

import (
	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// requestUsage counts a request for its organisation: once, however many targets it is sent to,
	// at the time when it was sent to the first of the targets that ran it. The request is counted
	// when it is sent, because the count would otherwise be missing if this instance failed later.
	// The count is reversed if it turns out that the request did not run.
	requestUsage struct {
		count        func(o cf.Organisation, began cf.Millis, requests int64)
		organisation cf.Organisation
		// sends are the sends to targets that have run the request, or may have.
		sends []send
		// countedAt is the time for which the request was counted, zero if it is not counted.
		countedAt cf.Millis
	}

	send struct {
		target    cf.InstanceID
		startedAt cf.Millis
	}
)

// sent records that the request is sent to a target.
func (u *requestUsage) sent(t cf.InstanceID, now cf.Millis) {
	u.sends = append(u.sends, send{t, now})
	u.recount()
}

// ended records how a send ended, and when the request was completely written, zero if that is not
// known.
func (u *requestUsage) ended(t cf.InstanceID, outcome cfbalance.Outcome, wrote cf.Millis) {
	for i := range u.sends {
		if u.sends[i].target != t {
			continue
		}
		if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
			u.sends = append(u.sends[:i], u.sends[i+1:]...)
		} else if wrote > 0 {
			u.sends[i].startedAt = wrote
		}
		break
	}
	u.recount()
}

// recount updates the count if the time of the first send has changed.
func (u *requestUsage) recount() {
	first := cf.Millis(0)
	for _, t := range u.sends {
		if first == 0 || t.startedAt < first {
			first = t.startedAt
		}
	}
	if u.count == nil || first == u.countedAt {
		return
	}
	if u.countedAt > 0 {
		u.count(u.organisation, u.countedAt, -1)
	}
	if first > 0 {
		u.count(u.organisation, first, 1)
	}
	u.countedAt = first
}
