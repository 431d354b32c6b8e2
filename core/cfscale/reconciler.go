package cfscale

import (
	"maps"
	"slices"

	cf "currantford"
)

// Kinds of actions.
const (
	// ActionWait means that nothing is due.
	ActionWait ActionKind = iota
	// ActionRead reads the state from the store.
	ActionRead
	// ActionWrite writes Action.State to the store if it is still at revision Action.Rev, or
	// creates it if that is zero.
	ActionWrite
	// ActionOrder sends Action.Order to the platform.
	ActionOrder
)

const (
	// initialRetryPause is the pause after an order that was not answered or was refused. Each
	// further failure doubles it, up to maxRetryPause.
	initialRetryPause cf.Millis = 500
	maxRetryPause     cf.Millis = 8_000
	// maxOrderDelay is how long after it was sent an unanswered order may still take effect. If the
	// platform's API is slow for seconds, it may carry the order out after a later one.
	maxOrderDelay cf.Millis = 6_000
)

// mixedCounts stands for unconfirmed orders with different or unknown counts. No order has this
// count.
const mixedCounts = -1

type (
	// ActionKind is the kind of an action.
	ActionKind int

	// Action is what the caller of a reconciler has to do next.
	Action struct {
		Kind  ActionKind
		State StoredState
		Rev   cf.Revision
		Order cf.EngineOrder
	}

	// StoredState is the state in the store: the number of engines wanted of each pool for which
	// something was ever ordered, and the number of engines that were found in each pool.
	StoredState struct {
		// Term is the term of the lease holder that wrote the state.
		Term        cf.Revision      `json:"term"`
		Orders      []cf.EngineOrder `json:"orders"`
		Preexisting []cf.EngineOrder `json:"found,omitempty"`
	}

	// Reconciler decides what the holder of the duty's lease writes to the store and orders from
	// the platform. It orders only what it has read from the store, or has written there with an
	// answer. Each holder sends every order once, since one that a previous holder stored may not
	// have been sent. Its first write sets its term, so that no write of a previous holder takes
	// effect afterwards. It is not safe for concurrent use.
	Reconciler struct {
		term cf.Revision
		// settledAt is the time from which no order of a previous holder can take effect any more.
		// It is needed because a handover is shorter than maxOrderDelay.
		settledAt cf.Millis
		// known says that the store contains the state in stored, at revision rev.
		known  bool
		stored StoredState
		rev    cf.Revision
		// unconfirmedWrite says that an unanswered write may still take effect, until a later write
		// has an answer.
		unconfirmedWrite bool
		// accepted holds the counts that the platform has accepted from this holder.
		accepted map[cf.EnginePool]int
		retries  map[cf.EnginePool]retryPause
		// unconfirmed holds the orders that may still take effect: the last unanswered one, and
		// those of previous holders.
		unconfirmed map[cf.EnginePool]unconfirmedOrder
	}

	unconfirmedOrder struct {
		// count is the count of the orders, or mixedCounts if they differ or are not known.
		count int
		until cf.Millis
	}

	retryPause struct {
		until, length cf.Millis
	}
)

// NewReconciler returns the reconciler of a duty that starts at now under the given term.
func NewReconciler(term cf.Revision, now cf.Millis) *Reconciler {
	return &Reconciler{term: term, settledAt: now + maxOrderDelay, accepted: map[cf.EnginePool]int{}, retries: map[cf.EnginePool]retryPause{}, unconfirmed: map[cf.EnginePool]unconfirmedOrder{}}
}

// Stored returns the state in the store, and false if it is not known.
func (r *Reconciler) Stored() (StoredState, bool) { return r.stored, r.known }

// Next returns what to do next, given the wanted state. mayOrder reports whether orders may be sent
// for a service.
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

// due reports whether an order has to be sent: the platform has not accepted it from this holder,
// or an unanswered order with another count may have taken effect after it.
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

// merged returns the state's orders, replaced by others for the same pools and extended by those
// for new pools.
func (s StoredState) merged(others []cf.EngineOrder) []cf.EngineOrder {
	byPool := map[cf.EnginePool]cf.EngineOrder{}
	for _, o := range slices.Concat(s.Orders, others) {
		byPool[o.EnginePool] = o
	}
	out := slices.Collect(maps.Values(byPool))
	sortOrders(out)
	return out
}

// Loaded records the state that was read from the store.
func (r *Reconciler) Loaded(state StoredState, rev cf.Revision) {
	for _, o := range state.Orders {
		if !slices.Contains(r.stored.Orders, o) {
			delete(r.retries, o.EnginePool) // this order is not the one that was refused
		}
	}
	r.known, r.stored, r.rev = true, state, rev
}

// Written records a state that was written and confirmed by an answer. The new revision makes every
// earlier write fail.
func (r *Reconciler) Written(state StoredState, rev cf.Revision) {
	r.unconfirmedWrite = false
	r.Loaded(state, rev)
}

// LoadedEmpty records that the store contains no state yet.
func (r *Reconciler) LoadedEmpty() { r.Loaded(StoredState{}, 0) }

// WriteInDoubt records that a write was not answered, or conflicted with another. The state has to
// be read and written once more, since the write may take effect after the read.
func (r *Reconciler) WriteInDoubt() { r.known, r.unconfirmedWrite = false, true }

// OrderAccepted records that the platform has accepted an order. Until settledAt, an order of a
// previous holder may still take effect after it, so the order is sent once more at that time.
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

// OrderInDoubt records that an order was not answered: the platform may have accepted it, or may do
// so later.
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

// OrderRejected records that an order was refused and that the order accepted before remains in
// force. The order is sent again, each time after a longer pause.
func (r *Reconciler) OrderRejected(o cf.EngineOrder, now cf.Millis) {
	length := min(max(2*r.retries[o.EnginePool].length, initialRetryPause), maxRetryPause)
	r.retries[o.EnginePool] = retryPause{now + length, length}
}

// RepeatOrder makes Next send the order for a pool once more.
func (r *Reconciler) RepeatOrder(p cf.EnginePool) { delete(r.accepted, p) }
