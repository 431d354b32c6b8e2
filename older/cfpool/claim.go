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

// groupRetryDelay is the delay after a group has failed, so that an engine outage does not cause a
// busy loop of failing rollouts.
const groupRetryDelay = 200 * time.Millisecond

// generate keeps the buffer of one claim filled with complete, scored groups until ctx ends or this
// entry no longer leads the pool.
func (p *Pool) generate(ctx context.Context, name cf.ClaimName) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		p.mu.Lock()
		claim := p.claims[name]
		if claim == nil {
			p.mu.Unlock()
			return
		}
		// Drop stale samples before checking whether the buffer is full. A buffer full of samples
		// from old weights would otherwise stop the generation, and the trainer would wait for
		// ever.
		p.dropStaleLocked(claim)
		full := len(claim.buffered) >= claim.settings.Buffer
		wait := p.changed
		groupNum := claim.groupsStarted
		if !full {
			claim.groupsStarted++
		}
		p.mu.Unlock()
		if full {
			select {
			case <-wait:
			case <-ctx.Done():
			}
			continue
		}
		samples, err := p.generateGroup(ctx, name, groupNum)
		if err != nil {
			p.opts.Log.Warn("group failed", zap.String("claim", string(name)), zap.Error(err))
			select {
			case <-time.After(groupRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		p.appendGroup(name, samples)
	}
}

// generateGroup runs the rollouts of one group on one prompt and scores them. If one rollout fails,
// the whole group fails, because a trainer's step needs complete groups.
func (p *Pool) generateGroup(ctx context.Context, name cf.ClaimName, groupNum int64) ([]cf.Sample, error) {
	prompt := p.settings.Prompts[int(groupNum)%len(p.settings.Prompts)]
	groupID := fmt.Sprintf("%s/%s/g%d-e%d", p.settings.Name, name, groupNum, p.currentEpoch())
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

// appendGroup numbers the samples of a group and adds them to the claim's buffer. It drops the
// group if this entry no longer leads the pool or a sample is already stale.
func (p *Pool) appendGroup(name cf.ClaimName, samples []cf.Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	claim := p.claims[name]
	if claim == nil || !p.isLeaderLocked() {
		return
	}
	for _, s := range samples {
		if p.isStaleLocked(s) {
			p.opts.Log.Info("group dropped stale", zap.String("group", s.Group), zap.Int64s("weight_versions", toInt64s(s.Weights)), zap.Int64("pool_weight_version", int64(p.weights)))
			return
		}
	}
	for i := range samples {
		samples[i].Seq = claim.nextSeq
		samples[i].ID = cf.SampleID(fmt.Sprintf("%s/%d", p.claimName(name), claim.nextSeq))
		claim.nextSeq++
	}
	claim.buffered = append(claim.buffered, samples...)
	p.broadcastLocked()
}

// isStaleLocked reports whether a sample exceeds the pool's limit on weight versions or on age. The
// caller must hold p.mu.
func (p *Pool) isStaleLocked(s cf.Sample) bool {
	if len(s.Weights) == 0 {
		return true
	}
	return p.weights-s.Weights[0] > p.settings.MaxVersionLag || s.Created.Since() > p.settings.MaxSampleAge
}

// Fetch returns complete groups of samples after the claim's committed cursor, at least one group,
// until they are limit samples or more. It waits up to wait for the first group. Samples that
// became stale in the buffer are dropped, never delivered. The error is ErrNotLeader on an entry
// that does not lead the pool, and ErrNotFound for an unknown claim.
func (p *Pool) Fetch(ctx context.Context, name cf.ClaimName, limit int, wait time.Duration) (cf.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		if !p.isLeaderLocked() {
			p.mu.Unlock()
			return cf.Batch{}, eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
		}
		claim := p.claims[name]
		if claim == nil {
			p.mu.Unlock()
			return cf.Batch{}, eris.Wrapf(cf.ErrNotFound, "claim %s", p.claimName(name))
		}
		p.dropStaleLocked(claim)
		batch := cf.Batch{Cursor: claim.committedCursor, Weights: p.weights}
		for i, s := range claim.buffered {
			if i >= limit && s.Group != claim.buffered[i-1].Group {
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

func (p *Pool) dropStaleLocked(claim *claimState) {
	kept := claim.buffered[:0]
	dropped := ""
	for _, s := range claim.buffered {
		if s.Group == dropped || p.isStaleLocked(s) {
			dropped = s.Group
			continue
		}
		kept = append(kept, s)
	}
	if len(kept) < len(claim.buffered) {
		claim.buffered = kept
		p.broadcastLocked()
	}
}

// Ack commits a claim's cursor in the platform. It is idempotent: a cursor that is not above the
// committed one succeeds at once. The error is ErrNotLeader if this entry does not hold the lease,
// ErrFenced if a newer leader has stamped the claim, and ErrUnavailable if the platform did not
// answer and the outcome is unknown; the trainer then acknowledges again.
func (p *Pool) Ack(ctx context.Context, name cf.ClaimName, cursor int64) error {
	p.mu.Lock()
	if !p.isLeaderLocked() {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
	}
	claim := p.claims[name]
	if claim == nil {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrNotFound, "claim %s", p.claimName(name))
	}
	if cursor <= claim.committedCursor {
		p.mu.Unlock()
		return nil
	}
	if cursor >= claim.nextSeq {
		p.mu.Unlock()
		return eris.Wrapf(cf.ErrInvalid, "cursor %d is past the last sample %d", cursor, claim.nextSeq-1)
	}
	epoch, version := p.epoch, claim.objectVersion
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
	if claim = p.claims[name]; claim == nil || p.epoch != epoch {
		return eris.Wrapf(cf.ErrNotLeader, "pool %s", p.settings.Name)
	}
	claim.committedCursor, claim.objectVersion = max(claim.committedCursor, cursor), newVersion
	n := 0
	for n < len(claim.buffered) && claim.buffered[n].Seq <= claim.committedCursor {
		n++
	}
	claim.buffered = claim.buffered[n:]
	p.broadcastLocked()
	return nil
}

// commitCursor writes cursor and epoch to the claim object if the object still has the version that
// this leader last read or wrote, and returns the new version. A newer leader's stamp changes the
// version, so the commit of an old leader fails with ErrFenced and does not overwrite the cursor.
// If the write fails, commitCursor reads the object again: a lost response counts as success if the
// write took effect, and as ErrUnavailable otherwise, after which the trainer acknowledges again.
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

// SetWeights records a new weight version of the pool and orders the engines to load it. It returns
// ErrConflict for a version below the current one, since weight versions must not decrease.
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

// checkLease returns an error if this entry no longer holds the lease. It is called before an order
// to an engine that ignores fencing tokens: such an engine cannot refuse the order of an old leader
// that was paused, so the leader must check for itself.
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

func toInt64s(weights []cf.WeightVersion) []int64 {
	out := make([]int64, len(weights))
	for i, w := range weights {
		out[i] = int64(w)
	}
	return out
}
