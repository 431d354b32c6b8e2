package cfbalance

import (
	"errors"

	cf "currantford"
	"currantford/core/cfsite"
)

type (
	// Attempts tracks the attempts to send one request to targets.
	Attempts struct {
		route      cfsite.Route
		deadline   cf.Millis
		sends      int // sends that reached a target
		mayHaveRun bool
	}
)

// hedgeFraction is the fraction of a route's SLO after which an idempotent request is also sent to
// a second target: late enough that few requests are hedged (the mean answer takes a sixth of the
// SLO), and early enough that the second answer arrives in time.
const hedgeFraction = 0.55

// NewAttempts returns the state of a request that must be answered by deadline.
func NewAttempts(route cfsite.Route, deadline cf.Millis) *Attempts {
	return &Attempts{route: route, deadline: deadline}
}

// Remaining returns the time left until the deadline.
func (a *Attempts) Remaining(now cf.Millis) cf.Millis { return a.deadline - now }

// MaySend reports whether the request may be sent to another target.
func (a *Attempts) MaySend(now cf.Millis) bool {
	if a.sends >= max(a.route.MaxAttempts, 1) || a.Remaining(now) <= 0 {
		return false
	}
	return !a.mayHaveRun || a.route.Idempotent()
}

// Sent counts a send that reached a target.
func (a *Attempts) Sent() { a.sends++ }

// Classify returns the outcome of an attempt; good is true if its answer is to be returned to the
// caller. Unless a target has certainly not run the request, it counts as possibly run: a bid that
// is sent again, or refused as not run, could be recorded twice.
func (a *Attempts) Classify(answer cf.TargetAnswer, err error) (o Outcome, good bool) {
	switch {
	case errors.Is(err, cf.ErrNotRun):
		return Unreached, false
	case err != nil:
		a.mayHaveRun = true
		return Failed, false
	case answer.NotRun:
		return NotRun, false
	case answer.Failed() || !a.MayForward(answer):
		a.mayHaveRun = true
		return Failed, false
	default:
		return Answered, true
	}
}

// MayForward reports whether a target's answer may be returned to the caller as it is. A status that
// promises that the request has not run may not, unless the target states it or the request may be
// repeated: the caller would send the request again.
func (a *Attempts) MayForward(answer cf.TargetAnswer) bool {
	return answer.NotRun || !answer.PromisesNotRun() || a.route.Idempotent()
}

// HedgeAfter returns how long to wait for an answer before the request is also sent to another
// target, and false if that is not allowed.
func (a *Attempts) HedgeAfter() (cf.Millis, bool) {
	if a.route.Kind != cfsite.KindIdempotent || a.route.SLO <= 0 || a.sends >= a.route.MaxAttempts {
		return 0, false
	}
	return cf.Millis(float64(a.route.SLO) * hedgeFraction), true
}

// MayHaveRun reports whether a target may have run the request, or may still do so. Such a request
// must not be refused, since a refusal promises that it has not run and will not.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }
