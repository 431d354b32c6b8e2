package cfingress

import (
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfsite"
)

// unsureRetry is when a caller should come back whose key this instance can't judge.
// It hears of a configuration within a second of reaching anybody.
const unsureRetry cf.Millis = 300

// ConfigStatus is how far this instance can rely on its configuration, and how long ago it was
// last known to be the newest.
type ConfigStatus struct {
	cfaccess.ConfigFreshness
	Age cf.Millis
}

// belief returns that of this instance; one that is not told relies on what it has.
func (in *Ingress) belief() ConfigStatus {
	if in.ConfigStatus == nil {
		return ConfigStatus{ConfigFreshness: cfaccess.ConfigFreshness{Current: true, KeysTrusted: true}}
	}
	return in.ConfigStatus()
}

// identify says who a request comes from. It returns a refusal where another instance
// may know better, or ErrUnauthenticated.
func (in *Ingress) identify(config *cfsite.Config, use cfaccess.Use, who cf.Credentials, request string) (cf.Access, error) {
	b := in.belief()
	verdict, access := config.Directory.Authenticate(who.Keys, use, b.ConfigFreshness)
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
		zap.Int64("config_version", int64(config.Version)), zap.Int64("config_age_ms", int64(b.Age)), zap.Bool("current", b.Current))
	if verdict == cfaccess.Undetermined {
		return cf.Access{}, &cf.Refusal{RetryAfter: unsureRetry, Reason: "the configuration may have changed"}
	}
	return cf.Access{}, cf.ErrUnauthenticated
}

// Authenticate implements currantford.Ingress. A request without a route may be read: the
// answer does not hang on who asks.
func (in *Ingress) Authenticate(host, path string, who cf.Credentials) error {
	config := in.Site.Config()
	route, ok := config.Match(host, path)
	if !ok {
		return nil
	}
	_, err := in.identify(config, route.Use(), who, "")
	return err
}

// reader returns whose batches a caller may use. One without any key may use those that
// were handed in on public routes; whatever else it asks for, it is told to show a key.
func (in *Ingress) reader(who cf.Credentials, id cf.BatchID) (owner cf.Organisation, anonymous bool, err error) {
	config := in.Site.Config()
	if config.Directory != nil && len(who.Keys) == 0 {
		return "", true, nil
	}
	access, err := in.identify(config, cfaccess.Use{}, who, string(id))
	return access.Organisation, false, err
}

// definite returns an answer that hangs on the configuration, or a refusal where another
// instance may know a newer one.
func (in *Ingress) definite(err error) error {
	if in.belief().Current {
		return err
	}
	return &cf.Refusal{RetryAfter: unsureRetry, Reason: "the configuration may have changed"}
}

// notFound turns the answer to a caller without a key into one that tells it nothing of
// what there is.
func (in *Ingress) notFound(anonymous bool, err error) error {
	if anonymous && errors.Is(err, cf.ErrNotFound) {
		return in.definite(cf.ErrUnauthenticated)
	}
	return err
}
