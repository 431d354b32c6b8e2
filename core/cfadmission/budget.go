package cfadmission

import cf "currantford"

// retryBudget is what an instance may send to a service beside first sends: a part of those.
type retryBudget struct{ balance float64 }

const (
	// retryFraction is the part of first sends that may be sent once more, budgetFull the same
	// while the service is full: then each further send displaces another request.
	retryFraction, retryFractionWhileFull = 0.2, 0.02
	// maxBalanceWhileFull bounds what is left while the service is full: as many as an instance of
	// fifty has in flight at one target.
	maxBalanceWhileFull = 2.0
	// maxBalance bounds what is saved up: the sends of an instance that a target takes with
	// it when it is lost.
	maxBalance = 10.0
)

// earn counts a first send.
func (b *retryBudget) earn(full bool) {
	fraction, limit := retryFraction, maxBalance
	if full {
		fraction, limit = retryFractionWhileFull, maxBalanceWhileFull
	}
	b.balance = min(b.balance+fraction, limit)
}

// allows says whether one further send may be tried. A retry of a request that may have run is
// never refused, as it can't be told to come back; what it takes is missing for the others.
func (b *retryBudget) allows(mandatory bool) bool { return mandatory || b.balance >= 1 }

// spend takes one further send. Requests that wait may have been allowed for the same unit, so
// that owed ones go below zero; others take nothing where nothing is left.
func (b *retryBudget) spend(mandatory bool) {
	if mandatory || b.balance >= 1 {
		b.balance = max(b.balance-1, -maxBalance)
	}
}

// MayHedge says whether the retry budget of a service allows a hedge. While the service is not
// full all are allowed.
func (c *Controller) MayHedge(service cf.ServiceName, now cf.Millis) bool {
	return c.MayRetry(service, false, now)
}

// MayRetry does the same for a retry; must says that the request can't be refused. Sent spends
// from the budget.
func (c *Controller) MayRetry(service cf.ServiceName, mandatory bool, now cf.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(service)
	return s.budget.allows(mandatory) || now >= s.limitedUntil
}
