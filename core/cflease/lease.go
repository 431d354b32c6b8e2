// Package cflease decides about a lease that is kept as one object of the
// platform's store: when a candidate may take it, how long a holder may act,
// and from when on it may give orders to targets. It makes no calls itself.
//
// Targets do not all check fencing numbers, so time keeps two holders apart:
// a holder acts only for Validity after it sent its last successful renewal;
// a candidate takes the lease only after it saw no renewal for Takeover; and
// a new holder gives no order for Handover after it took the lease. All spans
// are measured on a clock that goes on while the machine is suspended.
//
// Usage:
//
//	l := cflease.New(self, cflease.DefaultTiming)
//	l.Observe(record.Rev, holder, now)
//	if l.MayAcquire(now) {
//		// write the object on condition of l.Rev(), then
//		l.Acquired(rev, sentAt)
//	}
package cflease

import (
	cf "currantford"
)

type (
	// Timing are the spans of the protocol.
	Timing struct {
		// RenewInterval is how often a holder renews.
		RenewInterval cf.Millis
		// Validity is how long a holder acts after sending a renewal.
		Validity cf.Millis
		// TakeoverDelay is how long a candidate sees no renewal before it takes
		// the lease; it is longer than Validity by the clocks' drift.
		TakeoverDelay cf.Millis
		// HandoverDelay is how long a new holder waits before its first order.
		HandoverDelay cf.Millis
	}

	// Holder is the spec of a lease's object.
	Holder struct {
		Entry cf.EntryID `json:"entry"`
		Addr  string     `json:"addr"`
		// Term is one more than the revision at which the holder before this
		// one was replaced; it only grows, and is the fencing number.
		Term cf.Revision `json:"term"`
		// Ordering is set once the handover has passed: a holder that
		// restarts need not wait for itself.
		Ordering bool `json:"ordering"`
		// Renewal makes each renewal a change of the object.
		Renewal int64 `json:"renewal"`
		// Released is set by a holder that stopped as planned.
		Released bool `json:"released,omitempty"`
		// Successor is the instance that it would have take the lease; the
		// others wait a little.
		Successor cf.EntryID `json:"successor,omitempty"`
		// SinceLastOrder is how long before its release the last order may have
		// been given, by it or by a holder before.
		SinceLastOrder cf.Millis `json:"ordered_ago_ms,omitempty"`
		// MaxLoads is how many engines may load weights at once, as the holder has
		// learned. It takes a successor some 20 loads to learn it again.
		MaxLoads int `json:"loads,omitempty"`
		// ReplicaAddr is the address of the instance that has copies of the holder's
		// texts. A successor that was cut off until now knows no other.
		ReplicaAddr string `json:"copies,omitempty"`
	}

	// Lease is one candidate's view of a lease. It is not safe for
	// concurrent use.
	Lease struct {
		self   cf.EntryID
		bounds Timing

		rev    cf.Revision
		holder Holder
		dead   bool // the holder's process has ended, as seen at deadAt
		deadAt cf.Millis
		seenAt cf.Millis
		held   bool
		sentAt cf.Millis
		// orderAt is when this instance may order; orderedAt is the latest
		// moment at which it or a holder before it may have ordered.
		orderAt   cf.Millis
		orderedAt cf.Millis
	}
)

// DefaultTiming suit a store that answers in milliseconds and targets that
// must not hear two holders within 3 s. A holder survives one lost renewal;
// another takes over 2.2 s after the last one.
var DefaultTiming = Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3000}

// New returns the view of a candidate that has seen nothing.
func New(self cf.EntryID, bounds Timing) *Lease {
	return &Lease{self: self, bounds: bounds}
}

// Observe takes the lease's object as read from the store at now.
func (l *Lease) Observe(rev cf.Revision, h Holder, now cf.Millis) {
	if rev <= l.rev {
		return
	}
	l.rev, l.holder, l.seenAt, l.dead = rev, h, now, false
	if h.Entry != l.self {
		l.held = false
	}
}

// HolderExited records that the process of the holder of term has ended: its
// machine refuses connections. It acts no more, so the lease need not run
// out; the handover is still waited for.
func (l *Lease) HolderExited(term cf.Revision, now cf.Millis) {
	if l.holder.Term == term && !l.held && !l.dead {
		l.dead, l.deadAt = true, now
	}
}

// Abandoned says whether the holder is known to have stopped.
func (l *Lease) Abandoned() bool { return l.dead || l.holder.Released }

// MayAcquire says whether a conditional write at Rev may take the lease: there
// is no holder, its time has passed, or it was this instance before a
// restart.
func (l *Lease) MayAcquire(now cf.Millis) bool {
	if l.held {
		return false
	}
	h := l.holder
	if h.Released && h.Successor != "" && h.Successor != l.self && now-l.seenAt < successorTime {
		return false
	}
	return h.Entry == "" || h.Entry == l.self || l.Abandoned() || now-l.seenAt >= l.bounds.TakeoverDelay
}

// successorTime is how long a named successor has before any other instance may
// take a released lease: two of its looks at the store.
const successorTime cf.Millis = 700

// Rev is the revision on which the next write must be conditional; zero
// means that the object must be created.
func (l *Lease) Rev() cf.Revision { return l.rev }

// Holder is the holder last seen.
func (l *Lease) Holder() Holder { return l.holder }

// Next returns the object to write to take or renew the lease at now.
func (l *Lease) Next(addr string, now cf.Millis) Holder {
	h := l.holder
	if !l.held {
		// The same instance, restarted, is the same holder to a target, but
		// its number must still grow beyond that of orders it sent before.
		h.Term = l.rev + 1
		h.Ordering = h.Ordering && h.Entry == l.self
	} else if now >= l.orderAt {
		h.Ordering = true
	}
	h.Entry, h.Addr, h.Released, h.Successor, h.SinceLastOrder = l.self, addr, false, "", 0
	h.Renewal++
	return h
}

// Acquired records that the write of h, sent at sentAt, took effect as rev.
func (l *Lease) Acquired(rev cf.Revision, h Holder, sentAt, now cf.Millis) {
	if rev <= l.rev {
		return
	}
	if !l.held {
		l.orderedAt = l.lastOrder(now)
		l.orderAt = l.orderedAt + l.bounds.HandoverDelay
		if h.Ordering || l.holder.Entry == "" {
			l.orderAt, l.orderedAt = now, now
		}
	}
	l.rev, l.holder, l.seenAt, l.dead = rev, h, now, false
	l.held, l.sentAt = true, sentAt
}

// lastOrder returns the latest moment at which a holder before may have given an
// order, for an instance that has just replaced it on condition of the revision
// last seen: none was written since. Until the handover has passed from then on
// no engine follows a new version.
func (l *Lease) lastOrder(now cf.Millis) cf.Millis {
	switch {
	case l.holder.Released:
		return now - min(l.holder.SinceLastOrder, l.bounds.HandoverDelay)
	case l.dead:
		return min(l.deadAt, now) // its process had ended
	default:
		return min(l.seenAt+l.bounds.TakeoverDelay, now) // its last renewal was over
	}
}

// Held says whether this instance is the holder as far as it knows. While the
// store is away a holder can't renew, and nobody can take over: it goes on
// with what needs no lease.
func (l *Lease) Held() bool { return l.held }

// StoreUnreachable records that the store was not reached at now; the holder last
// answered its peers at heard. One that answers has not stopped, it can't renew,
// and gets the whole takeover time once the store is back. One that is silent may
// be gone, and is replaced as soon as the store is back.
func (l *Lease) StoreUnreachable(now, heard cf.Millis) {
	if now-heard < holderSilence {
		l.seenAt = now
	}
}

// holderSilence is how long a holder may not answer its peers before an outage
// of the store is no excuse for it: two of their calls.
const holderSilence cf.Millis = 1500

// Lost records that another holds the lease or that it can't be told.
func (l *Lease) Lost() { l.held = false }

// Valid says whether this instance may act as the holder at now.
func (l *Lease) Valid(now cf.Millis) bool {
	return l.held && now-l.sentAt < l.bounds.Validity
}

// MayOrder says whether this instance may give orders to targets at now.
func (l *Lease) MayOrder(now cf.Millis) bool {
	return l.Valid(now) && now >= l.orderAt
}

// RecordOrder records that an order is given, or has just been answered, at now.
func (l *Lease) RecordOrder(now cf.Millis) { l.orderedAt = max(l.orderedAt, now) }

// Release returns the object to write to give the lease up at now, to successor
// where there is one. The holder has ended all its calls.
func (l *Lease) Release(successor cf.EntryID, now cf.Millis) Holder {
	h := l.holder
	h.Released, h.Successor = true, successor
	h.SinceLastOrder = max(now-l.orderedAt, 0)
	return h
}

// RenewDue says whether the holder should renew at now.
func (l *Lease) RenewDue(now cf.Millis) bool {
	return l.held && now-l.sentAt >= l.bounds.RenewInterval
}

// SentAt is when the last renewal that took effect was sent.
func (l *Lease) SentAt() cf.Millis { return l.sentAt }

// Term is the fencing number for orders.
func (l *Lease) Term() cf.Revision { return l.holder.Term }
