// Package cfsite holds what an instance believes of its site: the
// configuration in force, the targets with their drain state, and the weight
// versions that trainers have named. It has no clock and no connections: the
// watchers feed it records, the deciders read it.
//
// Usage:
//
//	site := cfsite.New(codec)
//	changed, err := site.ApplyConfig(record)
//	route, ok := site.Config().Match(host, path)
package cfsite

import (
	"strings"

	cf "currantford"
	"currantford/core/cfaccess"
)

type (
	// ConfigVersion numbers configurations; a higher one replaces a lower.
	ConfigVersion int64

	// RouteKind says what may be repeated.
	RouteKind int

	// Config is one version of the operator's configuration.
	Config struct {
		Version  ConfigVersion
		Routes   []Route
		Services []Service
		Limits   Limits
		// Organisations are those that callers belong to, nil where the deployment
		// keeps none; Directory finds them by their keys.
		Organisations []cfaccess.Organisation
		Directory     *cfaccess.Directory
	}

	// Route maps requests of a host and path prefix to services.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   RouteKind
		Split  []Share
		// Timeout is the longest time a request is kept waiting.
		Timeout cf.Millis
		// SLO is the time in which an answer is worth most.
		SLO         cf.Millis
		MaxAttempts int // most targets that one attempt may be sent to
		// MaxWait and SingleVersion concern batches: when an item may be
		// given up, and whether one weight version must have produced a
		// sample.
		MaxWait       cf.Millis
		SingleVersion bool
		// ResultsSLO is how long after a batch was handed in its results are
		// needed, zero if that is not said.
		ResultsSLO cf.Millis
		// Resumable streams may go on at another target.
		Resumable bool
		// Public routes ask callers for no key.
		Public bool
		// Priority ranks the route's requests, 0 first.
		Priority int
	}

	// Share is one service of a split route.
	Share struct {
		Service cf.ServiceName
		Weight  float64
	}

	// Service is a group of interchangeable targets.
	Service struct {
		Name cf.ServiceName
		// Models is set for model targets.
		Models []cf.ModelName
		// Scaling says which of them may be ordered, nil where none may.
		Scaling *Scaling
	}

	// Scaling bounds what is ordered of a service's engines.
	Scaling struct {
		// Min and Max bound the engines of each failure domain, of both kinds together.
		Min, Max int
		// BootTime is how long after an order an engine is in service.
		BootTime cf.Millis
		// SpotPrice is the price of a reclaimable engine as a part of a firm one's, zero
		// where there are none; DomainPrices multiply both.
		SpotPrice    float64
		DomainPrices map[cf.FailureDomain]float64
	}

	// Limits bound what a caller may send.
	Limits struct {
		BodyBytes   int64
		IdleTimeout cf.Millis
	}

	// Kinds names the kinds of the store that others write.
	Kinds struct {
		Config      string
		Targets     string
		Versions    string
		Retirements string
	}

	// Codec decodes the records that others write.
	Codec interface {
		Kinds() Kinds
		Config(cf.Record) (Config, error)
		Target(cf.Record) (cf.Target, error)
		Version(cf.Record) (cf.ModelState, error)
		RetirementDone() any
	}
)

// Route kinds.
const (
	// KindOnce requests may run at most once.
	KindOnce RouteKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream answers are streams; they run at most once unless the
	// route is resumable.
	KindStream
	// KindBatch routes take batches.
	KindBatch
)

// directed sets the directory of the organisations, by that of the configuration before.
func (c *Config) directed(before *Config) error {
	if c.Organisations == nil {
		return nil
	}
	var err error
	if before != nil && before.Directory != nil {
		c.Directory, err = before.Directory.Next(c.Organisations)
	} else {
		c.Directory, err = cfaccess.NewDirectory(c.Organisations)
	}
	return err
}

// Match returns the route of host whose prefix is the longest that begins
// path.
func (c *Config) Match(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// PickService chooses a service of a split route; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) cf.ServiceName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.Split {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Use returns what a request on the route asks for.
func (r *Route) Use() cfaccess.Use { return cfaccess.Use{Public: r.Public, Priority: r.Priority} }

// Idempotent says whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// ForwardedServices returns the services to which instances forward single requests. Items of
// batches go to targets by the coordinator alone.
func (c *Config) ForwardedServices() map[cf.ServiceName]bool {
	out := map[cf.ServiceName]bool{}
	for _, r := range c.Routes {
		if r.Kind == KindBatch {
			continue
		}
		for _, s := range r.Split {
			out[s.Service] = true
		}
	}
	return out
}
