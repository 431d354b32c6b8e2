package cfbalance

import (
	cf "currantford"
	"currantford/cfsite"
)

type (
	// Attempts follows one request through the targets it is sent to.
	Attempts struct {
		route    cfsite.Route
		deadline cf.Millis
		sends    int // sends that reached a target
		ran      bool
	}

	// Step is what to do after an attempt failed or is late.
	Step int
)

// Steps.
const (
	// TryAgain: send it to another target.
	TryAgain Step = iota
	// Refuse: it has surely not run; turn it away with when to come back.
	Refuse
	// GiveUp: it may have run and may not be repeated, or was tried enough.
	GiveUp
)

// hedgePart is the part of a route's SLO after which an idempotent request
// is also sent to another target: late enough that few are (the mean answer
// takes a sixth of the SLO), early enough that the second answer is in time.
const hedgePart = 0.55

// NewAttempts returns the state of a request that must be answered by
// deadline.
func NewAttempts(route cfsite.Route, deadline cf.Millis) *Attempts {
	return &Attempts{route: route, deadline: deadline}
}

// Left returns how long the request may still take.
func (a *Attempts) Left(now cf.Millis) cf.Millis { return a.deadline - now }

// MaySend says whether the request may go to one more target.
func (a *Attempts) MaySend(now cf.Millis) bool {
	if a.sends >= max(a.route.MaxAttempts, 1) || a.Left(now) <= 0 {
		return false
	}
	return !a.ran || a.route.Idempotent()
}

// Sent counts a send that reached a target.
func (a *Attempts) Sent() { a.sends++ }

// Ran records that a target may have run the request.
func (a *Attempts) Ran() { a.ran = true }

// HedgeAfter returns how long to wait for an answer before the request is
// also sent elsewhere, false where that is not allowed.
func (a *Attempts) HedgeAfter() (cf.Millis, bool) {
	if a.route.Kind != cfsite.KindIdempotent || a.route.SLO <= 0 || a.sends >= a.route.MaxAttempts {
		return 0, false
	}
	return cf.Millis(float64(a.route.SLO) * hedgePart), true
}

// Next says what follows when no attempt is under way any more.
func (a *Attempts) Next(now cf.Millis) Step {
	switch {
	case a.MaySend(now):
		return TryAgain
	case !a.ran:
		return Refuse
	default:
		return GiveUp
	}
}
