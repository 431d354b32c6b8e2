package cfscale

import (
	"maps"
	"slices"

	cf "currantford"
)

// Steps of a keeper.
const (
	// Wait: nothing is due.
	Wait StepKind = iota
	// Read what lies in the store.
	Read
	// Keep writes Step.Kept on condition of Step.Rev, or creates it where that is zero.
	Keep
	// Give gives Step.Order.
	Give
)

const (
	// retryFirst is the pause after an order that had no answer or was refused; each
	// further one doubles it, up to retryMost.
	retryFirst cf.Millis = 500
	retryMost  cf.Millis = 8_000
	// lateMost is how long after it was given an order without an answer may take effect: an
	// API that is slow for seconds may carry it out after the next.
	lateMost cf.Millis = 6_000
)

// severalCounts is the count of no order.
const severalCounts = -1

type (
	// StepKind is what a keeper does next.
	StepKind int

	// Step is a keeper's next step.
	Step struct {
		Kind  StepKind
		Kept  Kept
		Rev   cf.Revision
		Order cf.EngineOrder
	}

	// Kept is what lies in the store: what is wanted of each pool for which something was
	// ever ordered, and of the others how many engines were found.
	Kept struct {
		// Term is that of the holder that wrote it.
		Term   cf.Revision      `json:"term"`
		Orders []cf.EngineOrder `json:"orders"`
		Found  []cf.EngineOrder `json:"found,omitempty"`
	}

	// Keeper decides what a holder writes and orders. An order is given only as it was
	// read from the store, or written there with an answer, and each holder gives all of
	// them once: one that the holder before had kept may not have been given. Its first
	// write sets its term, so that none of a holder before takes effect after it. It is not
	// safe for concurrent use.
	Keeper struct {
		term cf.Revision
		// settled is from when on no order of a holder before may take effect: the handover
		// is shorter than lateMost.
		settled cf.Millis
		// known says that kept, at rev, is what lies in the store.
		known bool
		kept  Kept
		rev   cf.Revision
		// unsettled: a write without an answer may take effect yet, until another has one.
		unsettled bool
		// given are the counts that the platform has taken from this holder.
		given map[cf.EnginePool]int
		again map[cf.EnginePool]pause
		// pending are orders that may take effect yet, and until when: the last without an
		// answer, and those of a holder before.
		pending map[cf.EnginePool]pendingOrder
	}

	pendingOrder struct {
		// count is that of the orders, severalCounts where they differ or are not known.
		count int
		until cf.Millis
	}

	pause struct {
		until, length cf.Millis
	}
)

// NewKeeper returns the keeper of a duty that begins at now under a term.
func NewKeeper(term cf.Revision, now cf.Millis) *Keeper {
	return &Keeper{term: term, settled: now + lateMost, given: map[cf.EnginePool]int{}, again: map[cf.EnginePool]pause{}, pending: map[cf.EnginePool]pendingOrder{}}
}

// Kept returns what lies in the store, false while that is not known.
func (k *Keeper) Kept() (Kept, bool) { return k.kept, k.known }

// Next returns what is to be done, given what is wanted; may says for which services
// orders may be given.
func (k *Keeper) Next(now cf.Millis, wanted Kept, may func(cf.ServiceName) bool) Step {
	if !k.known {
		return Step{Kind: Read}
	}
	next := k.kept.with(wanted.Orders)
	if k.unsettled || len(next) > 0 && k.kept.Term != k.term || !slices.Equal(next, k.kept.Orders) {
		return Step{Kind: Keep, Kept: Kept{Term: k.term, Orders: next, Found: wanted.Found}, Rev: k.rev}
	}
	for _, o := range k.kept.Orders {
		if k.due(o, now) && may(o.Service) {
			return Step{Kind: Give, Order: o}
		}
	}
	return Step{Kind: Wait}
}

// due says whether an order is to be given: the platform has not taken it from this holder,
// or one without an answer may have taken effect after it.
func (k *Keeper) due(o cf.EngineOrder, now cf.Millis) bool {
	if now < k.again[o.EnginePool].until {
		return false
	}
	if count, given := k.given[o.EnginePool]; !given || count != o.Count {
		return true
	}
	d, pending := k.pending[o.EnginePool]
	return pending && d.count != o.Count && now >= d.until
}

// with returns the orders with others in the place of those of the same pools.
func (k Kept) with(others []cf.EngineOrder) []cf.EngineOrder {
	by := map[cf.EnginePool]cf.EngineOrder{}
	for _, o := range slices.Concat(k.Orders, others) {
		by[o.EnginePool] = o
	}
	out := slices.Collect(maps.Values(by))
	sortOrders(out)
	return out
}

// Found takes what was read.
func (k *Keeper) Found(kept Kept, rev cf.Revision) {
	for _, o := range kept.Orders {
		if !slices.Contains(k.kept.Orders, o) {
			delete(k.again, o.EnginePool) // another order than the one that was refused
		}
	}
	k.known, k.kept, k.rev = true, kept, rev
}

// Written takes what was written with an answer. The new revision makes every write before it
// fail.
func (k *Keeper) Written(kept Kept, rev cf.Revision) {
	k.unsettled = false
	k.Found(kept, rev)
}

// FoundNone notes that nothing lies in the store yet.
func (k *Keeper) FoundNone() { k.Found(Kept{}, 0) }

// InDoubt notes that a write had no answer, or met another: what lies in the store is to
// be read, and written once more: the write may take effect after the read.
func (k *Keeper) InDoubt() { k.known, k.unsettled = false, true }

// Given notes that the platform has taken an order. One of a holder before may take effect
// after it until settled, so it is given once more then.
func (k *Keeper) Given(o cf.EngineOrder, now cf.Millis) {
	_, given := k.given[o.EnginePool]
	if _, pending := k.pending[o.EnginePool]; !given && !pending && now < k.settled {
		k.pending[o.EnginePool] = pendingOrder{severalCounts, k.settled}
	}
	k.given[o.EnginePool] = o.Count
	delete(k.again, o.EnginePool)
	if now >= k.pending[o.EnginePool].until {
		delete(k.pending, o.EnginePool)
	}
}

// InDoubtGiven notes that an order had no answer: it may have been taken, or may be yet.
func (k *Keeper) InDoubtGiven(o cf.EngineOrder, now cf.Millis) {
	d := pendingOrder{o.Count, now + lateMost}
	before, pending := k.pending[o.EnginePool]
	if now < k.settled || pending && before.count != o.Count && now < before.until {
		d.count = severalCounts
	}
	k.pending[o.EnginePool] = d
	delete(k.given, o.EnginePool)
	k.NotGiven(o, now)
}

// NotGiven notes that an order was not taken: what was taken before holds. It is given again,
// each time after a longer pause.
func (k *Keeper) NotGiven(o cf.EngineOrder, now cf.Millis) {
	length := min(max(2*k.again[o.EnginePool].length, retryFirst), retryMost)
	k.again[o.EnginePool] = pause{now + length, length}
}

// Repeat makes the order of a pool be given once more.
func (k *Keeper) Repeat(p cf.EnginePool) { delete(k.given, p) }
