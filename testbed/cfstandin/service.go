// Package cfstandin holds the stand-ins of the systems currantford serves
// that are small enough to share a package: a plain service (bids, log
// readings) that records every call, a scoring service, and a trainer that
// claims samples, measures its idle time and the samples' staleness, and
// publishes new weights after each step. The engine and the platform have
// packages of their own (cfengine, cfplatform).
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
	// Service is a plain service stand-in. It records every call by
	// idempotency key, so a test can count how often each reached it. An
	// idempotent service answers a repeated key with its first answer.
	Service struct {
		name       string
		idempotent bool
		mu         sync.Mutex
		calls      map[string]int
		responses  map[string][]byte
		registry   *prometheus.Registry
		total      prometheus.Counter
	}

	// CallCounts is the answer of GET /calls.
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

// ScorerHandler is the scoring service stand-in: POST /v1/score with a
// prompt and a text answers a score in [0, 1) that depends only on them.
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
