package cfcoord

import (
	"encoding/json"
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cfwatch"
)

func (c *Coordinator) versionWatcher() *cfwatch.Watcher {
	apply := func(r cf.Record) error {
		changed, err := c.Site.ApplyWeightVersion(r)
		if changed {
			c.Log.Info("version_named", zap.String("model", r.Name), zap.Int64("revision", int64(r.Rev)))
			c.Wake()
		}
		return err
	}
	return &cfwatch.Watcher{
		Store: c.Store, Kind: c.Codec.Kinds().Versions, Wait: versionWatchTimeout, Log: c.Log, OnChange: apply,
		OnList: cfwatch.ForEach(apply),
	}
}

func (c *Coordinator) retirementWatcher() *cfwatch.Watcher {
	apply := func(r cf.Record) error {
		if r.Deleted {
			return nil
		}
		want, err := json.Marshal(c.Codec.RetirementDone())
		if err != nil || string(r.Status) == string(want) {
			return err
		}
		// Instances hold no durable state, so an instance that is to be retired need not be drained
		// first.
		c.Log.Info("retirement_done", zap.String("instance", r.Name))
		return c.confirmRetirement(r.Name)
	}
	return &cfwatch.Watcher{
		Store: c.Store, Kind: c.Codec.Kinds().Retirements, Wait: retirementWatchTimeout, Log: c.Log, OnChange: apply,
		OnList: cfwatch.ForEach(apply),
	}
}

func (c *Coordinator) confirmRetirement(name string) error {
	for {
		err := c.Store.SetStatus(c.ctx, c.Codec.Kinds().Retirements, name, c.Codec.RetirementDone())
		if err == nil || errors.Is(err, cf.ErrNotFound) || c.ctx.Err() != nil {
			return nil
		}
		c.sleep(chunkRetryDelay)
	}
}
