// Package cfingress implements what an entry instance does for callers: it forwards requests to
// targets, accepts batches, answers reads of them, and tells callers which instances to use. The
// decisions are made by cfbalance (targets, attempts), cfadmission (admission control), cfsite
// (routes) and cfmember (instances).
//
// Usage:
//
//	in := cfingress.New(options)
//	handler := platform.NewCallerAPI(in, log)
package cfingress

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfadmission"
	"currantford/core/cfbalance"
	"currantford/core/cfbatch"
	"currantford/core/cfdrain"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cfguard"
	"currantford/io/cfroom"
)

const (
	// resolveTTL is how long callers keep an address list. Some keep it three times as long, which
	// must fit into the time of a planned stop.
	resolveTTL cf.Millis = 1500
	// resolveLimit is the maximum number of addresses in the list.
	resolveLimit = 64
)

type (
	// Coordinator accesses batches at the instance that currently coordinates them. It returns
	// ErrNotLeader or ErrUnavailable if only the store can answer.
	Coordinator interface {
		Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error)
		ItemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error)
		// Prepare passes on a batch that is about to be accepted.
		Prepare(sub cf.Submission)
		// Accepted reports that a batch has just been accepted.
		Accepted(id cf.BatchID, at cf.Millis)
		// Changed reports that a batch was accepted or has ended. The coordinator learns this from
		// the store as well, perhaps later.
		Changed(id cf.BatchID, ended bool)
	}

	// Feasibility asks the coordinator whether a batch may be accepted: whether there is memory for
	// its items, which take cost bytes, and whether at least one of its groups could be complete in
	// time.
	Feasibility interface {
		CheckBatch(ctx context.Context, sub cf.Submission, cost int64) cfbatch.Admission
	}

	// Members lists the instances that accept callers.
	Members interface {
		Live() []cfmember.Entry
	}

	// Options configure an Ingress.
	Options struct {
		Store       cf.Store
		Targets     cf.Targets
		Site        *cfsite.Site
		Coordinator Coordinator
		// Feasibility may be nil; then all batches are accepted.
		Feasibility Feasibility
		Members     Members
		// Guard decides which requests may be sent, and is told how they ended.
		Guard *cfguard.Guard
		// ConfigStatus returns how far this instance can rely on its configuration. If it is nil,
		// the configuration is taken as the newest.
		ConfigStatus func() ConfigStatus
		// CountRequests adds to the number of requests of an organisation that began to run at
		// began, a cf.Uptime. A negative number corrects an earlier count. CountRequests may be
		// nil.
		CountRequests func(o cf.Organisation, began cf.Millis, requests int64)
		// Drain decides what is accepted while the instance stops; nil means a new one.
		Drain *cfdrain.Drain
		// Rooms limits the memory taken by answers; nil means no limit.
		Rooms *cfroom.Rooms
		// NoAdmission disables admission control.
		NoAdmission bool
		// ValueBytes is the store's size limit for one object.
		ValueBytes int64
		// IgnorePace disregards the pace that targets report.
		IgnorePace bool
		Metrics    *Metrics
		Log        *zap.Logger
	}

	// Ingress implements currantford.Ingress.
	Ingress struct {
		Options
		balancer  *cfbalance.Balancer
		retries   *cfbalance.RetryScheduler
		admission *cfadmission.Controller
		deadlines *cfadmission.DeadlineTracker
		stopping  atomic.Bool
	}

	// Metrics are the metrics of an Ingress.
	Metrics struct {
		Requests        *prometheus.CounterVec
		Duration        *prometheus.HistogramVec
		Unauthenticated *prometheus.CounterVec
		Admissions      *prometheus.CounterVec
		AdmissionWait   prometheus.Histogram
	}
)

var _ cf.Ingress = (*Ingress)(nil)

// NewMetrics registers the metrics of an Ingress.
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

// New returns an Ingress.
func New(o Options) *Ingress {
	if o.Drain == nil {
		o.Drain = cfdrain.New()
	}
	in := &Ingress{Options: o, balancer: cfbalance.New(), retries: cfbalance.NewRetryScheduler(), admission: cfadmission.New(), deadlines: cfadmission.NewDeadlineTracker()}
	in.balancer.IgnorePace = o.IgnorePace
	return in
}

// Stop makes the instance not ready, so that callers are sent to other instances. Requests that
// still arrive are served if their answers will be complete by until, an Uptime, and are refused
// otherwise.
func (in *Ingress) Stop(until cf.Millis) {
	in.Drain.BeginAt(cf.Uptime(), until)
	in.stopping.Store(true)
}

// Ready reports whether callers may be sent to this instance. Without targets, or without knowing
// which requests are held, the instance would refuse all requests.
func (in *Ingress) Ready() bool {
	return !in.stopping.Load() && in.Guard.Synced() && in.Site.Config() != nil && in.Site.TargetsRevision() > 0
}

// Resolve returns addresses of entry instances for a caller in a failure domain.
func (in *Ingress) Resolve(domain cf.FailureDomain) ([]string, cf.Millis) {
	return cfmember.Nearest(in.Members.Live(), domain, resolveLimit), resolveTTL
}

// Limits returns the limits for what callers may send, and false while no configuration is known.
func (in *Ingress) Limits() (cf.CallerLimits, bool) {
	c := in.Site.Config()
	if c == nil {
		return cf.CallerLimits{}, false
	}
	return cf.CallerLimits{BodyBytes: c.Limits.BodyBytes}, true
}

// AcceptsBatches reports whether host and path match a route for batches.
func (in *Ingress) AcceptsBatches(host, path string) bool {
	r, ok := in.Site.Config().Match(host, path)
	return ok && r.Kind == cfsite.KindBatch
}
