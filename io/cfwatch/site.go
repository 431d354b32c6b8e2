package cfwatch

import (
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
)

const (
	// siteWatchWait bounds the watch calls for the configuration and the targets. A watcher whose
	// link to the store is cut considers itself current for this long, and a change must be in
	// force within two seconds.
	siteWatchWait cf.Millis = 700
	// MaxViewAge is the age from which a view of the site is in doubt: a whole wait and a slow
	// answer.
	MaxViewAge cf.Millis = 1100
	// MaxRelistAge is the same for a view of the targets that is being listed again.
	MaxRelistAge cf.Millis = 2200
	// targetCoalesceDelay lets changes of targets accumulate between calls.
	targetCoalesceDelay cf.Millis = 100
)

// configName is the name of the object with the newest configuration.
const configName = "main"

// LogConfigApplied logs the configuration that has come into force, its source, and how long ago
// the previous one was last known to be the newest.
func LogConfigApplied(log *zap.Logger, site *cfsite.Site, source string, age cf.Millis) {
	r := site.ConfigRecord()
	log.Info("config_in_force", zap.Int64("config_version", int64(site.Config().Version)), zap.Int64("revision", int64(r.Rev)),
		zap.String("source", source), zap.Int("bytes", len(r.Spec)), zap.Int64("config_age_ms", int64(age)))
}

// NewSiteWatchers returns the watchers that keep site's configuration and targets current.
func NewSiteWatchers(store cf.Store, site *cfsite.Site, codec cfsite.Codec, metrics *Metrics, log *zap.Logger) (config, targets *Watcher) {
	kinds := codec.Kinds()
	applyConfig := func(r cf.Record) error {
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
		Store: store, Kind: kinds.Config, Wait: siteWatchWait, Log: log, Metrics: metrics, OnChange: applyConfig,
		OnList: ForEach(applyConfig),
	}
	targets = &Watcher{
		Store: store, Kind: kinds.Targets, Wait: siteWatchWait, CoalesceDelay: targetCoalesceDelay, Log: log, Metrics: metrics,
		OnChange: func(r cf.Record) error {
			t, changed, err := site.ApplyTarget(r, cf.Uptime())
			switch {
			case changed:
				log.Info("target_changed", zap.String("target", r.Name), zap.String("service", string(t.Service)),
					zap.Bool("draining", t.Draining), zap.Bool("gone", r.Deleted), zap.Int64("revision", int64(r.Rev)))
			case r.Deleted && t.ID != "":
				log.Info("target_kept", zap.String("target", r.Name), zap.String("service", string(t.Service)), zap.Int64("revision", int64(r.Rev)))
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
			removed, applied := site.ReplaceTargets(ts, list.Rev, cf.Uptime())
			log.Info("targets_listed", zap.Int("targets", len(ts)), zap.Int("gone", len(removed)), zap.Bool("applied", applied),
				zap.Int64("revision", int64(list.Rev)))
			return errors.Join(errs...)
		},
		OnRevision: site.Advance,
	}
	return config, targets
}
