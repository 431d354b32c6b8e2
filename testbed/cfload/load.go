// Package cfload is the load and experiment tool: it drives live
// completions and plain-service calls against running entries for a bounded
// time, applies a fault schedule to the platform stand-in, writes one
// journal line per request and prints a report. Requests go to the entries
// that GET /v1/entries lists, in turn, as a caller without a balancer would.
//
// Usage:
//
//	plan, _ := cfload.LoadPlan("")           // the embedded plan
//	sum, err := cfload.Run(ctx, plan, site, journal)
//	json.NewEncoder(os.Stdout).Encode(sum)
package cfload

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
	"currantford/testbed/cfstandin"
)

//go:embed defaults/plan.json
var defaultPlan []byte

type (
	// Plan is one experiment.
	Plan struct {
		Duration    cf.Millis     `json:"duration_ms"`
		Bootstrap   string        `json:"bootstrap"`
		Completions Completions   `json:"completions"`
		Services    []ServiceLoad `json:"services"`
		Faults      []Fault       `json:"faults"`
	}

	// Completions is the live completion workload.
	Completions struct {
		Workers   int       `json:"workers"`
		MaxTokens cf.Tokens `json:"max_tokens"`
		Stream    bool      `json:"stream"`
		Prompts   []string  `json:"prompts"`
	}

	// ServiceLoad is a plain-service workload: calls each with its own key.
	ServiceLoad struct {
		Name    string `json:"name"`
		Calls   int    `json:"calls"`
		Workers int    `json:"workers"`
	}

	// Fault is one scheduled platform fault.
	Fault struct {
		At            cf.Millis `json:"at_ms"`
		Outage        cf.Millis `json:"outage_ms"`
		ResponseDelay cf.Millis `json:"slow_ms"`
		DropResponses int       `json:"lose_answers"`
	}

	// Summary is the report of one run.
	Summary struct {
		Completions CompletionSummary         `json:"completions"`
		Services    map[string]ServiceSummary `json:"services"`
		Decisions   int                       `json:"decision_log_lines"`
		Trainer     *cfstandin.TrainerReport  `json:"trainer,omitempty"`
	}

	// CompletionSummary counts live completions by outcome.
	CompletionSummary struct {
		Sent     int       `json:"sent"`
		Complete int       `json:"whole"`
		Partial  int       `json:"partial"`
		Refused  int       `json:"refused"`
		TTFTp50  cf.Millis `json:"ttft_ms_p50"`
		TTFTp99  cf.Millis `json:"ttft_ms_p99"`
	}

	// ServiceSummary counts one service's calls by answer, and by how many
	// times each key reached the service.
	ServiceSummary struct {
		Sent              int `json:"sent"`
		OK                int `json:"ok"`
		NotRun            int `json:"not_run"`
		MaybeRan          int `json:"may_have_run"`
		ReachedOnce       int `json:"reached_once"`
		ReachedRepeatedly int `json:"reached_more_than_once"`
		NeverReached      int `json:"never_reached"`
	}

	// JournalLine is one request's record.
	JournalLine struct {
		Kind    string    `json:"kind"`
		Key     string    `json:"key"`
		Entry   string    `json:"entry"`
		Status  int       `json:"status"`
		Outcome string    `json:"outcome"`
		TTFT    cf.Millis `json:"ttft_ms,omitempty"`
		Total   cf.Millis `json:"total_ms"`
	}

	runner struct {
		plan    Plan
		site    cfconfig.Site
		client  *http.Client
		entries []string
		mu      sync.Mutex
		n       int
		journal *json.Encoder
		ttft    []cf.Millis
		sum     Summary
	}
)

// LoadPlan reads a plan; "" means the embedded one.
func LoadPlan(path string) (Plan, error) {
	data := defaultPlan
	if path != "" {
		var err error
		if data, err = os.ReadFile(path); err != nil {
			return Plan{}, eris.Wrapf(err, "read plan %s", path)
		}
	}
	var p Plan
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Plan{}, eris.Wrapf(cf.ErrInvalid, "plan: %v", err)
	}
	if p.Duration <= 0 || p.Bootstrap == "" {
		return Plan{}, eris.Wrap(cf.ErrInvalid, "plan: duration_ms and bootstrap are required")
	}
	return p, nil
}

// Run drives the plan and returns its summary. Journal lines go to journal.
func Run(ctx context.Context, plan Plan, site cfconfig.Site, journal io.Writer) (Summary, error) {
	r := &runner{plan: plan, site: site, client: &http.Client{Timeout: 30 * time.Second},
		journal: json.NewEncoder(journal), sum: Summary{Services: map[string]ServiceSummary{}}}
	if err := r.discover(ctx); err != nil {
		return r.sum, err
	}
	// Requests run on reqCtx, which outlives the plan's span: when the span
	// ends no new request starts, but those in flight finish, so that the
	// tool's own deadline never shows up as a cut answer.
	reqCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, plan.Duration.Duration())
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.refresh(ctx)
	}()
	for range plan.Completions.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				r.completion(reqCtx, i)
			}
		}()
	}
	for _, sl := range plan.Services {
		keys := make(chan int)
		for range max(sl.Workers, 1) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k := range keys {
					r.service(reqCtx, sl.Name, fmt.Sprintf("%s-%d", sl.Name, k))
				}
			}()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer close(keys)
			pause := plan.Duration.Duration() / time.Duration(max(sl.Calls, 1)) / 2
			for k := range sl.Calls {
				select {
				case keys <- k:
				case <-ctx.Done():
					return
				}
				time.Sleep(pause)
			}
		}()
	}
	r.faults(ctx)
	wg.Wait()
	r.settle()
	return r.sum, nil
}

// discover waits for the first entry list.
func (r *runner) discover(ctx context.Context) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if _, err := r.list(ctx, r.plan.Bootstrap); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return eris.Wrapf(cf.ErrUnavailable, "no entry listed by %s", r.plan.Bootstrap)
}

// refresh asks for the entry list again when its ttl_ms runs out, as
// callers are told to, from any entry that answers.
func (r *runner) refresh(ctx context.Context) {
	ttl := time.Second
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ttl):
		}
		if got, err := r.list(ctx, r.pick()); err == nil {
			ttl = got.Duration()
		}
	}
}

// list reads GET /v1/entries from base and keeps the answer.
func (r *runner) list(ctx context.Context, base string) (cf.Millis, error) {
	var list struct {
		Entries []struct {
			URL string `json:"url"`
		} `json:"entries"`
		TTL cf.Millis `json:"ttl_ms"`
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/entries", nil)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list.Entries) == 0 {
		return 0, eris.Wrapf(cf.ErrUnavailable, "entry list from %s", base)
	}
	urls := make([]string, len(list.Entries))
	for i, e := range list.Entries {
		urls[i] = e.URL
	}
	r.mu.Lock()
	r.entries = urls
	r.mu.Unlock()
	return max(list.TTL, 100), nil
}

func (r *runner) pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	return r.entries[r.n%len(r.entries)]
}

func (r *runner) record(l JournalLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.journal.Encode(l)
}

// completion sends one live completion and checks that its answer is whole:
// the stream must end with [DONE] and carry no error event.
func (r *runner) completion(ctx context.Context, i int) {
	c := r.plan.Completions
	prompt := c.Prompts[i%len(c.Prompts)]
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Prompt    string    `json:"prompt"`
		MaxTokens cf.Tokens `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{"forecast", prompt, c.MaxTokens, true})
	entry := r.pick()
	start := time.Now()
	line := JournalLine{Kind: "completion", Key: fmt.Sprint(i), Entry: entry}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		line.Outcome = "refused"
		r.count(line, 0)
		return
	}
	defer resp.Body.Close()
	line.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		line.Outcome = "refused"
		r.count(line, 0)
		return
	}
	var ttft time.Duration
	done, failed := false, false
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		text := sc.Text()
		if !strings.HasPrefix(text, "data: ") {
			continue
		}
		if ttft == 0 {
			ttft = time.Since(start)
		}
		data := strings.TrimPrefix(text, "data: ")
		switch {
		case data == "[DONE]":
			done = true
		case strings.Contains(data, `"error"`):
			failed = true
		}
	}
	line.Outcome = "partial"
	if done && !failed {
		line.Outcome = "whole"
	}
	line.TTFT = cf.MillisOf(ttft)
	line.Total = cf.MillisOf(time.Since(start))
	r.count(line, line.TTFT)
}

func (r *runner) count(l JournalLine, ttft cf.Millis) {
	r.record(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.sum.Completions
	s.Sent++
	switch l.Outcome {
	case "whole":
		s.Complete++
		r.ttft = append(r.ttft, ttft)
	case "partial":
		s.Partial++
	default:
		s.Refused++
	}
}

// service sends one call, and repeats it with the same key while the entry
// says it did not run, as a careful caller would.
func (r *runner) service(ctx context.Context, name, key string) {
	body, _ := json.Marshal(struct {
		Key string `json:"key"`
		At  int64  `json:"at_ms"`
	}{key, int64(cf.Now())})
	outcome, status := "not_run", 0
	for range 3 {
		entry := r.pick()
		req, _ := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost, entry+"/v1/services/"+name+"/call", bytes.NewReader(body))
		req.Header.Set("Idempotency-Key", key)
		resp, err := r.client.Do(req)
		if err != nil {
			outcome = "maybe_ran"
			continue
		}
		status = resp.StatusCode
		ran := resp.Header.Get("X-Currantford-Ran")
		resp.Body.Close()
		switch {
		case status == http.StatusOK:
			outcome = "ok"
		case ran == "no":
			outcome = "not_run"
			time.Sleep(100 * time.Millisecond)
			continue
		default:
			outcome = "maybe_ran"
		}
		break
	}
	r.record(JournalLine{Kind: "service_" + name, Key: key, Status: status, Outcome: outcome})
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sum.Services[name]
	s.Sent++
	switch outcome {
	case "ok":
		s.OK++
	case "not_run":
		s.NotRun++
	default:
		s.MaybeRan++
	}
	r.sum.Services[name] = s
}

func (r *runner) faults(ctx context.Context) {
	pc := cfplatform.NewClient(r.site.PlatformURL())
	start := time.Now()
	for _, f := range r.plan.Faults {
		select {
		case <-time.After(time.Until(start.Add(f.At.Duration()))):
		case <-ctx.Done():
			return
		}
		_ = pc.InjectFaults(ctx, f.Outage, f.ResponseDelay, f.DropResponses)
	}
}

// settle reads each service's call counts and the TTFT percentiles.
func (r *runner) settle() {
	sort.Slice(r.ttft, func(i, j int) bool { return r.ttft[i] < r.ttft[j] })
	if n := len(r.ttft); n > 0 {
		r.sum.Completions.TTFTp50 = r.ttft[n/2]
		r.sum.Completions.TTFTp99 = r.ttft[min(n*99/100, n-1)]
	}
	for _, sl := range r.plan.Services {
		sv, err := r.site.Service(sl.Name)
		if err != nil {
			continue
		}
		var counts cfstandin.CallCounts
		resp, err := r.client.Get("http://" + sv.Addr + "/calls")
		if err != nil {
			continue
		}
		_ = json.NewDecoder(resp.Body).Decode(&counts)
		resp.Body.Close()
		s := r.sum.Services[sl.Name]
		for k := range s.Sent {
			switch counts.Calls[fmt.Sprintf("%s-%d", sl.Name, k)] {
			case 0:
				s.NeverReached++
			case 1:
				s.ReachedOnce++
			default:
				s.ReachedRepeatedly++
			}
		}
		r.sum.Services[sl.Name] = s
	}
}

// CountDecisions counts the decision lines in JSON-line log files.
func CountDecisions(paths []string) int {
	n := 0
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			continue
		}
		sc := bufio.NewScanner(f)
		sc.Buffer(make([]byte, 1<<20), 1<<20)
		for sc.Scan() {
			if strings.Contains(sc.Text(), `"msg":"decision"`) {
				n++
			}
		}
		f.Close()
	}
	return n
}
