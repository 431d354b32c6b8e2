package cfadmission

import cf "currantford"

// budget is what an instance may send to a service beside first sends: a part of those.
type budget struct{ left float64 }

const (
	// budgetPart is the part of first sends that may be sent once more, budgetFull the same
	// while the service is full: then each further send displaces another request.
	budgetPart, budgetFull = 0.2, 0.02
	// fullBudget bounds what is left while the service is full: as many as an instance of
	// fifty has in flight at one target.
	fullBudget = 2.0
	// mostBudget bounds what is saved up: the sends of an instance that a target takes with
	// it when it is lost.
	mostBudget = 10.0
)

// earn counts a first send.
func (b *budget) earn(full bool) {
	part, most := budgetPart, mostBudget
	if full {
		part, most = budgetFull, fullBudget
	}
	b.left = min(b.left+part, most)
}

// allows says whether one further send may be tried. A retry of a request that may have run is
// never refused, as it can't be told to come back; what it takes is missing for the others.
func (b *budget) allows(must bool) bool { return must || b.left >= 1 }

// spend takes one further send. Requests that wait may have been allowed for the same unit, so
// that owed ones go below zero; others take nothing where nothing is left.
func (b *budget) spend(owed bool) {
	if owed || b.left >= 1 {
		b.left = max(b.left-1, -mostBudget)
	}
}

// MayHedge says whether the retry budget of a service allows a hedge. While the service is not
// full all are allowed.
func (c *Controller) MayHedge(service cf.ServiceName, now cf.Millis) bool {
	return c.MayRetry(service, false, now)
}

// MayRetry does the same for a retry; must says that the request can't be refused. Sent spends
// from the budget.
func (c *Controller) MayRetry(service cf.ServiceName, must bool, now cf.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(service)
	return s.budget.allows(must) || now >= s.until
}
