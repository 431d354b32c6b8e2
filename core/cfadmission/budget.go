package cfadmission

import cf "currantford"

// retryBudget limits an instance's repeated sends to a service, that is, its retries and hedges, to
// a fraction of its first sends.
type retryBudget struct{ balance float64 }

const (
	// retryFraction is the fraction of first sends that may be repeated. retryFractionWhileFull
	// applies while the service is full, when each repeated send displaces another request.
	retryFraction, retryFractionWhileFull = 0.2, 0.02
	// maxBalanceWhileFull bounds the balance while the service is full, to the number of requests
	// that one of fifty instances has in flight at one target.
	maxBalanceWhileFull = 2.0
	// maxBalance bounds the balance otherwise, to the number of an instance's sends that are lost
	// with a target.
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

// allows reports whether one more send may be attempted. A retry of a request that may have run is
// always allowed, since its caller can't be told to come back; what it spends is taken from the
// other retries.
func (b *retryBudget) allows(mandatory bool) bool { return mandatory || b.balance >= 1 }

// spend counts one repeated send. Several waiting requests may have been allowed on the same unit
// of the balance: mandatory sends then make it negative, others spend nothing.
func (b *retryBudget) spend(mandatory bool) {
	if mandatory || b.balance >= 1 {
		b.balance = max(b.balance-1, -maxBalance)
	}
}

// MayHedge reports whether the retry budget of a service allows a hedge. While the service is not
// full, every hedge is allowed.
func (c *Controller) MayHedge(service cf.ServiceName, now cf.Millis) bool {
	return c.MayRetry(service, false, now)
}

// MayRetry reports whether the retry budget of a service allows a retry. While the service is not
// full, every retry is allowed. mandatory is true if the request can't be refused. The budget is
// spent by Sent.
func (c *Controller) MayRetry(service cf.ServiceName, mandatory bool, now cf.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceFor(service)
	return s.budget.allows(mandatory) || now >= s.limitedUntil
}
