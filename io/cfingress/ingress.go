// Package cfingress is what an entry instance does for callers: it forwards
// requests to targets, accepts batches, answers reads of them, and tells
// callers which instances to use. The decisions are cfbalance's (targets,
// attempts), cfsite's (routes) and cfmember's (instances).
//
// Usage:
//
//	in := cfingress.New(options)
//	handler := platform.NewDeadlineTracker(in, log)
package cfingress

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfadmission"
	"currantford/core/cfbalance"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cfguard"
	"currantford/io/cfroom"
)

const (
	// resolveTTL is how long callers keep an address list. Some keep it
	// three times as long, which must fit into a planned stop.
	resolveTTL cf.Millis = 1500
	// resolveMost bounds the address list.
	resolveMost = 64
)

type (
	// Coordinator reads batches at whichever instance has the duty. It
	// returns ErrNotLeader or ErrUnavailable when only the store can tell.
	Coordinator interface {
		Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error)
		ItemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error)
		// Prepare gives it a batch that may be accepted.
		Prepare(sub cf.Submission)
		// Accepted tells it that a batch has just been accepted.
		Accepted(id cf.BatchID, at cf.Millis)
		// Changed tells it that a batch was accepted or ended; it learns
		// the same from the store, perhaps later.
		Changed(id cf.BatchID, ended bool)
	}

	// Feasibility asks the coordinator whether not one group of a step that is about to be accepted
	// could be whole in time, and when to come back.
	Feasibility interface {
		Infeasible(ctx context.Context, sub cf.Submission) (retryAfter cf.Millis, infeasible bool)
	}

	// Members shows the instances that take callers.
	Members interface {
		Live() []cfmember.Entry
	}

	// Options are what an ingress works with.
	Options struct {
		Store       cf.Store
		Targets     cf.Targets
		Site        *cfsite.Site
		Coordinator Coordinator
		// Feasibility may be nil: no step is refused as infeasible.
		Feasibility Feasibility
		Members     Members
		// Guard decides which requests may be sent, and learns how they ended.
		Guard *cfguard.Guard
		// ConfigStatus tells how far this instance can rely on its configuration; nil: it
		// is the newest.
		ConfigStatus func() ConfigStatus
		// CountRequests counts requests of an organisation that began to run at an Uptime; nil
		// where nobody asks.
		CountRequests func(o cf.Organisation, began cf.Millis, requests int64)
		// Rooms bounds what answers take of the memory; nil: nothing does.
		Rooms *cfroom.Rooms
		// NoAdmission sends requests on without limits of this instance's own.
		NoAdmission bool
		// ValueBytes is the store's limit for one object.
		ValueBytes int64
		// MemoryBytes is the process's memory limit, zero if there is none.
		MemoryBytes int64
		// IgnorePace leaves out what targets say of their pace.
		IgnorePace bool
		Metrics    *Metrics
		Log        *zap.Logger
	}

	// Ingress implements currantford.Ingress.
	Ingress struct {
		Options
		balancer  *cfbalance.Balancer
		returns   *cfbalance.RetryScheduler
		admission *cfadmission.Controller
		callers   *cfadmission.DeadlineTracker
		bodies    bodies
		stopping  atomic.Bool
	}

	// Metrics are the ingress's counters.
	Metrics struct {
		Requests        *prometheus.CounterVec
		Duration        *prometheus.HistogramVec
		Unauthenticated *prometheus.CounterVec
		Admissions      *prometheus.CounterVec
		AdmissionWait   prometheus.Histogram
	}
)

var _ cf.Ingress = (*Ingress)(nil)

// NewMetrics registers the ingress's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_requests_total", Help: "Callers' requests by call and outcome."}, []string{"call", "outcome"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "currantford_request_seconds", Help: "Time to answer callers' requests by call.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11)}, []string{"call"}),
		Unauthenticated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_requests_not_identified_total", Help: "Callers' requests without a key that is in force, by what became of them and why."}, []string{"outcome", "reason"}),
	}
	m.Admissions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_admissions_total", Help: "Sends to targets that were limited, by what was decided."}, []string{"outcome"})
	m.AdmissionWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "currantford_admission_wait_seconds", Help: "Time that requests waited for a send to a target that was limited.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 10)})
	reg.MustRegister(m.Requests, m.Duration, m.Unauthenticated, m.Admissions, m.AdmissionWait)
	return m
}

// New returns an ingress.
func New(o Options) *Ingress {
	in := &Ingress{Options: o, balancer: cfbalance.New(), returns: cfbalance.NewRetryScheduler(), admission: cfadmission.New(), callers: cfadmission.NewDeadlineTracker(), bodies: bodies{most: o.MemoryBytes / bodyPart}}
	in.balancer.IgnorePace = o.IgnorePace
	return in
}

// Stop makes the instance not ready: callers are sent elsewhere, and those
// who still come are served.
func (in *Ingress) Stop() { in.stopping.Store(true) }

// Ready says whether callers may be sent to this instance. One that knows its
// routes and no targets yet, or not which requests are held, would refuse them all.
func (in *Ingress) Ready() bool {
	return !in.stopping.Load() && in.Guard.Synced() && in.Site.Config() != nil && in.Site.TargetsRevision() > 0
}

// Resolve returns the addresses for a caller in domain.
func (in *Ingress) Resolve(domain cf.FailureDomain) ([]string, cf.Millis) {
	return cfmember.Nearest(in.Members.Live(), domain, resolveMost), resolveTTL
}

// Limits returns the bounds on what callers may send.
func (in *Ingress) Limits() (cf.CallerLimits, bool) {
	c := in.Site.Config()
	if c == nil {
		return cf.CallerLimits{}, false
	}
	return cf.CallerLimits{BodyBytes: c.Limits.BodyBytes}, true
}

// AcceptsBatches says whether host and path belong to a route for batches.
func (in *Ingress) AcceptsBatches(host, path string) bool {
	r, ok := in.Site.Config().Match(host, path)
	return ok && r.Kind == cfsite.KindBatch
}
