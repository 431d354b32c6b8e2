package cfscale

import (
	"maps"
	"slices"

	cf "currantford"
)

// Steps of a keeper.
const (
	// ActionWait: nothing is due.
	ActionWait ActionKind = iota
	// ActionRead what lies in the store.
	ActionRead
	// ActionWrite writes Step.Kept on condition of Step.Rev, or creates it where that is zero.
	ActionWrite
	// ActionOrder gives Step.Order.
	ActionOrder
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
	// ActionKind is what a keeper does next.
	ActionKind int

	// Action is a keeper's next step.
	Action struct {
		Kind  ActionKind
		State StoredState
		Rev   cf.Revision
		Order cf.EngineOrder
	}

	// StoredState is what lies in the store: what is wanted of each pool for which something was
	// ever ordered, and of the others how many engines were found.
	StoredState struct {
		// Term is that of the holder that wrote it.
		Term        cf.Revision      `json:"term"`
		Orders      []cf.EngineOrder `json:"orders"`
		Preexisting []cf.EngineOrder `json:"found,omitempty"`
	}

	// Reconciler decides what a holder writes and orders. An order is given only as it was
	// read from the store, or written there with an answer, and each holder gives all of
	// them once: one that the holder before had kept may not have been given. Its first
	// write sets its term, so that none of a holder before takes effect after it. It is not
	// safe for concurrent use.
	Reconciler struct {
		term cf.Revision
		// settled is from when on no order of a holder before may take effect: the handover
		// is shorter than lateMost.
		settled cf.Millis
		// known says that kept, at rev, is what lies in the store.
		known bool
		kept  StoredState
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

// NewReconciler returns the keeper of a duty that begins at now under a term.
func NewReconciler(term cf.Revision, now cf.Millis) *Reconciler {
	return &Reconciler{term: term, settled: now + lateMost, given: map[cf.EnginePool]int{}, again: map[cf.EnginePool]pause{}, pending: map[cf.EnginePool]pendingOrder{}}
}

// Stored returns what lies in the store, false while that is not known.
func (k *Reconciler) Stored() (StoredState, bool) { return k.kept, k.known }

// Next returns what is to be done, given what is wanted; may says for which services
// orders may be given.
func (k *Reconciler) Next(now cf.Millis, wanted StoredState, may func(cf.ServiceName) bool) Action {
	if !k.known {
		return Action{Kind: ActionRead}
	}
	next := k.kept.with(wanted.Orders)
	if k.unsettled || len(next) > 0 && k.kept.Term != k.term || !slices.Equal(next, k.kept.Orders) {
		return Action{Kind: ActionWrite, State: StoredState{Term: k.term, Orders: next, Preexisting: wanted.Preexisting}, Rev: k.rev}
	}
	for _, o := range k.kept.Orders {
		if k.due(o, now) && may(o.Service) {
			return Action{Kind: ActionOrder, Order: o}
		}
	}
	return Action{Kind: ActionWait}
}

// due says whether an order is to be given: the platform has not taken it from this holder,
// or one without an answer may have taken effect after it.
func (k *Reconciler) due(o cf.EngineOrder, now cf.Millis) bool {
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
func (k StoredState) with(others []cf.EngineOrder) []cf.EngineOrder {
	by := map[cf.EnginePool]cf.EngineOrder{}
	for _, o := range slices.Concat(k.Orders, others) {
		by[o.EnginePool] = o
	}
	out := slices.Collect(maps.Values(by))
	sortOrders(out)
	return out
}

// Loaded takes what was read.
func (k *Reconciler) Loaded(kept StoredState, rev cf.Revision) {
	for _, o := range kept.Orders {
		if !slices.Contains(k.kept.Orders, o) {
			delete(k.again, o.EnginePool) // another order than the one that was refused
		}
	}
	k.known, k.kept, k.rev = true, kept, rev
}

// Written takes what was written with an answer. The new revision makes every write before it
// fail.
func (k *Reconciler) Written(kept StoredState, rev cf.Revision) {
	k.unsettled = false
	k.Loaded(kept, rev)
}

// LoadedEmpty notes that nothing lies in the store yet.
func (k *Reconciler) LoadedEmpty() { k.Loaded(StoredState{}, 0) }

// WriteInDoubt notes that a write had no answer, or met another: what lies in the store is to
// be read, and written once more: the write may take effect after the read.
func (k *Reconciler) WriteInDoubt() { k.known, k.unsettled = false, true }

// OrderAccepted notes that the platform has taken an order. One of a holder before may take effect
// after it until settled, so it is given once more then.
func (k *Reconciler) OrderAccepted(o cf.EngineOrder, now cf.Millis) {
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

// OrderInDoubt notes that an order had no answer: it may have been taken, or may be yet.
func (k *Reconciler) OrderInDoubt(o cf.EngineOrder, now cf.Millis) {
	d := pendingOrder{o.Count, now + lateMost}
	before, pending := k.pending[o.EnginePool]
	if now < k.settled || pending && before.count != o.Count && now < before.until {
		d.count = severalCounts
	}
	k.pending[o.EnginePool] = d
	delete(k.given, o.EnginePool)
	k.OrderRejected(o, now)
}

// OrderRejected notes that an order was not taken: what was taken before holds. It is given again,
// each time after a longer pause.
func (k *Reconciler) OrderRejected(o cf.EngineOrder, now cf.Millis) {
	length := min(max(2*k.again[o.EnginePool].length, retryFirst), retryMost)
	k.again[o.EnginePool] = pause{now + length, length}
}

// RepeatOrder makes the order of a pool be given once more.
func (k *Reconciler) RepeatOrder(p cf.EnginePool) { delete(k.given, p) }
