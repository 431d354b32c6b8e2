package cfingress

import (
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfsite"
)

// staleConfigRetry is the retry delay for a caller whose key this instance can't judge. An instance
// learns of a new configuration within a second of reaching any other.
const staleConfigRetry cf.Millis = 300

// ConfigStatus tells how far this instance can rely on its configuration, and how long ago the
// configuration was last known to be the newest.
type ConfigStatus struct {
	cfaccess.ConfigFreshness
	Age cf.Millis
}

// configStatus returns the status of this instance's configuration. Without a ConfigStatus option
// the configuration is taken as the newest.
func (in *Ingress) configStatus() ConfigStatus {
	if in.ConfigStatus == nil {
		return ConfigStatus{ConfigFreshness: cfaccess.ConfigFreshness{Current: true, KeysTrusted: true}}
	}
	return in.ConfigStatus()
}

// identify returns the access rights of the caller that sent a request. It returns a Refusal if
// another instance may know the key, or ErrUnauthenticated.
func (in *Ingress) identify(config *cfsite.Config, use cfaccess.Use, who cf.Credentials, request string) (cf.Access, error) {
	status := in.configStatus()
	verdict, access := config.Directory.Authenticate(who.Keys, use, status.ConfigFreshness)
	if verdict == cfaccess.Accepted {
		return access, nil
	}
	outcome, reason := "unauthenticated", "unknown"
	switch {
	case verdict == cfaccess.Undetermined:
		outcome = "unsure"
	case len(who.Keys) == 0:
		reason = "missing"
	case len(who.Keys) > 1:
		reason = "doubled"
	}
	in.Metrics.Unauthenticated.WithLabelValues(outcome, reason).Inc()
	in.Log.Info("request_not_identified", zap.String("request_id", request), zap.String("outcome", outcome), zap.String("reason", reason),
		zap.Int64("config_version", int64(config.Version)), zap.Int64("config_age_ms", int64(status.Age)), zap.Bool("current", status.Current))
	if verdict == cfaccess.Undetermined {
		return cf.Access{}, &cf.Refusal{RetryAfter: staleConfigRetry, Reason: "the configuration may have changed"}
	}
	return cf.Access{}, cf.ErrUnauthenticated
}

// Authenticate implements currantford.Ingress. A request without a route passes: its body may be
// read, since the answer does not depend on the caller.
func (in *Ingress) Authenticate(host, path string, who cf.Credentials) error {
	config := in.Site.Config()
	route, ok := config.Match(host, path)
	if !ok {
		return nil
	}
	_, err := in.identify(config, route.Use(), who, "")
	return err
}

// identifyReader returns the organisation whose batches a caller may access. A caller without a key
// may access the batches that were submitted on public routes; for any other batch the answer asks
// for a key.
func (in *Ingress) identifyReader(who cf.Credentials, id cf.BatchID) (owner cf.Organisation, anonymous bool, err error) {
	config := in.Site.Config()
	if config.Directory != nil && len(who.Keys) == 0 {
		return "", true, nil
	}
	access, err := in.identify(config, cfaccess.Use{}, who, string(id))
	return access.Organisation, false, err
}

// unlessStale returns err, which depends on the configuration, or a Refusal if another instance may
// know a newer configuration.
func (in *Ingress) unlessStale(err error) error {
	if in.configStatus().Current {
		return err
	}
	return &cf.Refusal{RetryAfter: staleConfigRetry, Reason: "the configuration may have changed"}
}

// hideNotFound replaces ErrNotFound for a caller without a key, so that the answer does not
// disclose which batches exist.
func (in *Ingress) hideNotFound(anonymous bool, err error) error {
	if anonymous && errors.Is(err, cf.ErrNotFound) {
		return in.unlessStale(cf.ErrUnauthenticated)
	}
	return err
}
