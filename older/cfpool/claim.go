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
	"currantford/older/cfplatform"
)

// retryPause is the wait after a failed group before the next try, so that
// an engine outage does not turn into a busy loop of failing rollouts.
const retryPause = 200 * time.Millisecond

// generate keeps one claim's buffer filled with whole, scored groups while
// this entry leads the pool.
func (p *Pool) generate(ctx context.Context, name cf.ClaimName) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		p.mu.Lock()
		log := p.claims[name]
		if log == nil {
			p.mu.Unlock()
			return
		}
		// Stale samples are dropped before the buffer is judged full: a
		// buffer full of samples made by old weights would otherwise
		// stop generation, and the trainer would wait for ever.
		p.dropStaleLocked(log)
		full := len(log.ready) >= log.settings.Buffer
		wait := p.changed
		group := log.groups
		if !full {
			log.groups++
		}
		p.mu.Unlock()
		if full {
			select {
			case <-wait:
			case <-ctx.Done():
			}
			continue
		}
		samples, err := p.group(ctx, name, group)
		if err != nil {
			p.opts.Log.Warn("group failed", zap.String("claim", string(name)), zap.Error(err))
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		p.publish(name, samples)
	}
}

// group runs one group of rollouts on one prompt and scores them. A group is
// kept whole: one failed member fails the group, because a trainer's step
// needs whole groups.
func (p *Pool) group(ctx context.Context, name cf.ClaimName, n int64) ([]cf.Sample, error) {
	prompt := p.settings.Prompts[int(n)%len(p.settings.Prompts)]
	groupID := fmt.Sprintf("%s/%s/g%d-e%d", p.settings.Name, name, n, p.currentEpoch())
	out := make([]cf.Sample, p.settings.GroupSize)
	errs := make([]error, p.settings.GroupSize)
	var wg sync.WaitGroup
	for i := range out {
		wg.Add(1)
		go func() {
			defer wg.Done()
			job := cf.Job{ID: cf.RequestID(fmt.Sprintf("%s#%d", groupID, i)), MaxTokens: p.settings.MaxTokens}
			g, err := p.opts.Backend.Generate(ctx, job, prompt)
			if err != nil {
				errs[i] = err
				return
			}
			score, err := p.opts.Backend.Score(ctx, prompt, g.Text)
			out[i] = cf.Sample{Group: groupID, Prompt: prompt, Text: g.Text, Score: score,
				Weights: g.Weights, Engine: g.Engine, Created: cf.Now()}
			errs[i] = err
		}()
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// publish numbers a finished group and appends it, unless leadership was
// lost meanwhile or the group is already stale.
func (p *Pool) publish(name cf.ClaimName, samples []cf.Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.claims[name]
	if log == nil || !p.isLeaderLocked() {
		return
	}
	for _, s := range samples {
		if p.staleLocked(s) {
			p.opts.Log.Info("group dropped stale", zap.String("group", s.Group), zap.Int64s("weight_versions", versions(s.Weights)), zap.Int64("pool_weight_version", int64(p.weights)))
			return
		}
	}
	for i := range samples {
		samples[i].Seq = log.next
		samples[i].ID = cf.SampleID(fmt.Sprintf("%s/%d", p.claimName(name), log.next))
		log.next++
	}
	log.ready = append(log.ready, samples...)
	p.broadcastLocked()
}

// staleLocked applies the pool's staleness bound in versions and in age.
func (p *Pool) staleLocked(s cf.Sample) bool {
	if len(s.Weights) == 0 {
		return true
	}
	return p.weights-s.Weights[0] > p.settings.MaxVersionLag || s.Created.Since() > p.settings.MaxSampleAge
}

// Fetch returns up to max samples after the claim's committed cursor, whole
// groups only (at least one group even if max is smaller), waiting up to
// wait for one. It returns ErrNotLeader on an entry that does not lead the
// pool and ErrNotFound for an unknown claim. Samples that have grown stale
// while waiting are dropped, never delivered.
func (p *Pool) Fetch(ctx context.Context, name cf.ClaimName, limit int, wait time.Duration) (cf.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		if !p.isLeaderLocked() {
			p.mu.Unlock()
			return cf.Batch{}, eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
		}
		log := p.claims[name]
		if log == nil {
			p.mu.Unlock()
			return cf.Batch{}, eris.Wrapf(cf.ErrNotFound, "claim %s", p.claimName(name))
		}
		p.dropStaleLocked(log)
		batch := cf.Batch{Cursor: log.committed, Weights: p.weights}
		for i, s := range log.ready {
			if i >= limit && s.Group != log.ready[i-1].Group {
				break
			}
			batch.Samples = append(batch.Samples, s)
			batch.Cursor = s.Seq
		}
		changed := p.changed
		p.mu.Unlock()
		if len(batch.Samples) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (p *Pool) dropStaleLocked(log *claimLog) {
	kept := log.ready[:0]
	dropped := ""
	for _, s := range log.ready {
		if s.Group == dropped || p.staleLocked(s) {
			dropped = s.Group
			continue
		}
		kept = append(kept, s)
	}
	if len(kept) < len(log.ready) {
		log.ready = kept
		p.broadcastLocked()
	}
}

// Ack commits cursor for a claim in the platform. It is idempotent: a cursor
// at or below the committed one succeeds at once. It returns ErrNotLeader
// when this entry does not hold the lease, ErrFenced when a newer leader has
// stamped the claim, and ErrUnavailable when the platform did not answer and
// the outcome is unknown (the trainer acks again).
func (p *Pool) Ack(ctx context.Context, name cf.ClaimName, cursor int64) error {
	p.mu.Lock()
	if !p.isLeaderLocked() {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
	}
	log := p.claims[name]
	if log == nil {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrNotFound, "claim %s", p.claimName(name))
	}
	if cursor <= log.committed {
		p.mu.Unlock()
		return nil
	}
	if cursor >= log.next {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrInvalid, "cursor %d is past the last sample %d", cursor, log.next-1)
	}
	epoch, version := p.epoch, log.version
	p.mu.Unlock()

	newVersion, err := commitCursor(ctx, p.opts.Store, p.claimName(name), epoch, version, cursor)
	if errors.Is(err, cf.ErrFenced) {
		p.stepDown("claim fenced by a newer epoch")
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if log = p.claims[name]; log == nil || p.epoch != epoch {
		return eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
	}
	log.committed, log.version = max(log.committed, cursor), newVersion
	n := 0
	for n < len(log.ready) && log.ready[n].Seq <= log.committed {
		n++
	}
	log.ready = log.ready[n:]
	p.broadcastLocked()
	return nil
}

// commitCursor writes cursor for epoch, on condition that the claim object
// is still at version, the one this leader last wrote or read. It returns
// the new version. A newer leader's stamp moves the version, so an old
// leader's commit fails here (ErrFenced) instead of overwriting the cursor.
// When the answer is lost, it reads the object back: the write may have
// taken effect (then it succeeds) or not (ErrUnavailable, ack again).
func commitCursor(ctx context.Context, store cf.ObjectStore, name string, epoch cf.Epoch, version, cursor int64) (int64, error) {
	obj, err := cfplatform.PutJSON(ctx, store, KindClaim, name, claimValue{Cursor: cursor, Epoch: epoch}, version)
	if err == nil {
		return obj.Version, nil
	}
	var cur claimValue
	obj, err = cfplatform.GetJSON(ctx, store, KindClaim, name, &cur)
	switch {
	case err != nil:
		return 0, eris.Wrapf(cf.ErrUnavailable, "ack %s: outcome unknown", name)
	case cur.Epoch > epoch:
		return 0, eris.Wrapf(cf.ErrFenced, "claim %s stamped by epoch %d, ours %d", name, cur.Epoch, epoch)
	case cur.Epoch != epoch || cur.Cursor < cursor:
		return 0, eris.Wrapf(cf.ErrUnavailable, "ack %s did not take effect", name)
	}
	return obj.Version, nil
}

// SetWeights records a new weight version for the pool and orders the
// engines to load it. A version lower than the current one is refused with
// ErrConflict: weights never go back.
func (p *Pool) SetWeights(ctx context.Context, version cf.WeightVersion) error {
	p.mu.Lock()
	if !p.isLeaderLocked() {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
	}
	epoch := p.epoch
	p.mu.Unlock()
	var cur weightsValue
	obj, err := cfplatform.GetJSON(ctx, p.opts.Store, KindWeights, string(p.settings.Name), &cur)
	ifVersion := obj.Version
	if errors.Is(err, cf.ErrNotFound) {
		ifVersion = cf.CreateOnly
	} else if err != nil {
		return err
	}
	if version < cur.Version {
		return eris.Wrapf(cf.ErrConflict, "weights %d are older than %d", version, cur.Version)
	}
	if version > cur.Version {
		if _, err := cfplatform.PutJSON(ctx, p.opts.Store, KindWeights, string(p.settings.Name), weightsValue{version}, ifVersion); err != nil {
			return err
		}
	}
	if err := p.opts.Backend.LoadWeights(ctx, version, epoch, p.checkLease); err != nil {
		return err
	}
	p.mu.Lock()
	p.weights = max(p.weights, version)
	p.broadcastLocked()
	p.mu.Unlock()
	p.opts.Log.Info("weights ordered", zap.String("pool", string(p.settings.Name)), zap.Int64("weight_version", int64(version)), zap.Int64("epoch", int64(epoch)))
	return nil
}

// checkLease re-reads the lease before an order to an engine that ignores
// fencing numbers: such an engine cannot refuse a paused old leader, so the
// leader must find out itself that it is one.
func (p *Pool) checkLease(ctx context.Context) error {
	var cur leaseValue
	if _, err := cfplatform.GetJSON(ctx, p.opts.Store, KindLease, p.leaseName(), &cur); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cur.Holder != p.holder || cur.Epoch != p.epoch || !p.isLeaderLocked() {
		return eris.Wrapf(cf.ErrFenced, "lease of %s is epoch %d of %s", p.settings.Name, cur.Epoch, cur.Entry)
	}
	return nil
}

func (p *Pool) currentEpoch() cf.Epoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

func versions(ws []cf.WeightVersion) []int64 {
	out := make([]int64, len(ws))
	for i, w := range ws {
		out[i] = int64(w)
	}
	return out
}
