// Package cfpool runs rollout pools: the lease that makes one entry
// instance the leader of a pool, the generation of whole groups of scored
// samples on the engines, and each claim's log, which delivers samples to a
// trainer once by a cursor committed in the platform's object API.
//
// Every entry runs every pool; only the lease holder generates and answers.
// The lease is an object ("lease", "pool/NAME") with an epoch, the fencing
// number. On taking a lease, the new leader stamps each claim object with
// its epoch; an old leader that was paused and wakes finds the claim
// object's version moved and its own epoch lower, and steps down instead of
// committing over the new leader's cursor.
//
// Delivery: a fetch returns the samples after the committed cursor, whole
// groups only, never older than the pool's staleness bound; a trainer acks
// the batch's cursor after it has used it. A fetch that is never acked is
// delivered again; an ack of a cursor already committed succeeds again. A
// sample is delivered once: it is acknowledged once.
//
// Usage:
//
//	p := cfpool.New(settings, cfpool.Options{Store: store, Backend: backend, Holder: "entry-1"})
//	go p.Run(ctx)
//	batch, err := p.Fetch(ctx, "spoilage", 16, 2*time.Second)
//	err = p.Ack(ctx, "spoilage", batch.Cursor)
//	defer p.Close()
package cfpool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
)

// Object kinds in the platform.
const (
	KindLease   = "lease"
	KindClaim   = "claim"
	KindWeights = "weights"
)

type (
	// Options wire a pool to its surroundings.
	Options struct {
		Store   cf.ObjectStore
		Backend cf.Backend
		// Entry names this entry instance; Addr is where peers reach it.
		Entry cf.EntryID
		Addr  string
		Lease cfconfig.Lease
		Log   *zap.Logger
	}

	// Pool is one rollout pool as seen by one entry. Close waits for its
	// goroutines.
	Pool struct {
		settings cfconfig.Pool
		opts     Options
		holder   string // Holder plus a start nonce, unique per process

		mu      sync.Mutex
		epoch   cf.Epoch
		valid   time.Time // the lease is ours until then, by our own clock
		leader  leaseValue
		weights cf.WeightVersion
		claims  map[cf.ClaimName]*claimLog
		changed chan struct{}
		stopGen context.CancelFunc

		wg   sync.WaitGroup
		stop context.CancelFunc
	}

	leaseValue struct {
		Holder  string     `json:"holder"`
		Entry   cf.EntryID `json:"entry"`
		Addr    string     `json:"addr"`
		Epoch   cf.Epoch   `json:"epoch"`
		Expires cf.Millis  `json:"expires_ms"`
	}

	claimValue struct {
		Cursor int64    `json:"cursor"`
		Epoch  cf.Epoch `json:"epoch"`
	}

	weightsValue struct {
		Version cf.WeightVersion `json:"weight_version"`
	}

	claimLog struct {
		settings  cfconfig.Claim
		committed int64
		version   int64 // the claim object's version we last wrote or read
		next      int64
		groups    int64
		ready     []cf.Sample
	}
)

// New returns a pool that is not yet running.
func New(settings cfconfig.Pool, opts Options) *Pool {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Pool{
		settings: settings,
		opts:     opts,
		holder:   fmt.Sprintf("%s/%d", opts.Entry, time.Now().UnixNano()),
		claims:   map[cf.ClaimName]*claimLog{},
		changed:  make(chan struct{}),
	}
}

// Run keeps the lease (taking it when free, renewing it when held) until ctx
// ends or Close is called.
func (p *Pool) Run(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	p.wg.Add(1)
	defer p.wg.Done()
	t := time.NewTicker(p.opts.Lease.Renew.Duration())
	defer t.Stop()
	for {
		p.UpdateLease(ctx)
		select {
		case <-ctx.Done():
			p.stepDown("stopping")
			return
		case <-t.C:
		}
	}
}

// Close stops the pool and waits for its goroutines.
func (p *Pool) Close() error {
	if p.stop != nil {
		p.stop()
	}
	// Generation may have been started by a UpdateLease outside Run; stop
	// it too, or Close would wait for it for ever.
	p.stepDown("closing")
	p.wg.Wait()
	return nil
}

// Leader returns the entry that holds the pool's lease, as last read.
func (p *Pool) Leader() (cf.EntryID, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader.Entry, p.leader.Addr, p.leader.Entry != ""
}

func (p *Pool) leaseName() string { return "pool/" + string(p.settings.Name) }

// UpdateLease runs one round of the lease protocol: take the lease when it is
// free or lapsed, renew it when held, follow the holder otherwise. Run calls
// it every renew_ms; tests call it to step the protocol.
func (p *Pool) UpdateLease(ctx context.Context) {
	start := time.Now()
	ttl := p.opts.Lease.TTL
	var cur leaseValue
	obj, err := cfplatform.GetJSON(ctx, p.opts.Store, KindLease, p.leaseName(), &cur)
	next := leaseValue{Holder: p.holder, Entry: p.opts.Entry, Addr: p.opts.Addr, Expires: cf.Now() + ttl}
	switch {
	case errors.Is(err, cf.ErrNotFound):
		next.Epoch = 1
		obj, err = cfplatform.PutJSON(ctx, p.opts.Store, KindLease, p.leaseName(), next, cf.CreateOnly)
	case err != nil:
		// Platform down or slow: we stay leader only until our own
		// clock says the lease has lapsed (checked in isLeader).
		p.opts.Log.Warn("lease read failed", zap.String("pool", string(p.settings.Name)), zap.Error(err))
		return
	case cur.Holder == p.holder:
		// Ours, including a takeover whose answer was lost.
		next.Epoch = cur.Epoch
		obj, err = cfplatform.PutJSON(ctx, p.opts.Store, KindLease, p.leaseName(), next, obj.Version)
	case cf.Now() > cur.Expires:
		next.Epoch = cur.Epoch + 1
		obj, err = cfplatform.PutJSON(ctx, p.opts.Store, KindLease, p.leaseName(), next, obj.Version)
	default:
		p.follow(cur)
		return
	}
	if err != nil {
		p.opts.Log.Warn("lease write failed", zap.String("pool", string(p.settings.Name)), zap.Error(err))
		if errors.Is(err, cf.ErrConflict) {
			p.stepDown("lease taken by another entry")
		}
		return
	}
	_ = obj
	p.mu.Lock()
	won := p.epoch != next.Epoch
	p.epoch = next.Epoch
	p.leader = next
	// A tenth of the TTL is kept back for clock drift and the time the
	// answer took to arrive.
	p.valid = start.Add(ttl.Duration() * 9 / 10)
	p.mu.Unlock()
	if won {
		p.takeOver(ctx, next.Epoch)
	}
}

// follow records another entry as leader and stops any generation of ours.
func (p *Pool) follow(cur leaseValue) {
	p.mu.Lock()
	was := p.epoch != 0
	p.leader = cur
	p.mu.Unlock()
	if was {
		p.stepDown("lease held by " + string(cur.Entry))
	}
}

// stepDown forgets leadership: samples not yet delivered are dropped, and
// the next leader generates fresh ones.
func (p *Pool) stepDown(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.epoch == 0 {
		return
	}
	p.opts.Log.Info("pool leadership lost", zap.String("pool", string(p.settings.Name)), zap.Int64("epoch", int64(p.epoch)), zap.String("reason", reason))
	p.epoch = 0
	p.valid = time.Time{}
	p.claims = map[cf.ClaimName]*claimLog{}
	if p.stopGen != nil {
		p.stopGen()
		p.stopGen = nil
	}
	p.broadcastLocked()
}

// takeOver stamps each claim object with the new epoch, reads the cursors
// and starts generating.
func (p *Pool) takeOver(ctx context.Context, epoch cf.Epoch) {
	claims := map[cf.ClaimName]*claimLog{}
	for _, c := range p.settings.Claims {
		log, err := p.stampClaim(ctx, c, epoch)
		if err != nil {
			p.opts.Log.Warn("claim stamp failed", zap.String("claim", string(c.Name)), zap.Error(err))
			p.stepDown("claim stamp failed")
			return
		}
		claims[c.Name] = log
	}
	var w weightsValue
	_, err := cfplatform.GetJSON(ctx, p.opts.Store, KindWeights, string(p.settings.Name), &w)
	if err != nil && !errors.Is(err, cf.ErrNotFound) {
		p.stepDown("weights read failed")
		return
	}
	genCtx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.claims = claims
	p.weights = w.Version
	p.stopGen = cancel
	p.mu.Unlock()
	p.opts.Log.Info("pool leadership won", zap.String("pool", string(p.settings.Name)), zap.Int64("epoch", int64(epoch)), zap.Int64("weight_version", int64(w.Version)))
	for name := range claims {
		p.wg.Add(1)
		go p.generate(genCtx, name)
	}
}

func (p *Pool) claimName(c cf.ClaimName) string { return string(p.settings.Name) + "/" + string(c) }

func (p *Pool) stampClaim(ctx context.Context, c cfconfig.Claim, epoch cf.Epoch) (*claimLog, error) {
	cur, version, err := stamp(ctx, p.opts.Store, p.claimName(c.Name), epoch)
	if err != nil {
		return nil, err
	}
	return &claimLog{settings: c, committed: cur.Cursor, version: version, next: cur.Cursor + 1}, nil
}

// stamp writes a new leader's epoch into a claim object, keeping its
// cursor, and returns the cursor and the new version. It refuses
// (ErrFenced) when a newer epoch has stamped it already.
func stamp(ctx context.Context, store cf.ObjectStore, name string, epoch cf.Epoch) (claimValue, int64, error) {
	var cur claimValue
	obj, err := cfplatform.GetJSON(ctx, store, KindClaim, name, &cur)
	ifVersion := obj.Version
	if errors.Is(err, cf.ErrNotFound) {
		ifVersion = cf.CreateOnly
	} else if err != nil {
		return cur, 0, err
	}
	if cur.Epoch > epoch {
		return cur, 0, eris.Wrapf(cf.ErrFenced, "claim %s stamped by epoch %d", name, cur.Epoch)
	}
	obj, err = cfplatform.PutJSON(ctx, store, KindClaim, name, claimValue{Cursor: cur.Cursor, Epoch: epoch}, ifVersion)
	if err != nil {
		return cur, 0, err
	}
	return claimValue{Cursor: cur.Cursor, Epoch: epoch}, obj.Version, nil
}

// isLeaderLocked is true while our lease is valid by our own clock. A holder
// that was paused past its lease finds this false before it acts.
func (p *Pool) isLeaderLocked() bool {
	return p.epoch != 0 && time.Now().Before(p.valid)
}

func (p *Pool) broadcastLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Weights returns the pool's current weight version.
func (p *Pool) Weights() cf.WeightVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weights
}

// Buffered returns how many scored samples of a claim wait for delivery
// here; it is zero on an entry that does not lead the pool.
func (p *Pool) Buffered(name cf.ClaimName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if log := p.claims[name]; log != nil {
		return len(log.ready)
	}
	return 0
}
