// Package cfobjects is the stand-in for the platform's object API and
// instance list that the older interface uses.
//
// It holds versioned JSON objects by kind and name. Each write takes the
// store's next revision as the object's version; a write may be conditional
// on the version the writer last read. A watch is a long poll for the objects
// of a kind written after a revision. Instances are objects of kind
// "instance" that become visible only after a lag, as the real instance list
// does.
//
// It injects the faults the brief names: an outage (every call answers 503),
// slowness (every call waits), and lost answers (the change takes effect,
// then the connection is dropped before the answer).
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
	// ServerSettings shape the stand-in.
	ServerSettings struct {
		// InstanceLag delays the visibility of instance-list writes.
		InstanceLag cf.Millis
	}

	// Server is the object API stand-in. It is safe for concurrent use.
	Server struct {
		settings ServerSettings

		mu       sync.Mutex
		changed  chan struct{} // closed and replaced on every visible write
		revision int64
		objects  map[string]map[string]cf.Object
		pending  []pendingWrite
		faults   Faults

		calls *prometheus.CounterVec
		total atomic.Int64
		reg   *prometheus.Registry
	}

	// Faults are the injected faults now in force.
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

// NewServer returns an empty store.
func NewServer(settings ServerSettings) *Server {
	s := &Server{
		settings: settings,
		changed:  make(chan struct{}),
		objects:  map[string]map[string]cf.Object{},
		reg:      prometheus.NewRegistry(),
	}
	s.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_platform_calls_total",
		Help: "Calls to the object API stand-in by operation; a waiting watch counts once.",
	}, []string{"op"})
	s.reg.MustRegister(s.calls)
	return s
}

// Calls returns the number of object API calls served so far.
func (s *Server) Calls() int64 { return s.total.Load() }

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name...}", s.faulty("get", s.handleGet))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", s.faulty("put", s.handlePut))
	mux.HandleFunc("GET /v1/objects/{kind}", s.faulty("watch", s.handleWatch))
	mux.HandleFunc("POST /v1/faults", s.handleFaults)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.reg, promhttp.HandlerOpts{}))
	return mux
}

// faulty counts the call and applies outage and slowness before it runs.
func (s *Server) faulty(op string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.WithLabelValues(op).Inc()
		s.total.Add(1)
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
	s.promoteLocked()
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
	if s.loseAnswer() {
		// The change took effect; the caller never hears of it.
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
		objs, rev, changed, next := s.since(kind, after)
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
		case <-next:
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

// put applies one conditional write and returns the object as stored; on a
// conflict it returns the current object and ErrConflict.
func (s *Server) put(kind, name string, value []byte, ifVersion int64) (cf.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promoteLocked()
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

// since returns the visible objects of kind newer than after, the revision,
// a channel closed on the next write and one that fires when the next
// lagged write becomes visible.
func (s *Server) since(kind string, after int64) ([]cf.Object, int64, <-chan struct{}, <-chan time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promoteLocked()
	var objs []cf.Object
	for _, o := range s.objects[kind] {
		if o.Version > after {
			objs = append(objs, o)
		}
	}
	var next <-chan time.Time
	if len(s.pending) > 0 {
		next = time.After(max(s.pending[0].visibleAt-cf.Now(), 1).Duration())
	}
	return objs, s.revision, s.changed, next
}

func (s *Server) promoteLocked() {
	now := cf.Now()
	n := 0
	for n < len(s.pending) && s.pending[n].visibleAt <= now {
		// A lagged write takes its revision when it becomes visible: a
		// watcher that has already seen later revisions of other kinds
		// would otherwise never be shown it.
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

func (s *Server) loseAnswer() bool {
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
