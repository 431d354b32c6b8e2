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

	// heldName is the object that holds what is held, heldSource names it in logs.
	heldName   = "held"
	heldSource = "store"
	// heldMost bounds the requests in it and in an answer, 1,000 bytes each at the most.
	heldMost = 256
	// heldTimeout bounds the question what another instance holds.
	heldTimeout = 400 * time.Millisecond
	// heldRetry spaces the tries to read or write what is held.
	heldRetry cf.Millis = 500
	// informEvery spaces the tries of a starting instance to learn what is held.
	informEvery cf.Millis = 500
)

type (
	// heldObject is what is held as it is kept in the store.
	heldObject struct {
		SavedAt cf.Millis             `json:"saved_ms"` // wall clock, as of which the ages are
		Strikes []cfquarantine.Strike `json:"strikes"`
	}

	// heldAnswer is what another instance holds; Informed says that this is all.
	heldAnswer struct {
		Informed bool                  `cbor:"informed"`
		Strikes  []cfquarantine.Strike `cbor:"strikes"`
	}
)

// inform takes what others hold, all of it: requests may be sent on from then on.
func (q *quarantine) inform(source string, held []cfquarantine.Strike) {
	if !q.guard.Sync(source, held) {
		return
	}
	_, n := q.guard.Table.HeldStrikes(0, cf.Uptime())
	q.node.log.Info("held_requests_known", zap.String("source", source), zap.Int("held", n),
		zap.Int64("since_start_ms", int64(cf.Uptime()-q.node.started)))
}

// informBy informs a starting instance by one with current word, before it takes the
// configuration that comes with that word.
func (q *quarantine) informBy(addr string, theirs cfquarantine.Checksums) {
	if q.guard.Table.Checksums().Held == theirs.Held {
		q.inform(addr, nil)
		return
	}
	answer, err := q.askHeld(addr)
	switch {
	case err != nil:
		q.node.log.Info("held_not_told", zap.String("addr", addr), cflog.Error(err))
	case answer.Informed:
		q.inform(addr, answer.Strikes)
	}
}

// informAlone informs a starting instance that nobody tells: it tries once as it begins to
// ask the store for a configuration, and from then on when it has one, by which it could forward.
func (q *quarantine) informAlone(now cf.Millis, configured bool) {
	q.mu.Lock()
	due := q.triedAlone == 0 || configured && (!q.triedConfigured || now-q.triedAlone >= informEvery)
	if due {
		q.triedAlone, q.triedConfigured = now, configured
	}
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		if err := q.learnAlone(); err != nil {
			q.node.log.Info("held_not_known", cflog.Error(err))
		}
	})
}

// learnAlone takes what is held from the store, and from the coordinator, if it answers: it
// may know of what the store was not there to keep.
func (q *quarantine) learnAlone() error {
	loaded := make(chan error, 1)
	q.node.wg.Go(func() { loaded <- q.load() })
	holder, err := q.node.candidate.read(q.node.ctx)
	if err = errors.Join(err, <-loaded); err != nil {
		return err
	}
	silent := q.node.feed.silent.Load()
	if holder.Entry != "" && holder.Entry != q.node.settings.Entry && (silent == nil || *silent != holder.Addr) {
		answer, err := q.askHeld(holder.Addr)
		if err != nil {
			q.node.log.Info("held_not_told", zap.String("addr", holder.Addr), cflog.Error(err))
		}
		q.guard.Merge(holder.Entry, answer.Strikes)
	}
	q.inform(heldSource, nil)
	return nil
}

// askHeld asks another instance for all that it holds.
func (q *quarantine) askHeld(addr string) (heldAnswer, error) {
	ctx, cancel := context.WithTimeout(q.node.ctx, heldTimeout)
	defer cancel()
	var answer heldAnswer
	err := q.node.peers.Call(ctx, addr, opHeld, struct{}{}, &answer)
	return answer, err
}

// serveHeld tells another instance what is held here.
func (q *quarantine) serveHeld(context.Context, struct{}) (any, error) {
	held, _ := q.guard.Table.HeldStrikes(heldMost, cf.Uptime())
	return heldAnswer{Informed: q.guard.Synced(), Strikes: held}, nil
}

// keep writes what is held to the store whenever it has changed. It first reads what a
// coordinator before has written.
func (q *quarantine) keep(now cf.Millis) {
	sum := q.guard.Table.Checksums().Held
	holder, _ := q.node.candidate.holder()
	term := holder.Term
	q.mu.Lock()
	fresh := q.term != term
	due := !q.busy && now >= q.storeAt && (fresh || sum != q.stored)
	q.busy = q.busy || due
	q.mu.Unlock()
	if !due {
		return
	}
	q.node.wg.Go(func() {
		var err error
		if fresh {
			if err = q.load(); err == nil {
				q.inform(heldSource, nil)
			}
		} else {
			err = q.save(sum)
		}
		q.done(err, term)
	})
}

func (q *quarantine) done(err error, term cf.Revision) {
	if err != nil {
		q.node.log.Info("held_not_kept", cflog.Error(err))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy = false
	if err != nil {
		q.storeAt = cf.Uptime() + heldRetry
		return
	}
	q.term = max(q.term, term)
}

// load takes what lies in the store.
func (q *quarantine) load() error {
	r, err := q.node.adapter.Store.Get(q.node.ctx, cf.KindQuarantine, heldName)
	if errors.Is(err, cf.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	q.take(r)
	return nil
}

// take takes the object with what is held. One that can't be read tells nothing, and is
// replaced at the next change.
func (q *quarantine) take(r cf.Record) {
	q.mu.Lock()
	q.storedRev = r.Rev
	q.mu.Unlock()
	var o heldObject
	if err := json.Unmarshal(r.Spec, &o); err != nil {
		q.node.log.Error("held_not_read", zap.Int64("revision", int64(r.Rev)), cflog.Error(err))
		return
	}
	since := max(cf.Now()-o.SavedAt, 0)
	for i := range o.Strikes {
		o.Strikes[i].Age += since
	}
	q.guard.Merge(heldSource, o.Strikes)
}

// save writes what is held, as of a sum.
func (q *quarantine) save(sum uint64) error {
	strikes, _ := q.guard.Table.HeldStrikes(heldMost, cf.Uptime())
	o := heldObject{SavedAt: cf.Now(), Strikes: strikes}
	q.mu.Lock()
	rev := q.storedRev
	q.mu.Unlock()
	store := q.node.adapter.Store
	var r cf.Record
	var err error
	if rev == 0 {
		r, err = store.Create(q.node.ctx, cf.KindQuarantine, heldName, o)
	} else {
		r, err = store.Replace(q.node.ctx, cf.KindQuarantine, heldName, rev, o)
	}
	if err != nil {
		// Another has written, or this write took effect without its answer: what
		// lies there is read, and written once more with it.
		return errors.Join(err, q.load())
	}
	q.mu.Lock()
	q.stored, q.storedRev = sum, r.Rev
	q.mu.Unlock()
	if r.Rev == 0 { // it was a large one
		return q.load()
	}
	return nil
}
