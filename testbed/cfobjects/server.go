// Package cfobjects is a stand-in for the platform's object API and instance list, as used by the
// older interface.
//
// It stores versioned JSON objects by kind and name. Each write takes the store's next revision as
// the version of the object. A write may be conditional on the version that the writer last read. A
// watch is a long poll for the objects of a kind that were written after a given revision. Objects
// of the kind "instance" become visible only after a delay, as in the platform's instance list.
//
// The server can inject three faults: an outage (every call gets status 503), slow responses (every
// call is delayed), and lost responses (a write takes effect, but the connection is closed before
// the response).
//
// Usage:
//
//	srv := cfobjects.NewServer(cfobjects.ServerSettings{InstanceLag: 500})
//	http.Serve(listener, srv.Handler())
package cfobjects

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	cf "currantford"
	"currantford/older/cfplatform"
)

const (
	maxWait  = 30 * time.Second
	maxValue = 1 << 20
)

type (
	// ServerSettings configures a server.
	ServerSettings struct {
		// InstanceLag is the delay after which writes of instances become visible.
		InstanceLag cf.Millis
	}

	// Server is a stand-in for the object API. It is safe for concurrent use.
	Server struct {
		settings ServerSettings

		mu       sync.Mutex
		changed  chan struct{} // closed and replaced at each visible write
		revision int64
		objects  map[string]map[string]cf.Object
		pending  []pendingWrite
		faults   Faults

		calls     *prometheus.CounterVec
		callCount atomic.Int64
		registry  *prometheus.Registry
	}

	// Faults holds the faults that are currently injected.
	Faults struct {
		OutageUntil   cf.Millis `json:"outage_until_ms"`
		ResponseDelay cf.Millis `json:"slow_ms"`
		DropResponses int       `json:"lose_answers"`
	}

	pendingWrite struct {
		visibleAt cf.Millis
		obj       cf.Object
	}
)

// NewServer returns a server without objects.
func NewServer(settings ServerSettings) *Server {
	s := &Server{
		settings: settings,
		changed:  make(chan struct{}),
		objects:  map[string]map[string]cf.Object{},
		registry: prometheus.NewRegistry(),
	}
	s.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_platform_calls_total",
		Help: "Calls to the object API stand-in by operation; a waiting watch counts once.",
	}, []string{"op"})
	s.registry.MustRegister(s.calls)
	return s
}

// Calls returns the number of object API calls so far.
func (s *Server) Calls() int64 { return s.callCount.Load() }

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name...}", s.withFaults("get", s.handleGet))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", s.withFaults("put", s.handlePut))
	mux.HandleFunc("GET /v1/objects/{kind}", s.withFaults("watch", s.handleWatch))
	mux.HandleFunc("POST /v1/faults", s.handleFaults)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	return mux
}

// withFaults counts a call and applies delays and outages before h handles it.
func (s *Server) withFaults(op string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.WithLabelValues(op).Inc()
		s.callCount.Add(1)
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.ResponseDelay > 0 {
			time.Sleep(f.ResponseDelay.Duration())
		}
		if cf.Now() < f.OutageUntil {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.publishPendingLocked()
	obj, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(value) > maxValue || !json.Valid(value) {
		http.Error(w, "value must be JSON of at most 1 MB", http.StatusBadRequest)
		return
	}
	ifVersion := cf.AnyVersion
	if q := r.URL.Query().Get("if_version"); q != "" {
		if ifVersion, err = strconv.ParseInt(q, 10, 64); err != nil {
			http.Error(w, "bad if_version", http.StatusBadRequest)
			return
		}
	}
	obj, err := s.put(r.PathValue("kind"), r.PathValue("name"), value, ifVersion)
	if errors.Is(err, cf.ErrConflict) {
		writeJSON(w, http.StatusConflict, obj)
		return
	}
	if s.shouldDropResponse() {
		// The write has taken effect, but the caller gets no response.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := min(cf.Millis(waitMs).Duration(), maxWait)
	kind := r.PathValue("kind")
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		objs, rev, changed, visible := s.objectsAfter(kind, after)
		if len(objs) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, struct {
				Objects  []cf.Object `json:"objects"`
				Revision int64       `json:"revision"`
			}{objs, rev})
			return
		}
		wait = 0
		select {
		case <-changed:
			wait = time.Nanosecond
		case <-visible:
			wait = time.Nanosecond
		case <-deadline.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Outage      cf.Millis `json:"outage_ms"`
		Slow        cf.Millis `json:"slow_ms"`
		LoseAnswers int       `json:"lose_answers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = Faults{OutageUntil: cf.Now() + body.Outage, ResponseDelay: body.Slow, DropResponses: body.LoseAnswers}
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

// put applies a conditional write and returns the stored object. On a conflict it returns the
// current object and ErrConflict.
func (s *Server) put(kind, name string, value []byte, ifVersion int64) (cf.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishPendingLocked()
	cur, exists := s.objects[kind][name]
	for _, p := range s.pending {
		if p.obj.Kind == kind && p.obj.Name == name {
			cur, exists = p.obj, true
		}
	}
	switch {
	case ifVersion == cf.CreateOnly && exists,
		ifVersion > 0 && (!exists || cur.Version != ifVersion):
		return cur, cf.ErrConflict
	}
	s.revision++
	obj := cf.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	if kind == cfplatform.KindInstance && s.settings.InstanceLag > 0 {
		s.pending = append(s.pending, pendingWrite{visibleAt: cf.Now() + s.settings.InstanceLag, obj: obj})
		return obj, nil
	}
	s.storeLocked(obj)
	return obj, nil
}

// objectsAfter returns the visible objects of a kind with versions above after, the current
// revision, a channel that is closed at the next visible write, and a channel that receives when
// the next pending write becomes visible.
func (s *Server) objectsAfter(kind string, after int64) ([]cf.Object, int64, <-chan struct{}, <-chan time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishPendingLocked()
	var objs []cf.Object
	for _, o := range s.objects[kind] {
		if o.Version > after {
			objs = append(objs, o)
		}
	}
	var visible <-chan time.Time
	if len(s.pending) > 0 {
		visible = time.After(max(s.pending[0].visibleAt-cf.Now(), 1).Duration())
	}
	return objs, s.revision, s.changed, visible
}

func (s *Server) publishPendingLocked() {
	now := cf.Now()
	n := 0
	for n < len(s.pending) && s.pending[n].visibleAt <= now {
		// A pending write takes a new revision when it becomes visible. With its old one, it would
		// be missed by a watcher that has already seen later revisions of other kinds.
		s.revision++
		obj := s.pending[n].obj
		obj.Version = s.revision
		s.storeLocked(obj)
		n++
	}
	s.pending = s.pending[n:]
}

func (s *Server) storeLocked(obj cf.Object) {
	if s.objects[obj.Kind] == nil {
		s.objects[obj.Kind] = map[string]cf.Object{}
	}
	s.objects[obj.Kind][obj.Name] = obj
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return true
	}
	return false
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
