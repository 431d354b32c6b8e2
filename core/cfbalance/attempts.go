package cfbalance

import (
	"errors"

	cf "currantford"
	"currantford/core/cfsite"
)

type (
	// Attempts follows one request through the targets it is sent to.
	Attempts struct {
		route      cfsite.Route
		deadline   cf.Millis
		sends      int // sends that reached a target
		mayHaveRun bool
	}
)

// hedgeFraction is the part of a route's SLO after which an idempotent request
// is also sent to another target: late enough that few are (the mean answer
// takes a sixth of the SLO), early enough that the second answer is in time.
const hedgeFraction = 0.55

// NewAttempts returns the state of a request that must be answered by
// deadline.
func NewAttempts(route cfsite.Route, deadline cf.Millis) *Attempts {
	return &Attempts{route: route, deadline: deadline}
}

// Remaining returns how long the request may still take.
func (a *Attempts) Remaining(now cf.Millis) cf.Millis { return a.deadline - now }

// MaySend says whether the request may go to one more target.
func (a *Attempts) MaySend(now cf.Millis) bool {
	if a.sends >= max(a.route.MaxAttempts, 1) || a.Remaining(now) <= 0 {
		return false
	}
	return !a.mayHaveRun || a.route.Idempotent()
}

// Sent counts a send that reached a target.
func (a *Attempts) Sent() { a.sends++ }

// Classify takes the end of an attempt; good says that its answer is the caller's.
// Whatever is not surely unrun counts as run: a bid sent once more, or refused
// as not run, could be recorded twice.
func (a *Attempts) Classify(answer cf.TargetAnswer, err error) (o Outcome, good bool) {
	switch {
	case errors.Is(err, cf.ErrNotRun):
		return Unreached, false
	case err != nil:
		a.mayHaveRun = true
		return Failed, false
	case answer.NotRun:
		return NotRun, false
	case answer.Failed():
		a.mayHaveRun = true
		return Failed, false
	default:
		return Answered, true
	}
}

// HedgeAfter returns how long to wait for an answer before the request is
// also sent elsewhere, false where that is not allowed.
func (a *Attempts) HedgeAfter() (cf.Millis, bool) {
	if a.route.Kind != cfsite.KindIdempotent || a.route.SLO <= 0 || a.sends >= a.route.MaxAttempts {
		return 0, false
	}
	return cf.Millis(float64(a.route.SLO) * hedgeFraction), true
}

// MayHaveRun says whether a target may have run the request, or may yet: then it
// is not to be refused, for a refusal promises that it has not and never will.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }
