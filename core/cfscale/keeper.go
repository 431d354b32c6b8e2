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
	// initialRetryPause is the pause after an order that had no answer or was refused; each
	// further one doubles it, up to retryMost.
	initialRetryPause cf.Millis = 500
	maxRetryPause     cf.Millis = 8_000
	// maxOrderDelay is how long after it was given an order without an answer may take effect: an
	// API that is slow for seconds may carry it out after the next.
	maxOrderDelay cf.Millis = 6_000
)

// mixedCounts is the count of no order.
const mixedCounts = -1

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
		// settledAt is from when on no order of a holder before may take effect: the handover
		// is shorter than lateMost.
		settledAt cf.Millis
		// known says that kept, at rev, is what lies in the store.
		known  bool
		stored StoredState
		rev    cf.Revision
		// unconfirmedWrite: a write without an answer may take effect yet, until another has one.
		unconfirmedWrite bool
		// accepted are the counts that the platform has taken from this holder.
		accepted map[cf.EnginePool]int
		retries  map[cf.EnginePool]retryPause
		// unconfirmed are orders that may take effect yet, and until when: the last without an
		// answer, and those of a holder before.
		unconfirmed map[cf.EnginePool]unconfirmedOrder
	}

	unconfirmedOrder struct {
		// count is that of the orders, severalCounts where they differ or are not known.
		count int
		until cf.Millis
	}

	retryPause struct {
		until, length cf.Millis
	}
)

// NewReconciler returns the keeper of a duty that begins at now under a term.
func NewReconciler(term cf.Revision, now cf.Millis) *Reconciler {
	return &Reconciler{term: term, settledAt: now + maxOrderDelay, accepted: map[cf.EnginePool]int{}, retries: map[cf.EnginePool]retryPause{}, unconfirmed: map[cf.EnginePool]unconfirmedOrder{}}
}

// Stored returns what lies in the store, false while that is not known.
func (r *Reconciler) Stored() (StoredState, bool) { return r.stored, r.known }

// Next returns what is to be done, given what is wanted; may says for which services
// orders may be given.
func (r *Reconciler) Next(now cf.Millis, wanted StoredState, mayOrder func(cf.ServiceName) bool) Action {
	if !r.known {
		return Action{Kind: ActionRead}
	}
	next := r.stored.merged(wanted.Orders)
	if r.unconfirmedWrite || len(next) > 0 && r.stored.Term != r.term || !slices.Equal(next, r.stored.Orders) {
		return Action{Kind: ActionWrite, State: StoredState{Term: r.term, Orders: next, Preexisting: wanted.Preexisting}, Rev: r.rev}
	}
	for _, o := range r.stored.Orders {
		if r.due(o, now) && mayOrder(o.Service) {
			return Action{Kind: ActionOrder, Order: o}
		}
	}
	return Action{Kind: ActionWait}
}

// due says whether an order is to be given: the platform has not taken it from this holder,
// or one without an answer may have taken effect after it.
func (r *Reconciler) due(o cf.EngineOrder, now cf.Millis) bool {
	if now < r.retries[o.EnginePool].until {
		return false
	}
	if count, accepted := r.accepted[o.EnginePool]; !accepted || count != o.Count {
		return true
	}
	d, unconfirmed := r.unconfirmed[o.EnginePool]
	return unconfirmed && d.count != o.Count && now >= d.until
}

// merged returns the orders with others in the place of those of the same pools.
func (s StoredState) merged(others []cf.EngineOrder) []cf.EngineOrder {
	byPool := map[cf.EnginePool]cf.EngineOrder{}
	for _, o := range slices.Concat(s.Orders, others) {
		byPool[o.EnginePool] = o
	}
	out := slices.Collect(maps.Values(byPool))
	sortOrders(out)
	return out
}

// Loaded takes what was read.
func (r *Reconciler) Loaded(state StoredState, rev cf.Revision) {
	for _, o := range state.Orders {
		if !slices.Contains(r.stored.Orders, o) {
			delete(r.retries, o.EnginePool) // another order than the one that was refused
		}
	}
	r.known, r.stored, r.rev = true, state, rev
}

// Written takes what was written with an answer. The new revision makes every write before it
// fail.
func (r *Reconciler) Written(state StoredState, rev cf.Revision) {
	r.unconfirmedWrite = false
	r.Loaded(state, rev)
}

// LoadedEmpty notes that nothing lies in the store yet.
func (r *Reconciler) LoadedEmpty() { r.Loaded(StoredState{}, 0) }

// WriteInDoubt notes that a write had no answer, or met another: what lies in the store is to
// be read, and written once more: the write may take effect after the read.
func (r *Reconciler) WriteInDoubt() { r.known, r.unconfirmedWrite = false, true }

// OrderAccepted notes that the platform has taken an order. One of a holder before may take effect
// after it until settled, so it is given once more then.
func (r *Reconciler) OrderAccepted(o cf.EngineOrder, now cf.Millis) {
	_, accepted := r.accepted[o.EnginePool]
	if _, unconfirmed := r.unconfirmed[o.EnginePool]; !accepted && !unconfirmed && now < r.settledAt {
		r.unconfirmed[o.EnginePool] = unconfirmedOrder{mixedCounts, r.settledAt}
	}
	r.accepted[o.EnginePool] = o.Count
	delete(r.retries, o.EnginePool)
	if now >= r.unconfirmed[o.EnginePool].until {
		delete(r.unconfirmed, o.EnginePool)
	}
}

// OrderInDoubt notes that an order had no answer: it may have been taken, or may be yet.
func (r *Reconciler) OrderInDoubt(o cf.EngineOrder, now cf.Millis) {
	d := unconfirmedOrder{o.Count, now + maxOrderDelay}
	previous, unconfirmed := r.unconfirmed[o.EnginePool]
	if now < r.settledAt || unconfirmed && previous.count != o.Count && now < previous.until {
		d.count = mixedCounts
	}
	r.unconfirmed[o.EnginePool] = d
	delete(r.accepted, o.EnginePool)
	r.OrderRejected(o, now)
}

// OrderRejected notes that an order was not taken: what was taken before holds. It is given again,
// each time after a longer pause.
func (r *Reconciler) OrderRejected(o cf.EngineOrder, now cf.Millis) {
	length := min(max(2*r.retries[o.EnginePool].length, initialRetryPause), maxRetryPause)
	r.retries[o.EnginePool] = retryPause{now + length, length}
}

// RepeatOrder makes the order of a pool be given once more.
func (r *Reconciler) RepeatOrder(p cf.EnginePool) { delete(r.accepted, p) }
