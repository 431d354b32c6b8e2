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

	// heldObjectName is the object that holds what is held, heldSource names it in logs.
	heldObjectName = "held"
	heldSource     = "store"
	// maxHeldStrikes bounds the requests in it and in an answer, 1,000 bytes each at the most.
	maxHeldStrikes = 256
	// heldTimeout bounds the question what another instance holds.
	heldTimeout = 400 * time.Millisecond
	// heldRetryDelay spaces the tries to read or write what is held.
	heldRetryDelay cf.Millis = 500
	// selfSyncInterval spaces the tries of a starting instance to learn what is held.
	selfSyncInterval cf.Millis = 500
)

type (
	// heldObject is what is held as it is kept in the store.
	heldObject struct {
		SavedAt cf.Millis             `json:"saved_ms"` // wall clock, as of which the ages are
		Strikes []cfquarantine.Strike `json:"strikes"`
	}

	// heldAnswer is what another instance holds; Informed says that this is all.
	heldAnswer struct {
		Synced  bool                  `cbor:"informed"`
		Strikes []cfquarantine.Strike `cbor:"strikes"`
	}
)

// sync takes what others hold, all of it: requests may be sent on from then on.
func (q *quarantine) sync(source string, held []cfquarantine.Strike) {
	if !q.guard.Inform(source, held) {
		return
	}
	_, n := q.guard.Table.HeldStrikes(0, cf.Uptime())
	q.node.log.Info("held_requests_known", zap.String("source", source), zap.Int("held", n),
		zap.Int64("since_start_ms", int64(cf.Uptime()-q.node.startedAt)))
}

// syncFromPeer informs a starting instance by one with current word, before it takes the
// configuration that comes with that word.
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

// startSelfSync informs a starting instance that nobody tells: it tries once as it begins to
// ask the store for a configuration, and from then on when it has one, by which it could forward.
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

// selfSync takes what is held from the store, and from the coordinator, if it answers: it
// may know of what the store was not there to keep.
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
		q.guard.Learn(holder.Entry, answer.Strikes)
	}
	q.sync(heldSource, nil)
	return nil
}

// fetchHeld asks another instance for all that it holds.
func (q *quarantine) fetchHeld(addr string) (heldAnswer, error) {
	ctx, cancel := context.WithTimeout(q.node.ctx, heldTimeout)
	defer cancel()
	var answer heldAnswer
	err := q.node.peers.Call(ctx, addr, opHeld, struct{}{}, &answer)
	return answer, err
}

// serveHeld tells another instance what is held here.
func (q *quarantine) serveHeld(context.Context, struct{}) (any, error) {
	held, _ := q.guard.Table.HeldStrikes(maxHeldStrikes, cf.Uptime())
	return heldAnswer{Synced: q.guard.Informed(), Strikes: held}, nil
}

// persist writes what is held to the store whenever it has changed. It first reads what a
// coordinator before has written.
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

// load takes what lies in the store.
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

// applyStored takes the object with what is held. One that can't be read tells nothing, and is
// replaced at the next change.
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
	q.guard.Learn(heldSource, o.Strikes)
}

// save writes what is held, as of a sum.
func (q *quarantine) save(sum uint64) error {
	strikes, _ := q.guard.Table.HeldStrikes(maxHeldStrikes, cf.Uptime())
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
		// Another has written, or this write took effect without its answer: what
		// lies there is read, and written once more with it.
		return errors.Join(err, q.load())
	}
	q.mu.Lock()
	q.storedSum, q.storedRev = sum, r.Rev
	q.mu.Unlock()
	if r.Rev == 0 { // it was a large one
		return q.load()
	}
	return nil
}
