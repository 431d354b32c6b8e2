package cfnode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/io/cflog"
)

const (
	opHeld = "held"

	// heldObjectName is the name of the stored object with the held requests; heldSource names the
	// store in logs.
	heldObjectName = "held"
	heldSource     = "store"
	// maxHeldRequests bounds the requests in that object and in an answer, of at most 1,000 bytes
	// each.
	maxHeldRequests = 256
	// heldTimeout bounds the call that asks another instance for its held requests.
	heldTimeout = 400 * time.Millisecond
	// heldRetryDelay is the delay after a failed read or write of the held requests.
	heldRetryDelay cf.Millis = 500
	// selfSyncInterval is the minimum time between the tries of a starting instance to learn the
	// held requests by itself.
	selfSyncInterval cf.Millis = 500
)

type (
	// heldObject is the stored form of the held requests.
	heldObject struct {
		SavedAt cf.Millis             `json:"saved_ms"` // wall clock time to which the strikes' ages refer
		Strikes []cfquarantine.Strike `json:"strikes"`
	}

	// heldAnswer holds the strikes of an instance's held requests. Synced reports that the instance
	// knows all held requests.
	heldAnswer struct {
		Synced  bool                  `cbor:"informed"`
		Strikes []cfquarantine.Strike `cbor:"strikes"`
	}
)

// sync merges the strikes of all requests that other instances hold. Requests may be forwarded from
// then on.
func (q *quarantine) sync(source string, held []cfquarantine.Strike) {
	if !q.guard.Sync(source, held) {
		return
	}
	_, n := q.guard.Table.HeldStrikes(0, cf.Uptime())
	q.node.log.Info("held_requests_known", zap.String("source", source), zap.Int("held", n),
		zap.Int64("since_start_ms", int64(cf.Uptime()-q.node.startedAt)))
}

// syncFromPeer synchronises a starting instance with one that has a current view, before the
// configuration of that view is applied.
func (q *quarantine) syncFromPeer(addr string, theirs cfquarantine.Checksums) {
	if q.guard.Table.Checksums().Held == theirs.Held {
		q.sync(addr, nil)
		return
	}
	answer, err := q.fetchHeld(addr)
	switch {
	case err != nil:
		q.node.log.Info("held_not_told", zap.String("addr", addr), cflog.Error(err))
	case answer.Synced:
		q.sync(addr, answer.Strikes)
	}
}

// startSelfSync synchronises a starting instance that receives no updates. It tries once when the
// instance begins to read the configuration from the store, and repeatedly once there is a
// configuration with which the instance could forward.
func (q *quarantine) startSelfSync(now cf.Millis, configured bool) {
	q.mu.Lock()
	due := q.selfSyncAt == 0 || configured && (!q.selfSyncConfigured || now-q.selfSyncAt >= selfSyncInterval)
	if due {
		q.selfSyncAt, q.selfSyncConfigured = now, configured
	}
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		if err := q.selfSync(); err != nil {
			q.node.log.Info("held_not_known", cflog.Error(err))
		}
	})
}

// selfSync merges the held requests in the store and those of the coordinator, if it answers: the
// coordinator may know of some that were never stored, because the store was unavailable.
func (q *quarantine) selfSync() error {
	loaded := make(chan error, 1)
	q.node.wg.Go(func() { loaded <- q.load() })
	holder, err := q.node.candidate.readLease(q.node.ctx)
	if err = errors.Join(err, <-loaded); err != nil {
		return err
	}
	unresponsive := q.node.feed.unresponsiveAddr.Load()
	if holder.Entry != "" && holder.Entry != q.node.settings.Entry && (unresponsive == nil || *unresponsive != holder.Addr) {
		answer, err := q.fetchHeld(holder.Addr)
		if err != nil {
			q.node.log.Info("held_not_told", zap.String("addr", holder.Addr), cflog.Error(err))
		}
		q.guard.Merge(holder.Entry, answer.Strikes)
	}
	q.sync(heldSource, nil)
	return nil
}

// fetchHeld asks another instance for all requests that it holds.
func (q *quarantine) fetchHeld(addr string) (heldAnswer, error) {
	ctx, cancel := context.WithTimeout(q.node.ctx, heldTimeout)
	defer cancel()
	var answer heldAnswer
	err := q.node.peers.Call(ctx, addr, opHeld, struct{}{}, &answer)
	return answer, err
}

// serveHeld returns the requests held here to another instance.
func (q *quarantine) serveHeld(context.Context, struct{}) (any, error) {
	held, _ := q.guard.Table.HeldStrikes(maxHeldRequests, cf.Uptime())
	return heldAnswer{Synced: q.guard.Synced(), Strikes: held}, nil
}

// persist writes the held requests to the store whenever they have changed. In a new term it first
// reads what a previous coordinator has written.
func (q *quarantine) persist(now cf.Millis) {
	sum := q.guard.Table.Checksums().Held
	holder, _ := q.node.candidate.holder()
	term := holder.Term
	q.mu.Lock()
	newTerm := q.loadedTerm != term
	due := !q.persisting && now >= q.persistAt && (newTerm || sum != q.storedSum)
	q.persisting = q.persisting || due
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		var err error
		if newTerm {
			if err = q.load(); err == nil {
				q.sync(heldSource, nil)
			}
		} else {
			err = q.save(sum)
		}
		q.endPersist(err, term)
	})
}

func (q *quarantine) endPersist(err error, term cf.Revision) {
	if err != nil {
		q.node.log.Info("held_not_kept", cflog.Error(err))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.persisting = false
	if err != nil {
		q.persistAt = cf.Uptime() + heldRetryDelay
		return
	}
	q.loadedTerm = max(q.loadedTerm, term)
}

// load merges the stored held requests.
func (q *quarantine) load() error {
	r, err := q.node.adapter.Store.Get(q.node.ctx, cf.KindQuarantine, heldObjectName)
	if errors.Is(err, cf.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	q.applyStored(r)
	return nil
}

// applyStored merges the stored object. An unreadable object is ignored and replaced at the next
// change.
func (q *quarantine) applyStored(r cf.Record) {
	q.mu.Lock()
	q.storedRev = r.Rev
	q.mu.Unlock()
	var o heldObject
	if err := json.Unmarshal(r.Spec, &o); err != nil {
		q.node.log.Error("held_not_read", zap.Int64("revision", int64(r.Rev)), cflog.Error(err))
		return
	}
	elapsed := max(cf.Now()-o.SavedAt, 0)
	for i := range o.Strikes {
		o.Strikes[i].Age += elapsed
	}
	q.guard.Merge(heldSource, o.Strikes)
}

// save writes the held requests whose checksum is sum.
func (q *quarantine) save(sum uint64) error {
	strikes, _ := q.guard.Table.HeldStrikes(maxHeldRequests, cf.Uptime())
	o := heldObject{SavedAt: cf.Now(), Strikes: strikes}
	q.mu.Lock()
	rev := q.storedRev
	q.mu.Unlock()
	store := q.node.adapter.Store
	var r cf.Record
	var err error
	if rev == 0 {
		r, err = store.Create(q.node.ctx, cf.KindQuarantine, heldObjectName, o)
	} else {
		r, err = store.Replace(q.node.ctx, cf.KindQuarantine, heldObjectName, rev, o)
	}
	if err != nil {
		// Another instance has written the object, or this write took effect without an answer. The
		// stored object is merged and written again with the result.
		return errors.Join(err, q.load())
	}
	q.mu.Lock()
	q.storedSum, q.storedRev = sum, r.Rev
	q.mu.Unlock()
	if r.Rev == 0 { // The store returned no revision, as the object is large.
		return q.load()
	}
	return nil
}
