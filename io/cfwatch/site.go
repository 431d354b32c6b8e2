package cfwatch

import (
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
)

const (
	// siteWait bounds the watches of the configuration and the targets. A
	// watcher whose link to the store was cut believes itself current for
	// this long, and a change must be in force within two seconds.
	siteWait cf.Millis = 700
	// MaxViewAge is the age beyond which a view of the site is doubted: a
	// whole wait and a slow answer.
	MaxViewAge cf.Millis = 1100
	// MaxRelistAge is the same of a view of targets that is listed again.
	MaxRelistAge cf.Millis = 2200
	// targetPause lets the changes of targets gather between calls.
	targetPause cf.Millis = 100
)

// configName is the object that holds the newest configuration.
const configName = "main"

// LogConfigApplied tells of a configuration that has come in force, from where, and how long ago
// the one before was last known to be the newest.
func LogConfigApplied(log *zap.Logger, site *cfsite.Site, source string, age cf.Millis) {
	r := site.ConfigRecord()
	log.Info("config_in_force", zap.Int64("config_version", int64(site.Config().Version)), zap.Int64("revision", int64(r.Rev)),
		zap.String("source", source), zap.Int("bytes", len(r.Spec)), zap.Int64("config_age_ms", int64(age)))
}

// NewSiteWatchers returns the watchers that keep site's configuration and targets
// current.
func NewSiteWatchers(store cf.Store, site *cfsite.Site, codec cfsite.Codec, metrics *Metrics, log *zap.Logger) (config, targets *Watcher) {
	kinds := codec.Kinds()
	takeConfig := func(r cf.Record) error {
		if r.Name != configName {
			return nil
		}
		changed, err := site.ApplyConfig(r)
		if changed {
			LogConfigApplied(log, site, "store", config.Age(cf.Uptime()))
		}
		return err
	}
	config = &Watcher{
		Store: store, Kind: kinds.Config, Wait: siteWait, Log: log, Metrics: metrics, OnChange: takeConfig,
		OnList: ForEach(takeConfig),
	}
	targets = &Watcher{
		Store: store, Kind: kinds.Targets, Wait: siteWait, CoalesceDelay: targetPause, Log: log, Metrics: metrics,
		OnChange: func(r cf.Record) error {
			t, changed, err := site.ApplyTarget(r, cf.Uptime())
			if changed {
				log.Info("target_changed", zap.String("target", r.Name), zap.String("service", string(t.Service)),
					zap.Bool("draining", t.Draining), zap.Bool("gone", r.Deleted), zap.Int64("revision", int64(r.Rev)))
			}
			return err
		},
		OnList: func(list cf.Records) error {
			var errs []error
			var ts []cf.Target
			for _, r := range list.Items {
				t, err := codec.Target(r)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				ts = append(ts, t)
			}
			gone, applied := site.ReplaceTargets(ts, list.Rev, cf.Uptime())
			log.Info("targets_listed", zap.Int("targets", len(ts)), zap.Int("gone", len(gone)), zap.Bool("applied", applied),
				zap.Int64("revision", int64(list.Rev)))
			return errors.Join(errs...)
		},
		OnRevision:  site.Advance,
		OnReconnect: func() { site.StoreReconnected(cf.Uptime()) },
	}
	return config, targets
}
