// Package cfguard finds out what became of targets that lost a request. A request
// whose answer does not come may have met a connection that its target closed, a link
// that was cut, or a target that has ended; only a new connection tells them apart.
//
// Usage:
//
//	g := cfguard.New(cfguard.Options{Targets: targets, Log: log})
//	defer g.Close()
//	g.Lost(id, key, target)
package cfguard

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/cflog"
	"currantford/cfquarantine"
)

// checkTimeout bounds the new connection by which a target is checked; the longest
// round trip between failure domains takes 16 ms.
const checkTimeout = 300 * time.Millisecond

type (
	// Options are what a guard works with.
	Options struct {
		Targets cf.Targets
		Log     *zap.Logger
	}

	// Guard follows requests that targets lost. It is safe for concurrent use; a nil
	// one does nothing. Close waits for the checks under way.
	Guard struct {
		Options
		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup
	}
)

// New returns a guard.
func New(o Options) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{Options: o, ctx: ctx, cancel: cancel}
}

// Close ends the checks under way.
func (g *Guard) Close() error {
	g.cancel()
	g.wg.Wait()
	return nil
}

// Lost notes that a target was sent a request and gave no answer.
func (g *Guard) Lost(id cf.RequestID, key cfquarantine.Key, target cf.Target) {
	if g == nil {
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, checkTimeout)
		defer cancel()
		err := g.Targets.Reach(ctx, target)
		g.Log.Info("target_checked", zap.String("request_id", string(id)), zap.Stringer("request_digest", key.Content),
			zap.Stringer("caller_digest", key.Caller), zap.String("target", string(target.ID)), zap.Int64("born_ms", int64(target.Born)),
			zap.Bool("reached", err == nil), cflog.Error(err))
	})
}
