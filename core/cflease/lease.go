// Package cflease implements the rules of a lease that is stored as one object in the platform's
// store: when a candidate may acquire it, how long a holder may act, and from when a new holder may
// give orders to targets. The package makes no calls itself.
//
// Not all targets check fencing tokens, so two holders are kept apart by time: a holder acts only
// for Validity after it sent its last successful renewal; a candidate acquires the lease only after
// it has seen no renewal for TakeoverDelay; and a new holder gives no order until HandoverDelay
// after the last possible order of its predecessor. All durations are measured on a clock that
// keeps running while the machine is suspended.
//
// Usage:
//
//	l := cflease.New(self, cflease.DefaultTiming)
//	l.Observe(record.Rev, holder, now)
//	if l.MayAcquire(now) {
//		next := l.Next(addr, now)
//		// write next on condition of l.Rev(), then
//		l.Acquired(rev, next, sentAt, now)
//	}
package cflease

import (
	cf "currantford"
)

type (
	// Timing holds the durations of the lease protocol.
	Timing struct {
		// RenewInterval is the interval at which a holder renews the lease.
		RenewInterval cf.Millis
		// Validity is how long a holder may act after sending a renewal.
		Validity cf.Millis
		// TakeoverDelay is how long a candidate must see no renewal before it acquires the lease.
		// It exceeds Validity by the clock drift to be tolerated.
		TakeoverDelay cf.Millis
		// HandoverDelay is how long a new holder waits before its first order, counted from the
		// last possible order of its predecessor.
		HandoverDelay cf.Millis
	}

	// Holder describes the holder of a lease. It is the spec of the lease's object in the store.
	Holder struct {
		Entry cf.EntryID `json:"entry"`
		Addr  string     `json:"addr"`
		// Term is the fencing token: one more than the revision at which the previous holder was
		// replaced. It only increases.
		Term cf.Revision `json:"term"`
		// Ordering is set once the handover delay has passed, so that a holder that restarts need
		// not wait for its own earlier orders.
		Ordering bool `json:"ordering"`
		// Renewal is incremented by each renewal, so that each one changes the object.
		Renewal int64 `json:"renewal"`
		// Released is set by a holder that stopped as planned.
		Released bool `json:"released,omitempty"`
		// Successor is the instance that the released lease is meant for. Other candidates wait for
		// a short time.
		Successor cf.EntryID `json:"successor,omitempty"`
		// SinceLastOrder is the time from the last possible order, given by this holder or an
		// earlier one, to the release.
		SinceLastOrder cf.Millis `json:"ordered_ago_ms,omitempty"`
		// MaxLoads is the number of engines that may load weights at the same time, as learned by
		// the holder. A successor that does not know it needs some 20 loads to learn it again.
		MaxLoads int `json:"loads,omitempty"`
		// ReplicaAddr is the address of the instance that holds copies of the holder's texts. For a
		// successor that was cut off until now this is the only source of that address.
		ReplicaAddr string `json:"copies,omitempty"`
	}

	// Lease is one candidate's view of a lease. It is not safe for concurrent use.
	Lease struct {
		self   cf.EntryID
		timing Timing

		rev      cf.Revision
		holder   Holder
		exited   bool // the holder's process was found to have ended, at exitedAt
		exitedAt cf.Millis
		seenAt   cf.Millis
		held     bool
		sentAt   cf.Millis
		// mayOrderFrom is the earliest time at which this instance may give orders. lastOrderAt is
		// the latest time at which this instance or an earlier holder may have given one.
		mayOrderFrom cf.Millis
		lastOrderAt  cf.Millis
	}
)

// DefaultTiming suits a store that answers in milliseconds, and targets that must not receive
// orders of two holders within 3 s. A holder can miss one renewal, since another instance takes
// over no earlier than 2.2 s after the last successful one.
var DefaultTiming = Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3000}

// New returns the view of a candidate that has not read the lease yet.
func New(self cf.EntryID, timing Timing) *Lease {
	return &Lease{self: self, timing: timing}
}

// Observe records the lease's object as read from the store at now.
func (l *Lease) Observe(rev cf.Revision, h Holder, now cf.Millis) {
	if rev <= l.rev {
		return
	}
	l.rev, l.holder, l.seenAt, l.exited = rev, h, now, false
	if h.Entry != l.self {
		l.held = false
	}
}

// HolderExited records that the process of the holder with the given term has ended, which shows as
// refused connections. An ended process gives no more orders, so the lease may be acquired before
// it expires; the handover delay still applies.
func (l *Lease) HolderExited(term cf.Revision, now cf.Millis) {
	if l.holder.Term == term && !l.held && !l.exited {
		l.exited, l.exitedAt = true, now
	}
}

// Abandoned reports whether the holder is known to have stopped.
func (l *Lease) Abandoned() bool { return l.exited || l.holder.Released }

// MayAcquire reports whether a write on condition of Rev may acquire the lease: it has no holder,
// the holder has stopped or its time has passed, or the holder was this instance before a restart.
// A released lease that names a successor is left to it for successorPriority.
func (l *Lease) MayAcquire(now cf.Millis) bool {
	if l.held {
		return false
	}
	h := l.holder
	if h.Released && h.Successor != "" && h.Successor != l.self && now-l.seenAt < successorPriority {
		return false
	}
	return h.Entry == "" || h.Entry == l.self || l.Abandoned() || now-l.seenAt >= l.timing.TakeoverDelay
}

// successorPriority is how long a named successor has precedence over other candidates for a
// released lease. It covers two of the successor's reads of the store.
const successorPriority cf.Millis = 700

// Rev returns the revision on which the next write must be conditional. Zero means that the object
// must be created.
func (l *Lease) Rev() cf.Revision { return l.rev }

// Holder returns the holder that was last observed.
func (l *Lease) Holder() Holder { return l.holder }

// Next returns the object to write in order to acquire or renew the lease at now.
func (l *Lease) Next(addr string, now cf.Millis) Holder {
	h := l.holder
	if !l.held {
		// After a restart the instance is still the same holder to targets, but its term must
		// exceed that of the orders it sent before.
		h.Term = l.rev + 1
		h.Ordering = h.Ordering && h.Entry == l.self
	} else if now >= l.mayOrderFrom {
		h.Ordering = true
	}
	h.Entry, h.Addr, h.Released, h.Successor, h.SinceLastOrder = l.self, addr, false, "", 0
	h.Renewal++
	return h
}

// Acquired records that the write of h, sent at sentAt, took effect as revision rev.
func (l *Lease) Acquired(rev cf.Revision, h Holder, sentAt, now cf.Millis) {
	if rev <= l.rev {
		return
	}
	if !l.held {
		l.lastOrderAt = l.latestPriorOrder(now)
		l.mayOrderFrom = l.lastOrderAt + l.timing.HandoverDelay
		if h.Ordering || l.holder.Entry == "" {
			l.mayOrderFrom, l.lastOrderAt = now, now
		}
	}
	l.rev, l.holder, l.seenAt, l.exited = rev, h, now, false
	l.held, l.sentAt = true, sentAt
}

// latestPriorOrder returns the latest time at which an earlier holder may have given an order. This
// instance has just replaced that holder on condition of the last observed revision, so nothing was
// written in between. Until HandoverDelay after that time no engine follows a new weight version.
func (l *Lease) latestPriorOrder(now cf.Millis) cf.Millis {
	switch {
	case l.holder.Released:
		return now - min(l.holder.SinceLastOrder, l.timing.HandoverDelay)
	case l.exited:
		return min(l.exitedAt, now) // its process had ended by then
	default:
		return min(l.seenAt+l.timing.TakeoverDelay, now) // its last renewal had expired by then
	}
}

// Held reports whether this instance is the holder as far as it knows. While the store is
// unreachable a holder cannot renew the lease and no other instance can acquire it: the holder
// continues with work that requires no valid lease.
func (l *Lease) Held() bool { return l.held }

// StoreUnreachable records that the store could not be reached at now; answeredAt is when the
// holder last answered other instances. A holder that still answers is merely unable to renew, and
// gets the full takeover delay once the store is reachable again. A holder that is silent may be
// gone, and is replaced as soon as the store is reachable.
func (l *Lease) StoreUnreachable(now, answeredAt cf.Millis) {
	if now-answeredAt < holderAnswerTimeout {
		l.seenAt = now
	}
}

// holderAnswerTimeout is how long a holder may fail to answer other instances before a store outage
// no longer extends its lease. It covers two of their calls.
const holderAnswerTimeout cf.Millis = 1500

// Lost records that another instance holds the lease, or that this is unknown.
func (l *Lease) Lost() { l.held = false }

// Valid reports whether this instance may act as the holder at now.
func (l *Lease) Valid(now cf.Millis) bool {
	return l.held && now-l.sentAt < l.timing.Validity
}

// MayOrder reports whether this instance may give orders to targets at now.
func (l *Lease) MayOrder(now cf.Millis) bool {
	return l.Valid(now) && now >= l.mayOrderFrom
}

// RecordOrder records that an order is given at now, or was answered at now.
func (l *Lease) RecordOrder(now cf.Millis) { l.lastOrderAt = max(l.lastOrderAt, now) }

// Release returns the object to write in order to release the lease at now, to successor unless
// that is empty, and false if the lease is known to be another's. All calls of the holder must have
// ended.
func (l *Lease) Release(successor cf.EntryID, now cf.Millis) (Holder, bool) {
	h := l.holder
	if h.Entry != l.self {
		return h, false
	}
	h.Released, h.Successor = true, successor
	h.SinceLastOrder = max(now-l.lastOrderAt, 0)
	return h, true
}

// RenewDue reports whether the holder should renew the lease at now.
func (l *Lease) RenewDue(now cf.Millis) bool {
	return l.held && now-l.sentAt >= l.timing.RenewInterval
}

// SentAt returns when the last renewal that took effect was sent.
func (l *Lease) SentAt() cf.Millis { return l.sentAt }

// Term returns the fencing token for orders.
func (l *Lease) Term() cf.Revision { return l.holder.Term }
