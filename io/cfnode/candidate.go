package cfnode

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

const (
	leaseName = "coordinator"
	// candidateInterval is how often a candidate or holder looks at its clock.
	candidateInterval = 100 * time.Millisecond
	// probeInterval is how often a candidate without word of the coordinator
	// reads the lease.
	probeInterval cf.Millis = 600
	// renewRetryDelay is the pause after a renewal that failed: less than half of
	// a lease's validity, and not a call at each tick of an outage.
	renewRetryDelay cf.Millis = 300
	// maxLapse is how long a holder that can't renew goes on. All steps
	// that it knows are over by then.
	maxLapse cf.Millis = 15000
	// slowProbeInterval is how often an instance reads the lease that leaves that to the
	// scouts for a while: a new holder tells all others.
	slowProbeInterval cf.Millis = 2000
	// deniedProbeInterval is the same while the holder denies that it is: after a
	// planned stop the lease is free, and every moment of it is idle time.
	deniedProbeInterval cf.Millis = 250
	// maxAcquireDelay draws the moment of a takeover at random, so that usually
	// one instance writes and the others see its lease.
	maxAcquireDelay = 250 * time.Millisecond
	// strongerWait is how long an instance leaves a free duty to stronger ones, from
	// when the store answers: one of their looks, and their draw. From a weak one it
	// would go to a strong one with another pause of the orders.
	strongerWait = 900 * time.Millisecond
)

// leaseObject is the lease as it lies in the store, with what its holder leaves to a
// successor. No instance tells that to another.
type leaseObject struct {
	cflease.Holder
	SuccessorState json.RawMessage `json:"left,omitempty"`
}

// candidate competes for the coordinator's lease and keeps it renewed.
type candidate struct {
	self  cf.EntryID
	addr  string
	store cf.Store
	log   *zap.Logger
	// lastUpdate returns when the coordinator was last heard from.
	lastUpdate func() cf.Millis
	// watchDelay is how long without word of the coordinator this instance leaves the
	// lease to others, zero if it does not.
	watchDelay func(now cf.Millis) cf.Millis
	// strongerExists says whether stronger instances may take the duty; better gives
	// a duty that was held for a time to one of them.
	strongerExists     func() bool
	handOverToStronger func(held cf.Millis)
	// dutyState returns what a successor should know of the duty here: the loads of
	// weights that may run at once, where copies of texts are, and what else it leaves.
	dutyState func() (loads int, copies string, left json.RawMessage)
	// onAcquire and lost start and end the duty.
	onAcquire func(before cflease.Holder, left json.RawMessage)
	onLose    func()

	mu    sync.Mutex
	lease *cflease.Lease
	// firstSeenAt is when the first read of the lease showed it, zero if none has.
	firstSeenAt cf.Millis

	probedAt cf.Millis
	// firstReadBegun: the lease was read, or is being read, for the first time; asking: it is now.
	firstReadBegun   bool
	firstReadPending atomic.Bool
	held             bool
	heldAt           cf.Millis // since when
	lapsed           bool      // held, and not renewed in time
	retryAt          cf.Millis // the next try to renew after one that failed
	// successorState is what the holder of the lease at leftRev leaves to a successor.
	successorState    json.RawMessage
	successorStateRev cf.Revision
	// storeUnreachable: the last look at the lease had no answer.
	storeUnreachable bool
	// denied is set when the instance believed to be the holder says that
	// it is not.
	denied atomic.Bool
	// offered is set when a holder has named this instance as its successor.
	offered atomic.Bool
	// holderAnsweredAt is when the instance believed to be the holder last answered
	// at all.
	holderAnsweredAt atomic.Int64
	// superseded is set when a successor has called.
	superseded atomic.Bool
	// leaving is set when the instance stops: it keeps the duty for a while
	// and does not take it.
	leaving atomic.Bool
}

// Valid implements cfcoord.Duty.
func (c *candidate) Valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(cf.Uptime())
}

// Held implements cfcoord.Duty.
func (c *candidate) Held() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Held()
}

// supersede makes this instance give up a duty that another has taken with a
// higher term.
func (c *candidate) supersede(term cf.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Held() && term > c.lease.Term() {
		c.superseded.Store(true)
	}
}

// MayOrder implements cfcoord.Duty.
func (c *candidate) MayOrder() (cf.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Term(), c.lease.MayOrder(cf.Uptime())
}

// Ordered implements cfcoord.Duty.
func (c *candidate) Ordered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.RecordOrder(cf.Uptime())
}

// holder returns the lease as last seen.
func (c *candidate) holder() (cflease.Holder, cf.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Holder(), c.lease.Rev()
}

// recordDenial notes that the instance believed to be the holder denies it.
func (c *candidate) recordDenial() {
	c.denied.Store(true)
	c.recordAnswer()
}

// recordAnswer notes that the instance believed to be the holder has answered.
func (c *candidate) recordAnswer() { c.recordAnswerAt(cf.Uptime()) }

// recordAnswerAt is the same as of an earlier moment, by the word of a hub.
func (c *candidate) recordAnswerAt(at cf.Millis) {
	if int64(at) > c.holderAnsweredAt.Load() {
		c.holderAnsweredAt.Store(int64(at))
	}
}

// recordHolderExit notes that the holder's process has ended.
func (c *candidate) recordHolderExit(h cflease.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.HolderExited(h.Term, cf.Uptime())
}

// readLease returns the lease as last seen; one that was never seen is read.
func (c *candidate) readLease(ctx context.Context) (cflease.Holder, error) {
	holder, rev := c.holder()
	if rev > 0 {
		return holder, nil
	}
	r, err := c.store.Get(ctx, cf.KindLease, leaseName)
	if errors.Is(err, cf.ErrNotFound) {
		return holder, nil
	}
	if err != nil {
		return holder, err
	}
	var o leaseObject
	if err := json.Unmarshal(r.Spec, &o); err != nil {
		return holder, eris.Wrapf(cf.ErrInvalid, "lease: %v", err)
	}
	c.observe(r.Rev, o.Holder)
	return o.Holder, nil
}

// observe takes the lease as another instance or the store shows it.
func (c *candidate) observe(rev cf.Revision, h cflease.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := cf.Uptime()
	if c.firstReadPending.Load() && c.lease.Rev() == 0 {
		c.firstSeenAt = now
	}
	c.lease.Observe(rev, h, now)
}

// firstRead says whether the lease is being read for the first time, and else when that showed it.
func (c *candidate) firstRead() (pending bool, seenAt cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstReadPending.Load() && c.lease.Rev() == 0, c.firstSeenAt
}

func (c *candidate) run(ctx context.Context) {
	ticker := time.NewTicker(candidateInterval)
	defer ticker.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *candidate) step(ctx context.Context) {
	now := cf.Uptime()
	c.mu.Lock()
	valid, renewDue, mayAcquire, rev := c.lease.Valid(now), c.lease.RenewDue(now), c.lease.MayAcquire(now), c.lease.Rev()
	abandoned, namedSuccessor := c.lease.Abandoned(), c.lease.Holder().Successor == c.self
	c.mu.Unlock()
	if c.held {
		c.maintain(ctx, now, valid, renewDue)
		return
	}
	if c.leaving.Load() {
		return
	}
	denied := c.denied.Load()
	if c.offered.Swap(false) {
		c.acquireIfFree(ctx)
		return
	}
	if rev == 0 {
		if now-c.probedAt >= probeInterval {
			c.probedAt = now
			c.probe(ctx)
		}
		return
	}
	silence, delay := now-c.lastUpdate(), c.watchDelay(now)
	if delay == 0 && !abandoned && !denied && silence < probeInterval || silence < delay {
		return
	}
	if since := now - c.probedAt; delay == 0 && (since >= probeInterval || denied && since >= deniedProbeInterval) || since >= slowProbeInterval {
		c.probedAt = now
		c.denied.Store(false)
		c.probe(ctx)
		return
	}
	if mayAcquire {
		if !namedSuccessor {
			cf.Sleep(ctx, rand.N(maxAcquireDelay))
		}
		if c.strongerExists() {
			c.probe(ctx)
			if c.storeUnreachable || !cf.Sleep(ctx, strongerWait) {
				return
			}
		}
		c.acquireIfFree(ctx)
	}
}

// acquireIfFree looks at the lease and takes it if it may.
func (c *candidate) acquireIfFree(ctx context.Context) {
	c.probe(ctx)
	c.mu.Lock()
	mayAcquire := c.lease.MayAcquire(cf.Uptime())
	c.mu.Unlock()
	if mayAcquire {
		c.write(ctx)
	}
}

// maintain renews the lease. A holder that can't is not over while nobody else has
// taken it: it goes on with what needs no lease, such as the runs under way,
// which would otherwise be lost in each outage of the store.
func (c *candidate) maintain(ctx context.Context, now cf.Millis, valid, renewDue bool) {
	if c.superseded.Load() {
		c.stepDown("a successor has called")
		return
	}
	if valid != !c.lapsed {
		c.lapsed = !valid
		c.log.Warn("lease_validity_changed", zap.Bool("valid", valid))
	}
	if !valid && now-c.lastRenewal() > maxLapse {
		c.stepDown("not renewed for too long")
		return
	}
	if renewDue && now >= c.retryAt {
		c.write(ctx)
		return
	}
	if valid {
		c.handOverToStronger(now - c.heldAt)
	}
}

func (c *candidate) lastRenewal() cf.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.SentAt()
}

// probe reads the lease; where there is none yet it is created.
func (c *candidate) probe(ctx context.Context) {
	get := c.get
	if _, rev := c.holder(); rev == 0 && !c.firstReadBegun {
		c.firstReadBegun = true
		c.firstReadPending.Store(true)
		defer c.firstReadPending.Store(false)
		get = c.getFirst
	}
	r, err := get(ctx)
	c.storeUnreachable = err != nil && !errors.Is(err, cf.ErrNotFound)
	switch {
	case err == nil:
		c.applyRecord(r)
	case errors.Is(err, cf.ErrNotFound):
		c.write(ctx)
		return
	default:
		// The watchers log that the store is lost.
		c.mu.Lock()
		c.lease.StoreUnreachable(cf.Uptime(), cf.Millis(c.holderAnsweredAt.Load()))
		c.mu.Unlock()
		return
	}
	// The instance that held the lease before its restart goes on at once; one
	// that has given it up does not.
	if h, _ := c.holder(); h.Entry == c.self && !h.Released {
		c.write(ctx)
	}
}

func (c *candidate) get(ctx context.Context) (cf.Record, error) {
	return c.store.Get(ctx, cf.KindLease, leaseName)
}

// getFirst reads the lease until a read is answered, or refused. A slow store takes longer than
// the first reads wait, and one whose answer is lost holds up no other.
func (c *candidate) getFirst(ctx context.Context) (cf.Record, error) {
	type answer struct {
		cf.Record
		err error
	}
	var reads cflog.Group
	defer reads.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	lastStart, pending := cf.Millis(0), 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			lastStart = cf.Uptime()
			pending++
			reads.Go(func() {
				r, err := c.get(ctx)
				select {
				case answers <- answer{r, err}:
				case <-ctx.Done():
				}
			})
			next.Reset(cfmember.LeaseReadInterval.Duration())
		case a := <-answers:
			if !errors.Is(a.err, cf.ErrUnavailable) {
				return a.Record, a.err
			}
			if pending--; pending == 0 {
				next.Reset((lastStart + cfmember.MinLeaseReadInterval - cf.Uptime()).Duration())
			}
		case <-ctx.Done():
			return cf.Record{}, cf.ErrUnavailable
		}
	}
}

func (c *candidate) applyRecord(r cf.Record) {
	var o leaseObject
	if err := json.Unmarshal(r.Spec, &o); err != nil {
		c.log.Error("lease_not_read", cflog.Error(err))
		return
	}
	if r.Rev > c.successorStateRev {
		c.successorState, c.successorStateRev = o.SuccessorState, r.Rev
	}
	c.observe(r.Rev, o.Holder)
}

// put writes the lease's object, if it is still at rev.
func (c *candidate) put(ctx context.Context, rev cf.Revision, o leaseObject) (cf.Record, error) {
	if rev == 0 {
		return c.store.Create(ctx, cf.KindLease, leaseName, o)
	}
	return c.store.Replace(ctx, cf.KindLease, leaseName, rev, o)
}

// write takes or renews the lease.
func (c *candidate) write(ctx context.Context) {
	sent := cf.Uptime()
	c.mu.Lock()
	previous := c.lease.Holder()
	next, rev := c.lease.Next(c.addr, sent), c.lease.Rev()
	c.mu.Unlock()
	var state json.RawMessage
	if c.held {
		next.MaxLoads, next.ReplicaAddr, state = c.dutyState()
	} else if rev == c.successorStateRev {
		state = c.successorState // it goes on: this instance may be lost before its first renewal
	}
	r, err := c.put(ctx, rev, leaseObject{next, state})
	switch {
	case err == nil:
		c.mu.Lock()
		c.lease.Acquired(r.Rev, next, sent, cf.Uptime())
		c.mu.Unlock()
		if !c.held {
			c.held, c.heldAt = true, cf.Uptime()
			c.log.Info("lease_taken", zap.Int64("term", int64(next.Term)), zap.Int64("revision", int64(r.Rev)))
			c.onAcquire(previous, state)
		}
	case errors.Is(err, cf.ErrConflict):
		// It may be this instance's own write, whose answer was lost.
		c.applyRecord(r)
		if h, _ := c.holder(); c.held && h.Entry != c.self {
			c.stepDown("taken by " + string(h.Entry))
		}
	default:
		// Unknown: the next write shows whether it took effect.
		c.retryAt = cf.Uptime() + renewRetryDelay
		c.log.Warn("lease_write_failed", zap.Int64("revision", int64(rev)), cflog.Error(err))
	}
}

func (c *candidate) stepDown(reason string) {
	c.mu.Lock()
	c.lease.Lost()
	c.mu.Unlock()
	c.held, c.lapsed = false, false
	c.superseded.Store(false)
	c.log.Warn("lease_lost", zap.String("reason", reason))
	c.onLose()
}

// release gives the lease up at a planned stop, so that the successor takes over
// at once; false if it did not hold it or could not. It is called after run has
// ended.
func (c *candidate) release(ctx context.Context, successor cf.EntryID) bool {
	if !c.held {
		return false
	}
	_, _, state := c.dutyState()
	c.stepDown("planned stop")
	c.mu.Lock()
	next, rev := c.lease.Release(successor, cf.Uptime()), c.lease.Rev()
	c.mu.Unlock()
	c.log.Info("lease_released", zap.String("successor", string(successor)), zap.Int64("ordered_ago_ms", int64(next.SinceLastOrder)))
	r, err := c.put(ctx, rev, leaseObject{next, state})
	if errors.Is(err, cf.ErrConflict) {
		// A renewal that was under way when run ended has taken effect.
		c.applyRecord(r)
		if h, rev := c.holder(); h.Entry == c.self {
			_, err = c.put(ctx, rev, leaseObject{next, state})
		}
	}
	if err != nil {
		c.log.Warn("lease_not_released", cflog.Error(err))
	}
	return err == nil
}
