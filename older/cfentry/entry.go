// Package cfentry implements an entry instance, the process that callers, trainers and operators
// connect to. It lists the entries under GET /v1/entries, so that callers can select one themselves
// (there is no load balancer). It routes live completions to engines and streams the responses
// back. It forwards calls to services, at most once if the service is not idempotent. It also
// serves the trainers' claims on rollout pools and forwards their requests over the peer link to
// the entry that leads the pool.
//
// An entry keeps only state in memory that it can rebuild: the engines' load reports, the instance
// list, and the samples of the pools it leads. Leases, claim cursors and weight versions are stored
// in the platform's object API.
//
// Usage:
//
//	e, err := cfentry.New(site, "entry-1", log)
//	e.Run(ctx)              // starts leases, load polls and the instance list
//	err = e.Serve(listener) // until Shutdown
//	e.Shutdown(ctx)         // drains and stops without aborting requests
package cfentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cfpeer"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
	"currantford/older/cfpool"
	"currantford/older/cfroute"
)

// Roles and states of instances in the instance list.
const (
	RoleEntry         = "entry"
	RoleEngine        = "engine"
	StateLive         = "live"
	StateLeaving      = "leaving"
	retryAfterSeconds = "1"
)

type (
	// Entry is an entry instance.
	Entry struct {
		site   cfconfig.Site
		self   cfconfig.Entry
		store  *cfplatform.Client
		router cf.Router
		log    *zap.Logger

		peerSrv  *cfpeer.Server
		peers    *cfpeer.Client
		pools    map[cf.PoolName]*cfpool.Pool
		engines  *engineSet
		services *serviceSet
		http     *http.Server
		metrics  metrics

		mu        sync.Mutex
		instances map[string]Instance
		leaving   bool

		wg     sync.WaitGroup
		cancel context.CancelFunc
	}

	// Instance is an element of the instance list. Each instance writes its own, and the entries
	// read them.
	Instance struct {
		ID        string           `json:"id"`
		Role      string           `json:"role"`
		Addr      string           `json:"addr"`
		Domain    cf.FailureDomain `json:"failure_domain"`
		State     string           `json:"state"`
		Heartbeat cf.Millis        `json:"heartbeat_ms"`
	}

	metrics struct {
		reg       *prometheus.Registry
		requests  *prometheus.CounterVec
		decisions *prometheus.CounterVec
	}
)

// New returns the entry instance with the given id in the settings.
func New(site cfconfig.Site, id cf.EntryID, log *zap.Logger) (*Entry, error) {
	self, err := site.Entry(id)
	if err != nil {
		return nil, err
	}
	router, err := cfroute.New(site.Routing)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		site:      site,
		self:      self,
		store:     cfplatform.NewClient(site.PlatformURL()),
		router:    router,
		log:       log,
		peerSrv:   cfpeer.NewServer(),
		peers:     cfpeer.NewClient(),
		pools:     map[cf.PoolName]*cfpool.Pool{},
		instances: map[string]Instance{},
		metrics:   newMetrics(),
	}
	e.engines = newEngineSet(site, e)
	e.services = newServiceSet(site, e)
	for _, p := range site.Pools {
		e.pools[p.Name] = cfpool.New(p, cfpool.Options{
			Store: e.store, Backend: e.engines, Entry: id, Addr: self.Addr, Lease: site.Lease, Log: log,
		})
	}
	e.registerPeerHandlers()
	return e, nil
}

func newMetrics() metrics {
	m := metrics{reg: prometheus.NewRegistry()}
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_entry_requests_total", Help: "Caller requests by route and outcome.",
	}, []string{"route", "outcome"})
	m.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_entry_decisions_total", Help: "Routing decisions by policy and reason.",
	}, []string{"policy", "reason"})
	m.reg.MustRegister(m.requests, m.decisions, collectors.NewGoCollector())
	return m
}

// Handler returns the HTTP API of the entry: an iris application, and a net/http handler for the
// WebSocket upgrade of the peer link.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/entries", e.handleEntries)
	app.Post("/v1/completions", e.handleCompletions)
	app.Post("/v1/services/{service}/{path:path}", e.handleService)
	app.Get("/v1/pools/{pool}/claims/{claim}/samples", e.handleFetch)
	app.Post("/v1/pools/{pool}/claims/{claim}/ack", e.handleAck)
	app.Post("/v1/pools/{pool}/weights", e.handleWeights)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(e.metrics.reg, promhttp.HandlerOpts{})))
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "build entry routes")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/peer", e.peerSrv)
	mux.Handle("/", app)
	return mux, nil
}

// Run starts the background work: the heartbeat, the watch of the instance list, the polling of
// engine loads and the pools' leases. It returns at once.
func (e *Entry) Run(ctx context.Context) {
	ctx, e.cancel = context.WithCancel(ctx)
	e.runEvery(ctx, e.site.Lease.Renew, e.heartbeat)
	e.runEvery(ctx, e.site.LoadPoll, e.engines.pollLoads)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.watchInstances(ctx)
	}()
	for _, p := range e.pools {
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			p.Run(ctx)
		}()
	}
}

func (e *Entry) runEvery(ctx context.Context, every cf.Millis, f func(context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		t := time.NewTicker(every.Duration())
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

// Serve answers requests on l until Shutdown is called.
func (e *Entry) Serve(l net.Listener) error {
	h, err := e.Handler()
	if err != nil {
		return err
	}
	e.http = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := e.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "entry serve")
	}
	return nil
}

// Shutdown stops the entry without aborting requests, as every planned stop must. The entry first
// marks itself as leaving in the instance list and in GET /v1/entries. It continues to answer for
// the drain time, because callers may still use an older list. It then stops accepting connections
// and waits for all requests in flight.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.heartbeat(ctx)
	select {
	case <-time.After(e.site.Drain.Duration()):
	case <-ctx.Done():
	}
	var err error
	if e.http != nil {
		err = e.http.Shutdown(ctx)
	}
	if e.cancel != nil {
		e.cancel()
	}
	e.wg.Wait()
	for _, p := range e.pools {
		_ = p.Close()
	}
	_ = e.peerSrv.Close()
	_ = e.peers.Close()
	return err
}

// heartbeat writes this entry's element of the instance list. The real platform maintains the
// instance list itself; its stand-in learns of the entries from these writes.
func (e *Entry) heartbeat(ctx context.Context) {
	e.mu.Lock()
	state := StateLive
	if e.leaving {
		state = StateLeaving
	}
	e.mu.Unlock()
	in := Instance{ID: string(e.self.ID), Role: RoleEntry, Addr: e.self.Addr, Domain: e.self.Domain, State: state, Heartbeat: cf.Now()}
	if _, err := cfplatform.PutJSON(ctx, e.store, cfplatform.KindInstance, in.ID, in, cf.AnyVersion); err != nil {
		e.log.Warn("heartbeat failed", zap.Error(err))
	}
}

// watchInstances updates the instance list from a long-polling watch until ctx ends.
func (e *Entry) watchInstances(ctx context.Context) {
	var rev int64
	for ctx.Err() == nil {
		objs, next, err := e.store.Watch(ctx, cfplatform.KindInstance, rev, 10*time.Second)
		if err != nil {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
			continue
		}
		rev = next
		e.mu.Lock()
		for _, o := range objs {
			var in Instance
			if cfplatform.DecodeValue(o, &in) == nil {
				e.instances[in.ID] = in
			}
		}
		e.mu.Unlock()
	}
}

// instance returns the last known state of an instance.
func (e *Entry) instance(id string) (Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	in, ok := e.instances[id]
	return in, ok
}

// liveEntries returns the entries that are not leaving and whose heartbeat is recent, sorted by id:
// at most three renewal intervals old, plus the delay of the instance list. This entry is included
// unless it is leaving.
func (e *Entry) liveEntries() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Instance
	minHeartbeat := cf.Now() - 3*e.site.Lease.Renew - e.site.Platform.InstanceLag
	for _, in := range e.instances {
		if in.Role == RoleEntry && in.State == StateLive && in.Heartbeat >= minHeartbeat && in.ID != string(e.self.ID) {
			out = append(out, in)
		}
	}
	if !e.leaving {
		out = append(out, Instance{ID: string(e.self.ID), Role: RoleEntry, Addr: e.self.Addr, Domain: e.self.Domain, State: StateLive, Heartbeat: cf.Now()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (e *Entry) handleEntries(ctx iris.Context) {
	type row struct {
		ID     string           `json:"id"`
		URL    string           `json:"url"`
		Domain cf.FailureDomain `json:"failure_domain"`
	}
	var rows []row
	for _, in := range e.liveEntries() {
		rows = append(rows, row{ID: in.ID, URL: "http://" + in.Addr, Domain: in.Domain})
	}
	_ = ctx.JSON(struct {
		Entries []row     `json:"entries"`
		TTL     cf.Millis `json:"ttl_ms"`
	}{rows, e.site.EntriesTTL})
}

// logDecision counts a routing decision and logs it as one JSON line.
func (e *Entry) logDecision(d cf.Decision, kind string) {
	e.metrics.decisions.WithLabelValues(d.Policy, d.Reason).Inc()
	e.log.Info("decision", zap.String("kind", kind), zap.String("request_id", string(d.Request)),
		zap.Any("candidates", d.Candidates), zap.String("choice", string(d.Choice)), zap.String("reason", d.Reason),
		zap.String("policy", d.Policy))
}

// errorBody is the body of every error response. Ran is "no" only if the request has certainly not
// run, "unknown" if it may have run, and "partly" if the response was cut off.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// writeError responds with an error body that says whether the request ran.
func writeError(ctx iris.Context, status int, code, ran string, err error) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		ctx.Header("Retry-After", retryAfterSeconds)
	}
	ctx.Header("X-Currantford-Ran", ran)
	ctx.StatusCode(status)
	var body errorBody
	body.Error.Message, body.Error.Code, body.Error.Ran = err.Error(), code, ran
	_ = ctx.JSON(body)
}
