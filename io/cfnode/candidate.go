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
	// candidateTick is how often a candidate or holder looks at its clock.
	candidateTick = 100 * time.Millisecond
	// probeEvery is how often a candidate without word of the coordinator
	// reads the lease.
	probeEvery cf.Millis = 600
	// renewRetry is the pause after a renewal that failed: less than half of
	// a lease's validity, and not a call at each tick of an outage.
	renewRetry cf.Millis = 300
	// lapseMost is how long a holder that can't renew goes on. All steps
	// that it knows are over by then.
	lapseMost cf.Millis = 15000
	// leftProbeEvery is how often an instance reads the lease that leaves that to the
	// scouts for a while: a new holder tells all others.
	leftProbeEvery cf.Millis = 2000
	// doubtEvery is the same while the holder denies that it is: after a
	// planned stop the lease is free, and every moment of it is idle time.
	doubtEvery cf.Millis = 250
	// takeSpread draws the moment of a takeover at random, so that usually
	// one instance writes and the others see its lease.
	takeSpread = 250 * time.Millisecond
	// outrankedWait is how long an instance leaves a free duty to stronger ones, from
	// when the store answers: one of their looks, and their draw. From a weak one it
	// would go to a strong one with another pause of the orders.
	outrankedWait = 900 * time.Millisecond
)

// leaseObject is the lease as it lies in the store, with what its holder leaves to a
// successor. No instance tells that to another.
type leaseObject struct {
	cflease.Holder
	Left json.RawMessage `json:"left,omitempty"`
}

// candidate competes for the coordinator's lease and keeps it renewed.
type candidate struct {
	self  cf.EntryID
	addr  string
	store cf.Store
	log   *zap.Logger
	// word returns when the coordinator was last heard from.
	word func() cf.Millis
	// patience is how long without word of the coordinator this instance leaves the
	// lease to others, zero if it does not.
	patience func(now cf.Millis) cf.Millis
	// outranked says whether stronger instances may take the duty; better gives
	// a duty that was held for a time to one of them.
	outranked func() bool
	better    func(held cf.Millis)
	// state returns what a successor should know of the duty here: the loads of
	// weights that may run at once, where copies of texts are, and what else it leaves.
	state func() (loads int, copies string, left json.RawMessage)
	// acquired and lost start and end the duty.
	acquired func(before cflease.Holder, left json.RawMessage)
	lost     func()

	mu    sync.Mutex
	lease *cflease.Lease
	// seenAt is when the first read of the lease showed it, zero if none has.
	seenAt cf.Millis

	probed cf.Millis
	// asked: the lease was read, or is being read, for the first time; asking: it is now.
	asked   bool
	asking  atomic.Bool
	held    bool
	heldAt  cf.Millis // since when
	lapsed  bool      // held, and not renewed in time
	renewAt cf.Millis // the next try to renew after one that failed
	// left is what the holder of the lease at leftRev leaves to a successor.
	left    json.RawMessage
	leftRev cf.Revision
	// storeAway: the last look at the lease had no answer.
	storeAway bool
	// doubted is set when the instance believed to be the holder says that
	// it is not.
	doubted atomic.Bool
	// offered is set when a holder has named this instance as its successor.
	offered atomic.Bool
	// answered is when the instance believed to be the holder last answered
	// at all.
	answered atomic.Int64
	// deposed is set when a successor has called.
	deposed atomic.Bool
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

// depose makes this instance give up a duty that another has taken with a
// higher term.
func (c *candidate) depose(term cf.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.Held() && term > c.lease.Term() {
		c.deposed.Store(true)
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

// doubt notes that the instance believed to be the holder denies it.
func (c *candidate) doubt() {
	c.doubted.Store(true)
	c.heard()
}

// heard notes that the instance believed to be the holder has answered.
func (c *candidate) heard() { c.heardAt(cf.Uptime()) }

// heardAt is the same as of an earlier moment, by the word of a hub.
func (c *candidate) heardAt(at cf.Millis) {
	if int64(at) > c.answered.Load() {
		c.answered.Store(int64(at))
	}
}

// holderDead notes that the holder's process has ended.
func (c *candidate) holderDead(h cflease.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.HolderExited(h.Term, cf.Uptime())
}

// read returns the lease as last seen; one that was never seen is read.
func (c *candidate) read(ctx context.Context) (cflease.Holder, error) {
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
	if c.asking.Load() && c.lease.Rev() == 0 {
		c.seenAt = now
	}
	c.lease.Observe(rev, h, now)
}

// awaits says whether the lease is being read for the first time, and else when that showed it.
func (c *candidate) awaits() (unread bool, seen cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asking.Load() && c.lease.Rev() == 0, c.seenAt
}

func (c *candidate) run(ctx context.Context) {
	ticker := time.NewTicker(candidateTick)
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
	valid, renew, may, rev := c.lease.Valid(now), c.lease.RenewDue(now), c.lease.MayAcquire(now), c.lease.Rev()
	abandoned, named := c.lease.Abandoned(), c.lease.Holder().Successor == c.self
	c.mu.Unlock()
	if c.held {
		c.hold(ctx, now, valid, renew)
		return
	}
	if c.leaving.Load() {
		return
	}
	doubted := c.doubted.Load()
	if c.offered.Swap(false) {
		c.takeFree(ctx)
		return
	}
	if rev == 0 {
		if now-c.probed >= probeEvery {
			c.probed = now
			c.probe(ctx)
		}
		return
	}
	silent, left := now-c.word(), c.patience(now)
	if left == 0 && !abandoned && !doubted && silent < probeEvery || silent < left {
		return
	}
	if since := now - c.probed; left == 0 && (since >= probeEvery || doubted && since >= doubtEvery) || since >= leftProbeEvery {
		c.probed = now
		c.doubted.Store(false)
		c.probe(ctx)
		return
	}
	if may {
		if !named {
			cf.Sleep(ctx, rand.N(takeSpread))
		}
		if c.outranked() {
			c.probe(ctx)
			if c.storeAway || !cf.Sleep(ctx, outrankedWait) {
				return
			}
		}
		c.takeFree(ctx)
	}
}

// takeFree looks at the lease and takes it if it may.
func (c *candidate) takeFree(ctx context.Context) {
	c.probe(ctx)
	c.mu.Lock()
	may := c.lease.MayAcquire(cf.Uptime())
	c.mu.Unlock()
	if may {
		c.write(ctx)
	}
}

// hold renews the lease. A holder that can't is not over while nobody else has
// taken it: it goes on with what needs no lease, such as the runs under way,
// which would otherwise be lost in each outage of the store.
func (c *candidate) hold(ctx context.Context, now cf.Millis, valid, renew bool) {
	if c.deposed.Load() {
		c.stepDown("a successor has called")
		return
	}
	if valid != !c.lapsed {
		c.lapsed = !valid
		c.log.Warn("lease_validity_changed", zap.Bool("valid", valid))
	}
	if !valid && now-c.lastSent() > lapseMost {
		c.stepDown("not renewed for too long")
		return
	}
	if renew && now >= c.renewAt {
		c.write(ctx)
		return
	}
	if valid {
		c.better(now - c.heldAt)
	}
}

func (c *candidate) lastSent() cf.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.SentAt()
}

// probe reads the lease; where there is none yet it is created.
func (c *candidate) probe(ctx context.Context) {
	get := c.get
	if _, rev := c.holder(); rev == 0 && !c.asked {
		c.asked = true
		c.asking.Store(true)
		defer c.asking.Store(false)
		get = c.firstGet
	}
	r, err := get(ctx)
	c.storeAway = err != nil && !errors.Is(err, cf.ErrNotFound)
	switch {
	case err == nil:
		c.take(r)
	case errors.Is(err, cf.ErrNotFound):
		c.write(ctx)
		return
	default:
		// The watchers log that the store is lost.
		c.mu.Lock()
		c.lease.StoreUnreachable(cf.Uptime(), cf.Millis(c.answered.Load()))
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

// firstGet reads the lease until a read is answered, or refused. A slow store takes longer than
// the first reads wait, and one whose answer is lost holds up no other.
func (c *candidate) firstGet(ctx context.Context) (cf.Record, error) {
	type answer struct {
		cf.Record
		err error
	}
	var reads cflog.Group
	defer reads.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	last, under := cf.Millis(0), 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			last = cf.Uptime()
			under++
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
			if under--; under == 0 {
				next.Reset((last + cfmember.MinLeaseReadInterval - cf.Uptime()).Duration())
			}
		case <-ctx.Done():
			return cf.Record{}, cf.ErrUnavailable
		}
	}
}

func (c *candidate) take(r cf.Record) {
	var o leaseObject
	if err := json.Unmarshal(r.Spec, &o); err != nil {
		c.log.Error("lease_not_read", cflog.Error(err))
		return
	}
	if r.Rev > c.leftRev {
		c.left, c.leftRev = o.Left, r.Rev
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
	before := c.lease.Holder()
	next, rev := c.lease.Next(c.addr, sent), c.lease.Rev()
	c.mu.Unlock()
	var left json.RawMessage
	if c.held {
		next.MaxLoads, next.ReplicaAddr, left = c.state()
	} else if rev == c.leftRev {
		left = c.left // it goes on: this instance may be lost before its first renewal
	}
	r, err := c.put(ctx, rev, leaseObject{next, left})
	switch {
	case err == nil:
		c.mu.Lock()
		c.lease.Acquired(r.Rev, next, sent, cf.Uptime())
		c.mu.Unlock()
		if !c.held {
			c.held, c.heldAt = true, cf.Uptime()
			c.log.Info("lease_taken", zap.Int64("term", int64(next.Term)), zap.Int64("revision", int64(r.Rev)))
			c.acquired(before, left)
		}
	case errors.Is(err, cf.ErrConflict):
		// It may be this instance's own write, whose answer was lost.
		c.take(r)
		if h, _ := c.holder(); c.held && h.Entry != c.self {
			c.stepDown("taken by " + string(h.Entry))
		}
	default:
		// Unknown: the next write shows whether it took effect.
		c.renewAt = cf.Uptime() + renewRetry
		c.log.Warn("lease_write_failed", zap.Int64("revision", int64(rev)), cflog.Error(err))
	}
}

func (c *candidate) stepDown(reason string) {
	c.mu.Lock()
	c.lease.Lost()
	c.mu.Unlock()
	c.held, c.lapsed = false, false
	c.deposed.Store(false)
	c.log.Warn("lease_lost", zap.String("reason", reason))
	c.lost()
}

// release gives the lease up at a planned stop, so that the successor takes over
// at once; false if it did not hold it or could not. It is called after run has
// ended.
func (c *candidate) release(ctx context.Context, successor cf.EntryID) bool {
	if !c.held {
		return false
	}
	_, _, left := c.state()
	c.stepDown("planned stop")
	c.mu.Lock()
	next, rev := c.lease.Release(successor, cf.Uptime()), c.lease.Rev()
	c.mu.Unlock()
	c.log.Info("lease_released", zap.String("successor", string(successor)), zap.Int64("ordered_ago_ms", int64(next.SinceLastOrder)))
	r, err := c.put(ctx, rev, leaseObject{next, left})
	if errors.Is(err, cf.ErrConflict) {
		// A renewal that was under way when run ended has taken effect.
		c.take(r)
		if h, rev := c.holder(); h.Entry == c.self {
			_, err = c.put(ctx, rev, leaseObject{next, left})
		}
	}
	if err != nil {
		c.log.Warn("lease_not_released", cflog.Error(err))
	}
	return err == nil
}
