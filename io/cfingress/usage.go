package cfingress

import (
	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// requestUsage counts a request for its organisation: once, however many targets it is sent
	// to, as of when the first of those that run it was sent it. It is counted as it is
	// sent, since what an instance that is lost had sent would else be missing, and taken
	// back where it turns out that it did not run.
	requestUsage struct {
		count        func(o cf.Organisation, began cf.Millis, requests int64)
		organisation cf.Organisation
		// sends are those that run it, or may.
		sends []send
		// countedAt is when it was counted, zero if it is not.
		countedAt cf.Millis
	}

	send struct {
		target    cf.InstanceID
		startedAt cf.Millis
	}
)

// sent notes that the request is sent to a target.
func (u *requestUsage) sent(t cf.InstanceID, now cf.Millis) {
	u.sends = append(u.sends, send{t, now})
	u.recount()
}

// ended notes how a try ended, and when it was sent in full, zero if that is not known.
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

// recount counts the request anew where its beginning is another.
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
