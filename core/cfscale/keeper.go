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
)

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
		Orders []cf.EngineOrder `json:"orders"`
		Found  []cf.EngineOrder `json:"found,omitempty"`
	}

	// Keeper decides what a holder writes and orders. An order is given only as it was
	// read from the store, or written there with an answer, and each holder gives all of
	// them once: one that the holder before had kept may not have been given. It is not
	// safe for concurrent use.
	Keeper struct {
		// known says that kept, at rev, is what lies in the store.
		known bool
		kept  Kept
		rev   cf.Revision
		// given are the counts that the platform has taken from this holder.
		given map[cf.EnginePool]int
		again map[cf.EnginePool]pause
	}

	pause struct {
		until, length cf.Millis
	}
)

// NewKeeper returns the keeper of a duty that begins.
func NewKeeper() *Keeper {
	return &Keeper{given: map[cf.EnginePool]int{}, again: map[cf.EnginePool]pause{}}
}

// Kept returns what lies in the store, false while that is not known.
func (k *Keeper) Kept() (Kept, bool) { return k.kept, k.known }

// Next returns what is to be done, given what is wanted; may says for which services
// orders may be given.
func (k *Keeper) Next(now cf.Millis, wanted Kept, may func(cf.ServiceName) bool) Step {
	if !k.known {
		return Step{Kind: Read}
	}
	if next := k.kept.with(wanted.Orders); !slices.Equal(next, k.kept.Orders) {
		return Step{Kind: Keep, Kept: Kept{Orders: next, Found: wanted.Found}, Rev: k.rev}
	}
	for _, o := range k.kept.Orders {
		count, given := k.given[o.EnginePool]
		if (!given || count != o.Count) && now >= k.again[o.EnginePool].until && may(o.Service) {
			return Step{Kind: Give, Order: o}
		}
	}
	return Step{Kind: Wait}
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

// Found takes what was read, or written with an answer.
func (k *Keeper) Found(kept Kept, rev cf.Revision) {
	for _, o := range kept.Orders {
		if !slices.Contains(k.kept.Orders, o) {
			delete(k.again, o.EnginePool) // another order than the one that was refused
		}
	}
	k.known, k.kept, k.rev = true, kept, rev
}

// FoundNone notes that nothing lies in the store yet.
func (k *Keeper) FoundNone() { k.Found(Kept{}, 0) }

// InDoubt notes that a write had no answer, or met another: what lies in the store is to
// be read.
func (k *Keeper) InDoubt() { k.known = false }

// Given notes that the platform has taken an order.
func (k *Keeper) Given(o cf.EngineOrder) {
	k.given[o.EnginePool] = o.Count
	delete(k.again, o.EnginePool)
}

// NotGiven notes that an order was not taken, or had no answer. It is given again, each time
// after a longer pause.
func (k *Keeper) NotGiven(o cf.EngineOrder, now cf.Millis) {
	delete(k.given, o.EnginePool) // without an answer it may have been taken
	length := min(max(2*k.again[o.EnginePool].length, retryFirst), retryMost)
	k.again[o.EnginePool] = pause{now + length, length}
}

// Repeat makes the order of a pool be given once more.
func (k *Keeper) Repeat(p cf.EnginePool) { delete(k.given, p) }
