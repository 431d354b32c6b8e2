package cfingress

import (
	cf "currantford"
	"currantford/core/cfbalance"
)

type (
	// use counts a request for its organisation: once, however many targets it is sent
	// to, as of when the first of those that run it was sent it. It is counted as it is
	// sent, since what an instance that is lost had sent would else be missing, and taken
	// back where it turns out that it did not run.
	use struct {
		count func(o cf.Organisation, began cf.Millis, requests int64)
		of    cf.Organisation
		// tries are those that run it, or may.
		tries []try
		// began is when it was counted, zero if it is not.
		began cf.Millis
	}

	try struct {
		target cf.InstanceID
		began  cf.Millis
	}
)

// sent notes that the request is sent to a target.
func (u *use) sent(t cf.InstanceID, now cf.Millis) {
	u.tries = append(u.tries, try{t, now})
	u.settle()
}

// ended notes how a try ended, and when it was sent in full, zero if that is not known.
func (u *use) ended(t cf.InstanceID, outcome cfbalance.Outcome, wrote cf.Millis) {
	for i := range u.tries {
		if u.tries[i].target != t {
			continue
		}
		if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
			u.tries = append(u.tries[:i], u.tries[i+1:]...)
		} else if wrote > 0 {
			u.tries[i].began = wrote
		}
		break
	}
	u.settle()
}

// settle counts the request anew where its beginning is another.
func (u *use) settle() {
	first := cf.Millis(0)
	for _, t := range u.tries {
		if first == 0 || t.began < first {
			first = t.began
		}
	}
	if u.count == nil || first == u.began {
		return
	}
	if u.began > 0 {
		u.count(u.of, u.began, -1)
	}
	if first > 0 {
		u.count(u.of, first, 1)
	}
	u.began = first
}
