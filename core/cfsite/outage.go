package cfsite

import (
	"sync"

	cf "currantford"
)

// lapseGrace is how long after the store's return an entry may be missing. Entries lapse while the
// store is unavailable, and live targets are listed again within two seconds. Dropping the entries
// at once would leave services without targets just after each outage.
const lapseGrace cf.Millis = 2200

// outages tells outages of the store, in which entries of live targets may lapse, from failures of
// single calls. A failed call is no evidence of an outage if another call is answered meanwhile,
// directly or through another instance. It is safe for concurrent use.
type outages struct {
	mu sync.Mutex
	// shortest is the duration of the shortest outage in which an entry can lapse, one interval
	// between heartbeats. An entry lapses three intervals after the last heartbeat that the store
	// accepted, so at least two in a row must fail.
	shortest cf.Millis
	// failing is set while no call is answered, since that time.
	failing bool
	since   cf.Millis
	// answeredAt is when a call was last answered. endedAt is when the last outage ended, zero if
	// there was none. endRev is the first revision known after it, zero until one is known.
	answeredAt, endedAt cf.Millis
	endRev              cf.Revision
}

// failed records a failed call; the store may have been unavailable since the given time.
func (o *outages) failed(since cf.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since = max(since, o.answeredAt)
	if !o.failing || since < o.since {
		o.failing, o.since = true, since
	}
}

// answered records that the store has answered a call, and its revision, zero if the answer does not
// state it. It returns the duration of the outage that this ends, zero if there was none.
func (o *outages) answered(rev cf.Revision, now cf.Millis) (outage cf.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outage = o.current(now); outage > 0 {
		o.endedAt, o.endRev = now, 0
	}
	o.failing = o.failing && now < o.since // an answer to another instance may be reported late
	o.answeredAt = max(o.answeredAt, now)
	if o.endRev == 0 {
		o.endRev = rev
	}
	return outage
}

// current returns the duration of the outage that is in progress, zero if there is none. o.mu is held.
func (o *outages) current(now cf.Millis) cf.Millis {
	if !o.failing || now-o.since < o.shortest {
		return 0
	}
	return now - o.since
}

// inGrace reports whether the grace period after an outage is in progress.
func (o *outages) inGrace(now cf.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.endedAt > 0 && now < o.endedAt+lapseGrace
}

// inProgress reports whether an outage is in progress.
func (o *outages) inProgress(now cf.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current(now) > 0
}

// endedBefore reports whether a revision is known to be later than the last outage.
func (o *outages) endedBefore(rev cf.Revision) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.endRev > 0 && rev > o.endRev
}

// StoreFailed records a call that the store did not answer, or turned away. The store may have been
// unavailable since the given time.
func (s *Site) StoreFailed(since cf.Millis) { s.outages.failed(since) }

// StoreAnswered records that the store has answered a call, of this instance or of another one, and
// its revision, zero if the answer does not state it. It returns the duration of the outage that this
// ends, zero if there was none in which entries of live targets may have lapsed.
func (s *Site) StoreAnswered(rev cf.Revision, now cf.Millis) (outage cf.Millis) {
	return s.outages.answered(rev, now)
}

// DropLapsed removes the lapsed entries that were not listed again during the grace period, unless
// the store is away again. It returns them.
func (s *Site) DropLapsed(now cf.Millis) []cf.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outages.inGrace(now) || s.outages.inProgress(now) {
		return nil
	}
	var removed []cf.Target
	for id, e := range s.targets {
		if e.lapsed {
			removed = append(removed, e.target)
			s.removeTarget(id)
		}
	}
	if len(removed) > 0 {
		s.notify()
		s.relay.flush()
	}
	return removed
}

// keepLapsed reports whether a vanished entry is kept for now, because it may have lapsed in an
// outage of the store. A target that has written its entry since the outage has left instead. s.mu
// is held.
func (s *Site) keepLapsed(e targetEntry, now cf.Millis) bool {
	return s.outages.inGrace(now) && !e.target.Draining && !s.outages.endedBefore(e.written)
}
