package cfentry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/net/cfhttp"
	"currantford/older/cfconfig"
)

const (
	// Priorities in requests to the engines: live requests run before rollouts.
	priorityLive    = 10
	priorityRollout = 0
	// maxAttempts limits the number of engines that are tried for one request.
	maxAttempts = 3
	// loadPollTimeout limits one read of a load report. An engine that does not answer in time
	// counts as failed in this poll.
	loadPollTimeout = 500 * time.Millisecond
	// unreachableAfter is the number of consecutive failed polls after which an engine gets no new
	// requests. Without it, a crashed engine would continue to receive requests that fail to
	// connect.
	unreachableAfter = 2
	maxBodyBytes     = 1 << 20
)

type (
	engineSet struct {
		entry      *Entry
		scorerURL  string
		client     *http.Client
		mu         sync.Mutex
		engines    map[cf.EngineID]*engineState
		requestSeq atomic.Int64
	}

	engineState struct {
		settings    cfconfig.Engine
		load        cf.Load
		failedPolls int
	}
)

func newEngineSet(site cfconfig.Site, e *Entry) *engineSet {
	s := &engineSet{entry: e, scorerURL: "http://" + site.Scorer.Addr, client: cfhttp.NewClient(), engines: map[cf.EngineID]*engineState{}}
	for _, en := range site.Engines {
		s.engines[en.ID] = &engineState{settings: en, load: cf.Load{Engine: en.ID, Addr: en.Addr, Domain: en.Domain}}
	}
	return s
}

// pollLoads reads the load reports of all engines once, in parallel.
func (s *engineSet) pollLoads(ctx context.Context) {
	var wg sync.WaitGroup
	for id, st := range s.engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var l cf.Load
			err := s.getJSON(ctx, "http://"+st.settings.Addr+"/v1/load", &l, loadPollTimeout)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err != nil {
				st.failedPolls++
				return
			}
			st.failedPolls = 0
			l.Engine, l.Addr, l.Domain = id, st.settings.Addr, st.settings.Domain
			st.load = l
		}()
	}
	wg.Wait()
}

// candidates returns the loads of the engines that accept live requests or rollouts, as asked, and
// are reachable. Engines that are leaving according to the instance list are marked as such.
func (s *engineSet) candidates(live bool, skip map[cf.EngineID]bool) []cf.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []cf.Load
	for id, st := range s.engines {
		role := st.settings.Role
		if skip[id] || st.failedPolls >= unreachableAfter ||
			(live && role == cfconfig.RoleRollout) || (!live && role == cfconfig.RoleLive) {
			continue
		}
		l := st.load
		if in, ok := s.entry.instance(string(id)); ok && in.State == StateLeaving {
			l.Leaving = true
		}
		out = append(out, l)
	}
	return out
}

func (s *engineSet) addr(id cf.EngineID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[id].settings.Addr
}

// route selects an engine for a job and logs the decision.
func (s *engineSet) route(job cf.Job, skip map[cf.EngineID]bool) (cf.Decision, error) {
	d, err := s.entry.router.Route(job, s.candidates(job.Live, skip))
	if err != nil {
		return d, err
	}
	kind := "rollout"
	if job.Live {
		kind = "live"
	}
	s.entry.logDecision(d, kind)
	return d, nil
}

// Generate implements currantford.Backend. It runs one rollout without streaming, at rollout
// priority. A rollout can safely run again, so after a failure it is tried on another engine.
func (s *engineSet) Generate(ctx context.Context, job cf.Job, prompt string) (cf.Generation, error) {
	job.PromptTokens = cf.Tokens(len(strings.Fields(prompt)))
	skip := map[cf.EngineID]bool{}
	var lastErr error
	for range maxAttempts {
		d, err := s.route(job, skip)
		if err != nil {
			return cf.Generation{}, err
		}
		body, _ := json.Marshal(struct {
			Model     string    `json:"model"`
			Prompt    string    `json:"prompt"`
			MaxTokens cf.Tokens `json:"max_tokens"`
			Priority  int       `json:"priority"`
		}{"rollout", prompt, job.MaxTokens, priorityRollout})
		start := time.Now()
		var out struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			WeightVersions []cf.WeightVersion `json:"weight_versions"`
		}
		err = s.postJSON(ctx, "http://"+s.addr(d.Choice)+"/v1/completions", body, &out, time.Minute)
		if err == nil && len(out.Choices) == 1 && len(out.WeightVersions) > 0 {
			elapsed := cf.MillisOf(time.Since(start))
			s.entry.router.Observe(d.Choice, job.PromptTokens, job.MaxTokens, 0, elapsed)
			return cf.Generation{Text: out.Choices[0].Text, Weights: out.WeightVersions, Engine: d.Choice}, nil
		}
		s.entry.router.Observe(d.Choice, 0, 0, 0, 0)
		lastErr = eris.Wrapf(cf.ErrUnavailable, "rollout on %s: %v", d.Choice, err)
		skip[d.Choice] = true
	}
	return cf.Generation{}, lastErr
}

// Score implements currantford.Backend.
func (s *engineSet) Score(ctx context.Context, prompt, text string) (float64, error) {
	body, _ := json.Marshal(struct {
		Prompt string `json:"prompt"`
		Text   string `json:"text"`
	}{prompt, text})
	var out struct {
		Score float64 `json:"score"`
	}
	err := s.postJSON(ctx, s.scorerURL+"/v1/score", body, &out, 10*time.Second)
	return out.Score, err
}

// LoadWeights implements currantford.Backend. It sends the order to every engine that accepts
// rollouts. For an engine that ignores fencing tokens, it first calls check, which confirms that
// this entry still holds the lease.
func (s *engineSet) LoadWeights(ctx context.Context, version cf.WeightVersion, epoch cf.Epoch, check func(context.Context) error) error {
	var errs []error
	for _, st := range s.engines {
		if st.settings.Role == cfconfig.RoleLive {
			continue
		}
		if !st.settings.CheckFencing {
			if err := check(ctx); err != nil {
				return err
			}
		}
		body, _ := json.Marshal(struct {
			Version cf.WeightVersion `json:"weight_version"`
			Epoch   cf.Epoch         `json:"epoch"`
		}{version, epoch})
		err := s.postJSON(ctx, "http://"+st.settings.Addr+"/v1/weights", body, nil, 5*time.Second)
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "weights order to %s", st.settings.ID))
		}
	}
	return errors.Join(errs...)
}

func (s *engineSet) getJSON(ctx context.Context, url string, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return s.do(req, out)
}

func (s *engineSet) postJSON(ctx context.Context, url string, body []byte, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return s.do(req, out)
}

func (s *engineSet) do(req *http.Request, out any) error {
	resp, err := s.client.Do(req)
	if err != nil {
		return eris.Wrapf(cf.ErrUnavailable, "%s: %v", req.URL.Host, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return eris.Wrapf(cf.ErrFenced, "%s refused", req.URL.Host)
	case resp.StatusCode >= 300:
		return eris.Wrapf(cf.ErrUnavailable, "%s: status %d", req.URL.Host, resp.StatusCode)
	case out == nil:
		return nil
	}
	return json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBodyBytes)).Decode(out)
}

// handleCompletions serves the OpenAI-compatible completions API. The caller's body is forwarded
// with the priority added. Until the first byte of the response has been sent to the caller, a
// request is tried on another engine after a failure, since the caller has seen nothing of the
// failed attempt. After that, an engine failure ends the stream with an error event that says the
// response is partial, so that the caller does not mistake it for a complete one.
func (e *Entry) handleCompletions(ctx iris.Context) {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBodyBytes))
	var req map[string]json.RawMessage // the caller's body with all its fields
	if err != nil || json.Unmarshal(body, &req) != nil {
		e.metrics.requests.WithLabelValues("completions", "bad_request").Inc()
		writeError(ctx, http.StatusBadRequest, "invalid", "no", eris.New("body must be a JSON object"))
		return
	}
	var params struct {
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens cf.Tokens       `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &params)
	if params.MaxTokens <= 0 {
		params.MaxTokens = 16
	}
	req["priority"] = json.RawMessage(fmt.Sprint(priorityLive))
	body, _ = json.Marshal(req)
	job := cf.Job{
		ID:           cf.RequestID(fmt.Sprintf("%s-%d", e.self.ID, e.engines.requestSeq.Add(1))),
		PromptTokens: cf.Tokens(len(strings.Fields(string(params.Prompt)))),
		MaxTokens:    params.MaxTokens,
		Live:         true,
	}
	skip := map[cf.EngineID]bool{}
	for range maxAttempts {
		d, err := e.engines.route(job, skip)
		if err != nil {
			e.metrics.requests.WithLabelValues("completions", "no_engine").Inc()
			writeError(ctx, http.StatusServiceUnavailable, "no_engine", "no", err)
			return
		}
		sent, err := e.proxyCompletion(ctx, d.Choice, job, body)
		if err == nil {
			e.metrics.requests.WithLabelValues("completions", "ok").Inc()
			return
		}
		if sent {
			e.metrics.requests.WithLabelValues("completions", "partial").Inc()
			e.log.Warn("engine failed mid-answer", zap.String("request_id", string(job.ID)), zap.String("engine", string(d.Choice)), zap.Error(err))
			return
		}
		skip[d.Choice] = true
	}
	e.metrics.requests.WithLabelValues("completions", "engines_failed").Inc()
	writeError(ctx, http.StatusServiceUnavailable, "engines_failed", "no", eris.New("every engine tried failed before answering"))
}

// proxyCompletion sends one attempt to an engine and copies the response to the caller. It reports
// whether the caller may have received a part of it.
func (e *Entry) proxyCompletion(ctx iris.Context, engine cf.EngineID, job cf.Job, body []byte) (bool, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx.Request().Context(), http.MethodPost,
		"http://"+e.engines.addr(engine)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.engines.client.Do(req)
	if err != nil {
		e.router.Observe(engine, 0, 0, 0, 0)
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 500 {
		e.router.Observe(engine, 0, 0, 0, 0)
		return false, eris.Errorf("engine %s: status %d", engine, resp.StatusCode)
	}
	w := ctx.ResponseWriter()
	for _, h := range []string{"Content-Type", "Cache-Control"} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.Header().Set("X-Currantford-Engine", string(engine))
	w.WriteHeader(resp.StatusCode)
	var timeToFirst time.Duration
	r := bufio.NewReader(resp.Body)
	buf := make([]byte, 32<<10)
	for {
		n, rerr := r.Read(buf)
		if n > 0 {
			if timeToFirst == 0 {
				timeToFirst = time.Since(start)
			}
			if _, werr := w.Write(buf[:n]); werr != nil {
				return true, werr
			}
			w.Flush()
		}
		if errors.Is(rerr, io.EOF) {
			break
		}
		if rerr != nil {
			e.router.Observe(engine, 0, 0, 0, 0)
			var partial errorBody
			partial.Error.Message, partial.Error.Code, partial.Error.Ran = "engine failed mid-answer; the answer above is partial", "partial", "partly"
			event, _ := json.Marshal(partial)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
			w.Flush()
			return true, rerr
		}
	}
	total := time.Since(start)
	e.router.Observe(engine, job.PromptTokens, job.MaxTokens, cf.MillisOf(timeToFirst), cf.MillisOf(total-timeToFirst))
	return true, nil
}
