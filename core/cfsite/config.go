// Package cfsite holds an instance's view of its site: the configuration in force, the targets with
// their drain state, and the weight versions that trainers have named. It has no clock and no
// connections: watchers feed it records, and the decision logic reads it.
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
	// ConfigVersion numbers configurations; a higher one replaces a lower one.
	ConfigVersion int64

	// RouteKind tells how often a request may run.
	RouteKind int

	// Config is one version of the operator's configuration.
	Config struct {
		Version  ConfigVersion
		Routes   []Route
		Services []Service
		Limits   Limits
		// Organisations are those that callers belong to, nil if the deployment defines none.
		// Directory finds them by their keys.
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
		// Timeout is the longest time that a request is kept waiting.
		Timeout cf.Millis
		// SLO is the answer time objective; answers within it are worth most.
		SLO         cf.Millis
		MaxAttempts int // limit on the targets that one request may be sent to
		// MaxWait and SingleVersion concern batches: when an item may be given up, and whether a
		// single weight version must have produced a sample.
		MaxWait       cf.Millis
		SingleVersion bool
		// ResultsSLO is how long after the submission of a batch its results are needed, zero if
		// unspecified.
		ResultsSLO cf.Millis
		// Resumable streams may be continued at another target.
		Resumable bool
		// Public routes require no key from callers.
		Public bool
		// Priority ranks the route's requests; 0 is the highest.
		Priority int
	}

	// Share is one service of a split route, with its weight.
	Share struct {
		Service cf.ServiceName
		Weight  float64
	}

	// Service is a group of interchangeable targets.
	Service struct {
		Name cf.ServiceName
		// Models is set for model targets.
		Models []cf.ModelName
		// Scaling bounds the engines that may be ordered for the service, nil if none may be.
		Scaling *Scaling
	}

	// Scaling bounds the orders of a service's engines.
	Scaling struct {
		// Min and Max bound the engines of each failure domain, firm and reclaimable ones together.
		Min, Max int
		// BootTime is how long after an order an engine is in service.
		BootTime cf.Millis
		// SpotPrice is the price of a reclaimable engine as a fraction of a firm one's, zero if
		// there are none. DomainPrices are factors on both prices, by failure domain.
		SpotPrice    float64
		DomainPrices map[cf.FailureDomain]float64
	}

	// Limits bounds what a caller may send.
	Limits struct {
		BodyBytes int64
		// HeaderBytes is the largest size of a request's headers, zero if it is not known.
		HeaderBytes int64
		IdleTimeout cf.Millis
	}

	// Kinds names the store's record kinds that other components write.
	Kinds struct {
		Config      string
		Targets     string
		Versions    string
		Retirements string
	}

	// Codec decodes the records that other components write.
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
	// KindStream requests are answered by streams; they run at most once unless the route is
	// resumable.
	KindStream
	// KindBatch routes accept batches.
	KindBatch
)

// setDirectory sets the directory of the organisations, derived from that of the previous
// configuration if there is one.
func (c *Config) setDirectory(previous *Config) error {
	if c.Organisations == nil {
		return nil
	}
	var err error
	if previous != nil && previous.Directory != nil {
		c.Directory, err = previous.Directory.Next(c.Organisations)
	} else {
		c.Directory, err = cfaccess.NewDirectory(c.Organisations)
	}
	return err
}

// Match returns the route of host with the longest prefix of path.
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

// PickService selects a service of a split route by weight; draw is uniform in [0, 1).
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

// Use returns the access settings of the route for its requests.
func (r *Route) Use() cfaccess.Use { return cfaccess.Use{Public: r.Public, Priority: r.Priority} }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// ForwardedServices returns the services to which instances forward single requests. Items of
// batches are sent to targets by the coordinator only.
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
