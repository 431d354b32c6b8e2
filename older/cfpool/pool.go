// Package cfpool runs rollout pools. A lease makes one entry instance the leader of a pool. The
// leader generates groups of scored samples on the engines and delivers them to the trainers. Each
// trainer has a claim on the pool with a buffer of samples and a cursor, which is stored in the
// platform's object API.
//
// Every entry runs every pool, but only the holder of the lease generates samples and answers. The
// lease is the object ("lease", "pool/NAME"). Its epoch is the fencing token. A new leader writes
// its epoch into each claim object (it stamps the claim). If the previous leader was paused and
// resumes, its next commit fails because the claim object has a newer version and a higher epoch;
// it then steps down and does not overwrite the new leader's cursor.
//
// A fetch returns the samples after the stored cursor: only complete groups, and none that exceeds
// the pool's staleness limits. The trainer acknowledges the cursor of a batch after it has used the
// batch. A batch that is not acknowledged is delivered again. To acknowledge a cursor again
// succeeds. Each sample is thus acknowledged once.
//
// Usage:
//
//	p := cfpool.New(settings, cfpool.Options{Store: store, Backend: backend, Entry: "entry-1"})
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

// Kinds of the pools' objects in the platform's object API.
const (
	KindLease   = "lease"
	KindClaim   = "claim"
	KindWeights = "weights"
)

type (
	// Options holds the dependencies of a pool and the identity of its entry instance.
	Options struct {
		Store   cf.ObjectStore
		Backend cf.Backend
		// Entry is the id of this entry instance, and Addr the address at which other entries reach
		// it.
		Entry cf.EntryID
		Addr  string
		Lease cfconfig.Lease
		Log   *zap.Logger
	}

	// Pool is a rollout pool on one entry instance.
	Pool struct {
		settings cfconfig.Pool
		opts     Options
		holder   string // Options.Entry and the start time, unique per process

		mu             sync.Mutex
		epoch          cf.Epoch
		validUntil     time.Time // end of this entry's lease by its own clock
		leader         leaseValue
		weights        cf.WeightVersion
		claims         map[cf.ClaimName]*claimState
		changed        chan struct{}
		stopGenerating context.CancelFunc

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

	claimState struct {
		settings        cfconfig.Claim
		committedCursor int64
		objectVersion   int64 // version of the claim object as last read or written here
		nextSeq         int64
		groupsStarted   int64
		buffered        []cf.Sample
	}
)

// New returns a pool that does not run yet.
func New(settings cfconfig.Pool, opts Options) *Pool {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Pool{
		settings: settings,
		opts:     opts,
		holder:   fmt.Sprintf("%s/%d", opts.Entry, time.Now().UnixNano()),
		claims:   map[cf.ClaimName]*claimState{},
		changed:  make(chan struct{}),
	}
}

// Run acquires the lease when it is free and renews it until ctx ends or Close is called.
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
	// UpdateLease may have started the generation without Run. Without this call, Close would then
	// wait for ever.
	p.stepDown("closing")
	p.wg.Wait()
	return nil
}

// Leader returns the id and the address of the entry that holds the pool's lease, as last read, and
// whether one is known.
func (p *Pool) Leader() (cf.EntryID, string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader.Entry, p.leader.Addr, p.leader.Entry != ""
}

func (p *Pool) leaseName() string { return "pool/" + string(p.settings.Name) }

// UpdateLease runs one round of the lease protocol: it acquires a free or expired lease, renews a
// lease of this entry, and otherwise records the holder. Run calls it at the renewal interval
// (renew_ms); tests call it to control the protocol.
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
		// The platform does not answer. This entry stays leader only until its lease has expired by
		// its own clock (see isLeaderLocked).
		p.opts.Log.Warn("lease read failed", zap.String("pool", string(p.settings.Name)), zap.Error(err))
		return
	case cur.Holder == p.holder:
		// This entry holds the lease, perhaps by a write whose response was lost.
		next.Epoch = cur.Epoch
		obj, err = cfplatform.PutJSON(ctx, p.opts.Store, KindLease, p.leaseName(), next, obj.Version)
	case cf.Now() > cur.Expires:
		next.Epoch = cur.Epoch + 1
		obj, err = cfplatform.PutJSON(ctx, p.opts.Store, KindLease, p.leaseName(), next, obj.Version)
	default:
		p.followLeader(cur)
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
	gained := p.epoch != next.Epoch
	p.epoch = next.Epoch
	p.leader = next
	// A tenth of the TTL is subtracted to allow for clock drift and the time that the response
	// took.
	p.validUntil = start.Add(ttl.Duration() * 9 / 10)
	p.mu.Unlock()
	if gained {
		p.startLeading(ctx, next.Epoch)
	}
}

// followLeader records another entry as leader and stops the generation on this one.
func (p *Pool) followLeader(cur leaseValue) {
	p.mu.Lock()
	wasLeader := p.epoch != 0
	p.leader = cur
	p.mu.Unlock()
	if wasLeader {
		p.stepDown("lease held by " + string(cur.Entry))
	}
}

// stepDown ends the leadership. Samples that have not been delivered are dropped; the next leader
// generates new ones.
func (p *Pool) stepDown(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.epoch == 0 {
		return
	}
	p.opts.Log.Info("pool leadership lost", zap.String("pool", string(p.settings.Name)), zap.Int64("epoch", int64(p.epoch)), zap.String("reason", reason))
	p.epoch = 0
	p.validUntil = time.Time{}
	p.claims = map[cf.ClaimName]*claimState{}
	if p.stopGenerating != nil {
		p.stopGenerating()
		p.stopGenerating = nil
	}
	p.broadcastLocked()
}

// startLeading writes the new epoch into each claim object, reads the cursors and starts the
// generation.
func (p *Pool) startLeading(ctx context.Context, epoch cf.Epoch) {
	claims := map[cf.ClaimName]*claimState{}
	for _, c := range p.settings.Claims {
		claim, err := p.stampClaim(ctx, c, epoch)
		if err != nil {
			p.opts.Log.Warn("claim stamp failed", zap.String("claim", string(c.Name)), zap.Error(err))
			p.stepDown("claim stamp failed")
			return
		}
		claims[c.Name] = claim
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
	p.stopGenerating = cancel
	p.mu.Unlock()
	p.opts.Log.Info("pool leadership won", zap.String("pool", string(p.settings.Name)), zap.Int64("epoch", int64(epoch)), zap.Int64("weight_version", int64(w.Version)))
	for name := range claims {
		p.wg.Add(1)
		go p.generate(genCtx, name)
	}
}

func (p *Pool) claimName(c cf.ClaimName) string { return string(p.settings.Name) + "/" + string(c) }

func (p *Pool) stampClaim(ctx context.Context, c cfconfig.Claim, epoch cf.Epoch) (*claimState, error) {
	cur, version, err := stampEpoch(ctx, p.opts.Store, p.claimName(c.Name), epoch)
	if err != nil {
		return nil, err
	}
	return &claimState{settings: c, committedCursor: cur.Cursor, objectVersion: version, nextSeq: cur.Cursor + 1}, nil
}

// stampEpoch writes a new leader's epoch into a claim object and leaves the cursor as it is. It
// returns the claim and the object's new version, or ErrFenced if the object has a higher epoch
// already.
func stampEpoch(ctx context.Context, store cf.ObjectStore, name string, epoch cf.Epoch) (claimValue, int64, error) {
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

// isLeaderLocked reports whether this entry's lease is valid by its own clock. A holder that was
// paused until after the end of its lease gets false before it acts. The caller must hold p.mu.
func (p *Pool) isLeaderLocked() bool {
	return p.epoch != 0 && time.Now().Before(p.validUntil)
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

// Buffered returns the number of scored samples of a claim that wait for delivery on this entry. It
// is 0 on an entry that does not lead the pool.
func (p *Pool) Buffered(name cf.ClaimName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if claim := p.claims[name]; claim != nil {
		return len(claim.buffered)
	}
	return 0
}
