// Package cfstandin holds small stand-ins for the systems around currantford: a plain service
// (bids, log readings) that records every call, a scoring service, a trainer that claims samples,
// measures its idle time and the staleness of the samples and publishes new weights after each
// step, and an in-memory object store with its codec. The stand-ins for engines and for the
// platform are in the packages cfengine and cfobjects.
//
// Usage:
//
//	svc := cfstandin.NewService("bids", false)
//	http.Serve(l, svc.Handler())
//	report, err := cfstandin.RunTrainer(ctx, trainerSettings, entryURL, log)
package cfstandin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

type (
	// Service is a stand-in for a plain service. It counts calls by idempotency key, so that a test
	// can check how often each call reached the service. An idempotent service responds to a
	// repeated key with its first response.
	Service struct {
		name       string
		idempotent bool
		mu         sync.Mutex
		calls      map[string]int
		responses  map[string][]byte
		registry   *prometheus.Registry
		total      prometheus.Counter
	}

	// CallCounts is the response to GET /calls: the number of calls by idempotency key.
	CallCounts struct {
		Calls map[string]int `json:"calls"`
	}
)

// NewService returns a service stand-in.
func NewService(name string, idempotent bool) *Service {
	s := &Service{name: name, idempotent: idempotent, calls: map[string]int{}, responses: map[string][]byte{}, registry: prometheus.NewRegistry()}
	s.total = prometheus.NewCounter(prometheus.CounterOpts{Name: "currantford_service_calls_total", Help: "Calls received."})
	s.registry.MustRegister(s.total)
	return s
}

// Handler serves POST on any path, GET /calls and GET /metrics.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, CallCounts{Calls: s.calls})
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("POST /", s.handleCall)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	key := r.Header.Get("Idempotency-Key")
	s.total.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key]++
	if prev, ok := s.responses[key]; ok && s.idempotent {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(prev)
		return
	}
	answer, _ := json.Marshal(struct {
		Service  string          `json:"service"`
		Key      string          `json:"key"`
		Accepted bool            `json:"accepted"`
		Echo     json.RawMessage `json:"echo,omitempty"`
	}{s.name, key, true, validJSON(body)})
	s.responses[key] = answer
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// ScorerHandler returns a stand-in for the scoring service. POST /v1/score with a prompt and a text
// returns a score in [0, 1) that depends on these two only.
func ScorerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/score", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Prompt string `json:"prompt"`
			Text   string `json:"text"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		sum := sha256.Sum256([]byte(in.Prompt + "\x00" + in.Text))
		score := float64(binary.BigEndian.Uint32(sum[:4])) / (1 << 32)
		writeJSON(w, struct {
			Score float64 `json:"score"`
		}{score})
	})
	mux.Handle("GET /metrics", promhttp.Handler())
	return mux
}

func validJSON(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
