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
	// candidateInterval is how often a candidate or holder checks the lease.
	candidateInterval = 100 * time.Millisecond
	// probeInterval is how often a candidate without updates from the coordinator reads the lease.
	probeInterval cf.Millis = 600
	// renewRetryDelay is the delay after a failed renewal. It is less than half of a lease's
	// validity, and it avoids a call at each check during an outage.
	renewRetryDelay cf.Millis = 300
	// maxLapse is how long a holder that cannot renew the lease continues. All steps that it knows
	// have ended by then.
	maxLapse cf.Millis = 15000
	// slowProbeInterval is how often an instance reads the lease while it leaves the store to the
	// fallback watchers; a new holder notifies all other instances.
	slowProbeInterval cf.Millis = 2000
	// deniedProbeInterval is the same while the instance named as the holder denies that it is:
	// after a planned stop the lease is free, and work stands still until it is taken.
	deniedProbeInterval cf.Millis = 250
	// maxAcquireDelay bounds the random delay before a takeover, so that usually one instance
	// writes and the others see its lease.
	maxAcquireDelay = 250 * time.Millisecond
	// strongerWait is how long an instance leaves a free lease to instances with more capacity,
	// from when the store answers: one of their probe intervals and their random delay. A weak
	// holder would later hand the duty over to a strong one, which pauses the orders once more.
	strongerWait = 900 * time.Millisecond
)

// leaseObject is the lease as stored, with the state that its holder passes on to a successor.
// Instances do not send that state to each other.
type leaseObject struct {
	cflease.Holder
	SuccessorState json.RawMessage `json:"left,omitempty"`
}

// candidate competes for the coordinator's lease and renews it.
type candidate struct {
	self  cf.EntryID
	addr  string
	store cf.Store
	log   *zap.Logger
	// lastUpdate returns the time of the last update from the coordinator.
	lastUpdate func() cf.Millis
	// watchDelay returns how long after the last update this instance leaves the lease to others,
	// zero if it does not.
	watchDelay func(now cf.Millis) cf.Millis
	// strongerExists reports whether instances with more capacity may take the duty.
	// handOverToStronger hands a duty that has been held for a while over to one of them.
	strongerExists     func() bool
	handOverToStronger func(held cf.Millis)
	// dutyState returns what a successor inherits from the holder here: the limit of concurrent
	// weight loads, the address of the copies of its texts, and further state.
	dutyState func() (loads int, replicaAddr string, successorState json.RawMessage)
	// onAcquire and onLose start and end the duty.
	onAcquire func(previous cflease.Holder, inherited json.RawMessage)
	onLose    func()

	mu    sync.Mutex
	lease *cflease.Lease
	// firstSeenAt is when the first read returned the lease, zero if none has.
	firstSeenAt cf.Millis

	probedAt cf.Millis
	// firstReadBegun is set once the first read of the lease has begun, firstReadPending while that
	// read is in progress.
	firstReadBegun   bool
	firstReadPending atomic.Bool
	held             bool
	heldAt           cf.Millis // when this instance acquired the lease
	lapsed           bool      // held, but not renewed in time
	retryAt          cf.Millis // next attempt after a failed renewal
	// successorState is the state in the lease at successorStateRev.
	successorState    json.RawMessage
	successorStateRev cf.Revision
	// storeUnreachable is set if the last read of the lease had no answer.
	storeUnreachable bool
	// holderDenied is set when the instance named as the holder denies that it is.
	holderDenied atomic.Bool
	// offered is set when a holder has released the lease to this instance.
	offered atomic.Bool
	// holderAnsweredAt is when the instance named as the holder last answered at all.
	holderAnsweredAt atomic.Int64
	// superseded is set when a successor with a higher term has called.
	superseded atomic.Bool
	// leaving is set when the instance stops. From then on it keeps the duty for a while if it has
	// it, and does not take it otherwise.
	leaving atomic.Bool
}

// Valid implements cfcoord.Lease.
func (c *candidate) Valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Valid(cf.Uptime())
}

// Held implements cfcoord.Lease.
func (c *candidate) Held() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Held()
}

// supersede makes this instance give up a duty that another one has taken with a higher term.
func (c *candidate) supersede(term cf.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Held() && term > c.lease.Term() {
		c.superseded.Store(true)
	}
}

// MayOrder implements cfcoord.Lease.
func (c *candidate) MayOrder() (cf.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Term(), c.lease.MayOrder(cf.Uptime())
}

// Ordered implements cfcoord.Lease.
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

// recordDenial records that the instance named as the holder denies that it is.
func (c *candidate) recordDenial() {
	c.holderDenied.Store(true)
	c.recordAnswer()
}

// recordAnswer records that the instance named as the holder has answered.
func (c *candidate) recordAnswer() { c.recordAnswerAt(cf.Uptime()) }

// recordAnswerAt is like recordAnswer for an earlier time, as reported by a hub.
func (c *candidate) recordAnswerAt(at cf.Millis) {
	if int64(at) > c.holderAnsweredAt.Load() {
		c.holderAnsweredAt.Store(int64(at))
	}
}

// recordHolderExit records that the holder's process has ended.
func (c *candidate) recordHolderExit(h cflease.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.HolderExited(h.Term, cf.Uptime())
}

// readLease returns the lease as last seen. It reads the lease if it has never been seen.
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

// observe records the lease as another instance or the store returned it.
func (c *candidate) observe(rev cf.Revision, h cflease.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := cf.Uptime()
	if c.firstReadPending.Load() && c.lease.Rev() == 0 {
		c.firstSeenAt = now
	}
	c.lease.Observe(rev, h, now)
}

// firstRead reports whether the first read of the lease is in progress, and when it returned the
// lease.
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
	denied := c.holderDenied.Load()
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
		c.holderDenied.Store(false)
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

// acquireIfFree reads the lease and takes it if it is free.
func (c *candidate) acquireIfFree(ctx context.Context) {
	c.probe(ctx)
	c.mu.Lock()
	mayAcquire := c.lease.MayAcquire(cf.Uptime())
	c.mu.Unlock()
	if mayAcquire {
		c.write(ctx)
	}
}

// maintain renews the lease. A holder that cannot renew it remains the holder for up to maxLapse
// while no other instance has taken the lease: it continues with work that needs no valid lease,
// such as streams in progress, which each outage of the store would otherwise lose.
func (c *candidate) maintain(ctx context.Context, now cf.Millis, valid, renewDue bool) {
	if c.superseded.Load() {
		c.stepDown("superseded by a successor with a higher term")
		return
	}
	if valid != !c.lapsed {
		c.lapsed = !valid
		c.log.Warn("lease_validity_changed", zap.Bool("valid", valid))
	}
	if !valid && now-c.lastRenewal() > maxLapse {
		c.stepDown("the lease was not renewed for too long")
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

// probe reads the lease, and creates it if there is none yet.
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
	// An instance that held the lease before its restart continues at once, unless it had released
	// it.
	if h, _ := c.holder(); h.Entry == c.self && !h.Released {
		c.write(ctx)
	}
}

func (c *candidate) get(ctx context.Context) (cf.Record, error) {
	return c.store.Get(ctx, cf.KindLease, leaseName)
}

// getFirst reads the lease until a read is answered or refused. A slow store takes longer than the
// timeout of the first reads, so further reads start while earlier ones are pending, and a lost
// answer delays no other read.
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

// put writes the lease if it is still at rev.
func (c *candidate) put(ctx context.Context, rev cf.Revision, o leaseObject) (cf.Record, error) {
	if rev == 0 {
		return c.store.Create(ctx, cf.KindLease, leaseName, o)
	}
	return c.store.Replace(ctx, cf.KindLease, leaseName, rev, o)
}

// write acquires or renews the lease.
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
		state = c.successorState // The state is passed on, as this instance may be lost before its first renewal.
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
		// The conflict may be with this instance's own write, whose answer was lost.
		c.applyRecord(r)
		if h, _ := c.holder(); c.held && h.Entry != c.self {
			c.stepDown("taken by " + string(h.Entry))
		}
	default:
		// The outcome is unknown; the next write shows whether this one took effect.
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

// release gives up the lease, so that the successor takes over at once. It returns false if this
// instance did not hold the lease or could not release it. It is called from run, or after run has
// returned.
func (c *candidate) release(ctx context.Context, successor cf.EntryID) bool {
	if !c.held {
		return false
	}
	_, _, state := c.dutyState()
	c.stepDown("planned stop")
	c.mu.Lock()
	next, own := c.lease.Release(successor, cf.Uptime())
	rev := c.lease.Rev()
	c.mu.Unlock()
	if !own {
		// The duty was taken while this instance still carried it out.
		c.log.Warn("lease_not_released", zap.String("holder", string(next.Entry)), zap.Int64("term", int64(next.Term)))
		return false
	}
	c.log.Info("lease_released", zap.String("successor", string(successor)), zap.Int64("ordered_ago_ms", int64(next.SinceLastOrder)))
	r, err := c.put(ctx, rev, leaseObject{next, state})
	if errors.Is(err, cf.ErrConflict) {
		// A renewal that was in progress when run returned has taken effect.
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
