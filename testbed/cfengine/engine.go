package cfengine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	cf "currantford"
)

type (
	// Settings shape one engine stand-in.
	Settings struct {
		ID    cf.EngineID `json:"id"`
		Model Model       `json:"model"`
		// ReportInterval is how old a load report is when served.
		ReportInterval cf.Millis `json:"load_lag_ms"`
		// SwapDelay is how long loading new weights takes.
		SwapDelay cf.Millis `json:"swap_ms"`
		// CheckFencing refuses weight orders with an old epoch; engines of
		// some deployments ignore the epoch instead.
		CheckFencing bool `json:"check_fencing"`
		// Weights is the version served at start.
		Weights cf.WeightVersion `json:"weight_version"`
	}

	// Engine is one engine stand-in. Close waits for its goroutines.
	Engine struct {
		settings Settings

		mu       sync.Mutex
		active   int
		kvUsed   cf.Tokens
		queue    []*waiter
		seq      int64
		weights  cf.WeightVersion
		epoch    cf.Epoch
		backlog  float64
		snapshot cf.Load

		stop chan struct{}
		wg   sync.WaitGroup
		reg  *prometheus.Registry
		reqs *prometheus.CounterVec
	}

	waiter struct {
		priority int
		seq      int64
		kv       cf.Tokens
		ready    chan struct{}
	}

	completion struct {
		ID             string             `json:"id"`
		Object         string             `json:"object"`
		Created        int64              `json:"created"`
		Model          string             `json:"model"`
		Choices        []choice           `json:"choices"`
		Usage          *usage             `json:"usage,omitempty"`
		WeightVersions []cf.WeightVersion `json:"weight_versions,omitempty"`
		Engine         cf.EngineID        `json:"engine,omitempty"`
	}

	choice struct {
		Text         string  `json:"text"`
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	}

	usage struct {
		PromptTokens     cf.Tokens `json:"prompt_tokens"`
		CompletionTokens cf.Tokens `json:"completion_tokens"`
		TotalTokens      cf.Tokens `json:"total_tokens"`
	}
)

// New returns an engine and starts its load reporter.
func New(settings Settings) *Engine {
	if settings.Model.MaxBatch == 0 {
		settings.Model = DefaultModel()
	}
	e := &Engine{settings: settings, weights: settings.Weights, stop: make(chan struct{}), reg: prometheus.NewRegistry()}
	e.reqs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_engine_requests_total", Help: "Completions by outcome.",
	}, []string{"outcome"})
	e.reg.MustRegister(e.reqs)
	e.snapshot = e.load()
	e.wg.Add(1)
	go e.report()
	return e
}

// Close stops the load reporter and waits for it.
func (e *Engine) Close() error {
	close(e.stop)
	e.wg.Wait()
	return nil
}

// Handler serves the OpenAI-compatible API, load reports and orders.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("POST /v1/weights", e.handleWeights)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.reg, promhttp.HandlerOpts{}))
	return mux
}

// report refreshes the served load report every ReportInterval, so that routers
// see the engine as it was, as real engines report it.
func (e *Engine) report() {
	defer e.wg.Done()
	t := time.NewTicker(max(e.settings.ReportInterval, 10).Duration())
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			l := e.load()
			e.mu.Lock()
			e.snapshot = l
			e.mu.Unlock()
		}
	}
}

func (e *Engine) load() cf.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cf.Load{
		Engine:   e.settings.ID,
		Active:   e.active,
		Queued:   len(e.queue),
		KVUsed:   e.kvUsed,
		KVBudget: e.settings.Model.KVBudget,
		Backlog:  cf.Millis(e.backlog / float64(e.settings.Model.MaxBatch)),
		Weights:  e.weights,
		Power:    e.settings.Model.Power(e.active),
		Reported: cf.Now(),
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.snapshot
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

func (e *Engine) handleWeights(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version cf.WeightVersion `json:"weight_version"`
		Epoch   cf.Epoch         `json:"epoch"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.settings.CheckFencing && order.Epoch < e.epoch {
		e.mu.Unlock()
		http.Error(w, "fenced: old epoch", http.StatusConflict)
		return
	}
	e.epoch = max(e.epoch, order.Epoch)
	e.mu.Unlock()
	time.AfterFunc(e.settings.SwapDelay.Duration(), func() {
		e.mu.Lock()
		e.weights = max(e.weights, order.Version)
		e.mu.Unlock()
	})
	writeJSON(w, http.StatusAccepted, struct {
		Accepted bool `json:"accepted"`
	}{true})
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens cf.Tokens       `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		Priority  int             `json:"priority"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := promptText(req.Prompt)
	promptTokens := cf.Tokens(len(strings.Fields(prompt)))
	if req.MaxTokens <= 0 {
		req.MaxTokens = 16
	}
	kv := promptTokens + req.MaxTokens
	if kv > e.settings.Model.KVBudget {
		http.Error(w, "request exceeds the KV budget", http.StatusBadRequest)
		return
	}
	estimate := e.settings.Model.RequestTime(promptTokens, req.MaxTokens, e.settings.Model.MaxBatch/2)
	if err := e.acquire(r.Context(), req.Priority, kv, estimate); err != nil {
		e.reqs.WithLabelValues("cancelled").Inc()
		return
	}
	defer e.release(kv, estimate)
	e.generate(w, r.Context(), req.Model, prompt, promptTokens, req.MaxTokens, req.Stream)
}

// generate charges the timing model and writes the answer, streamed or whole.
func (e *Engine) generate(w http.ResponseWriter, ctx context.Context, model, prompt string, promptTokens, maxTokens cf.Tokens, stream bool) {
	e.mu.Lock()
	e.seq++
	id := fmt.Sprintf("cmpl-%s-%d", e.settings.ID, e.seq)
	e.mu.Unlock()
	versions := []cf.WeightVersion{e.currentWeights()}
	if !sleep(ctx, e.settings.Model.PrefillTime(promptTokens)) {
		return
	}
	flusher, _ := w.(http.Flusher)
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	seed := fnv.New32a()
	_, _ = seed.Write([]byte(prompt))
	var text strings.Builder
	for i := cf.Tokens(0); i < maxTokens; i++ {
		e.mu.Lock()
		step := e.settings.Model.DecodeStepTime(e.active)
		e.mu.Unlock()
		if !sleep(ctx, step) {
			e.reqs.WithLabelValues("cancelled").Inc()
			return
		}
		if v := e.currentWeights(); v != versions[len(versions)-1] {
			versions = append(versions, v)
		}
		tok := fmt.Sprintf(" w%d", (seed.Sum32()+uint32(i)*2654435761)%997)
		text.WriteString(tok)
		if stream {
			writeEvent(w, completion{ID: id, Object: "text_completion", Created: time.Now().Unix(), Model: model,
				Choices: []choice{{Text: tok}}})
			if flusher != nil {
				flusher.Flush()
			}
		}
	}
	finish := "length"
	u := &usage{PromptTokens: promptTokens, CompletionTokens: maxTokens, TotalTokens: promptTokens + maxTokens}
	last := completion{ID: id, Object: "text_completion", Created: time.Now().Unix(), Model: model,
		Usage: u, WeightVersions: versions, Engine: e.settings.ID}
	e.reqs.WithLabelValues("done").Inc()
	if !stream {
		last.Choices = []choice{{Text: text.String(), FinishReason: &finish}}
		writeJSON(w, http.StatusOK, last)
		return
	}
	last.Choices = []choice{{FinishReason: &finish}}
	writeEvent(w, last)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	if flusher != nil {
		flusher.Flush()
	}
}

func (e *Engine) currentWeights() cf.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// acquire waits for a batch slot and KV room; higher priority goes first.
func (e *Engine) acquire(ctx context.Context, priority int, kv cf.Tokens, estimate float64) error {
	e.mu.Lock()
	e.backlog += estimate
	e.seq++
	wt := &waiter{priority: priority, seq: e.seq, kv: kv, ready: make(chan struct{})}
	e.queue = append(e.queue, wt)
	e.grantLocked()
	e.mu.Unlock()
	select {
	case <-wt.ready:
		return nil
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		select {
		case <-wt.ready:
			// Granted while we gave up: hand the slot back.
			e.active--
			e.kvUsed -= kv
		default:
			e.removeLocked(wt)
		}
		e.backlog -= estimate
		e.grantLocked()
		return ctx.Err()
	}
}

func (e *Engine) release(kv cf.Tokens, estimate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.kvUsed -= kv
	e.backlog -= estimate
	e.grantLocked()
}

// grantLocked admits waiters, highest priority then oldest first, while a
// batch slot and KV room remain.
func (e *Engine) grantLocked() {
	for e.active < e.settings.Model.MaxBatch && len(e.queue) > 0 {
		best := 0
		for i, wt := range e.queue {
			b := e.queue[best]
			if wt.priority > b.priority || (wt.priority == b.priority && wt.seq < b.seq) {
				best = i
			}
		}
		wt := e.queue[best]
		if e.kvUsed+wt.kv > e.settings.Model.KVBudget {
			return
		}
		e.removeLocked(wt)
		e.active++
		e.kvUsed += wt.kv
		close(wt.ready)
	}
}

func (e *Engine) removeLocked(wt *waiter) {
	for i, q := range e.queue {
		if q == wt {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

func promptText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []string
	_ = json.Unmarshal(raw, &list)
	return strings.Join(list, " ")
}

func sleep(ctx context.Context, ms float64) bool {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Settings returns the engine's settings.
func (e *Engine) Settings() Settings { return e.settings }
