// Package cfload is the load generator for the older interface. It sends live completions and calls
// to plain services to running entry instances for a limited time, injects scheduled faults into
// the platform stand-in, writes a journal line for each request and returns a summary. It sends its
// requests in turn to the entry instances listed by GET /v1/entries, as a caller without a load
// balancer does.
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
	// Plan describes a load run.
	Plan struct {
		Duration    cf.Millis     `json:"duration_ms"`
		Bootstrap   string        `json:"bootstrap"`
		Completions Completions   `json:"completions"`
		Services    []ServiceLoad `json:"services"`
		Faults      []Fault       `json:"faults"`
	}

	// Completions describes the load of live completions.
	Completions struct {
		Workers   int       `json:"workers"`
		MaxTokens cf.Tokens `json:"max_tokens"`
		Stream    bool      `json:"stream"`
		Prompts   []string  `json:"prompts"`
	}

	// ServiceLoad describes the load of a plain service. Each of its calls has an idempotency key
	// of its own.
	ServiceLoad struct {
		Name    string `json:"name"`
		Calls   int    `json:"calls"`
		Workers int    `json:"workers"`
	}

	// Fault is a scheduled change of the platform stand-in's faults. It replaces all earlier ones,
	// so a Fault without values ends them.
	Fault struct {
		At            cf.Millis `json:"at_ms"`
		Outage        cf.Millis `json:"outage_ms"`
		ResponseDelay cf.Millis `json:"slow_ms"`
		DropResponses int       `json:"lose_answers"`
	}

	// Summary holds the results of a run.
	Summary struct {
		Completions CompletionSummary         `json:"completions"`
		Services    map[string]ServiceSummary `json:"services"`
		Decisions   int                       `json:"decision_log_lines"`
		Trainer     *cfstandin.TrainerReport  `json:"trainer,omitempty"`
	}

	// CompletionSummary counts live completions by outcome and holds percentiles of the time to
	// first token (TTFT).
	CompletionSummary struct {
		Sent     int       `json:"sent"`
		Complete int       `json:"whole"`
		Partial  int       `json:"partial"`
		Refused  int       `json:"refused"`
		TTFTp50  cf.Millis `json:"ttft_ms_p50"`
		TTFTp99  cf.Millis `json:"ttft_ms_p99"`
	}

	// ServiceSummary counts the calls of a service by outcome, and their keys by the number of
	// times that each reached the service.
	ServiceSummary struct {
		Sent              int `json:"sent"`
		OK                int `json:"ok"`
		NotRun            int `json:"not_run"`
		MaybeRan          int `json:"may_have_run"`
		ReachedOnce       int `json:"reached_once"`
		ReachedRepeatedly int `json:"reached_more_than_once"`
		NeverReached      int `json:"never_reached"`
	}

	// JournalLine is the record of a request.
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
		plan      Plan
		site      cfconfig.Site
		client    *http.Client
		entries   []string
		mu        sync.Mutex
		nextEntry int
		journal   *json.Encoder
		ttft      []cf.Millis
		summary   Summary
	}
)

// LoadPlan reads and checks a plan. An empty path selects the embedded plan.
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

// Run executes the plan, writes the journal lines to journal and returns the summary.
func Run(ctx context.Context, plan Plan, site cfconfig.Site, journal io.Writer) (Summary, error) {
	r := &runner{plan: plan, site: site, client: &http.Client{Timeout: 30 * time.Second},
		journal: json.NewEncoder(journal), summary: Summary{Services: map[string]ServiceSummary{}}}
	if err := r.discover(ctx); err != nil {
		return r.summary, err
	}
	// Requests use reqCtx, which outlives the duration of the plan: after it no new requests start,
	// but those in flight finish. Otherwise the tool's own deadline would show up as truncated
	// responses.
	reqCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, plan.Duration.Duration())
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.refreshEntries(ctx)
	}()
	for range plan.Completions.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				r.sendCompletion(reqCtx, i)
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
					r.callService(reqCtx, sl.Name, fmt.Sprintf("%s-%d", sl.Name, k))
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
	r.injectFaults(ctx)
	wg.Wait()
	r.summarize()
	return r.summary, nil
}

// discover waits until the bootstrap instance returns a list of entry instances.
func (r *runner) discover(ctx context.Context) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if _, err := r.fetchEntries(ctx, r.plan.Bootstrap); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return eris.Wrapf(cf.ErrUnavailable, "%s lists no entry instance", r.plan.Bootstrap)
}

// refreshEntries fetches the list of entry instances again after its ttl_ms, as the interface
// requires of callers, from the next entry instance in turn.
func (r *runner) refreshEntries(ctx context.Context) {
	ttl := time.Second
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ttl):
		}
		if got, err := r.fetchEntries(ctx, r.pickEntry()); err == nil {
			ttl = got.Duration()
		}
	}
}

// fetchEntries gets /v1/entries from base, stores the list and returns its time to live.
func (r *runner) fetchEntries(ctx context.Context, base string) (cf.Millis, error) {
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
		return 0, eris.Wrapf(cf.ErrUnavailable, "no entry list from %s", base)
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

func (r *runner) pickEntry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextEntry++
	return r.entries[r.nextEntry%len(r.entries)]
}

func (r *runner) writeJournal(l JournalLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.journal.Encode(l)
}

// sendCompletion sends a live completion and checks that the response is complete: the stream must
// end with [DONE] and contain no error event.
func (r *runner) sendCompletion(ctx context.Context, i int) {
	c := r.plan.Completions
	prompt := c.Prompts[i%len(c.Prompts)]
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Prompt    string    `json:"prompt"`
		MaxTokens cf.Tokens `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{"forecast", prompt, c.MaxTokens, true})
	entry := r.pickEntry()
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
		r.countCompletion(line, 0)
		return
	}
	defer resp.Body.Close()
	line.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		line.Outcome = "refused"
		r.countCompletion(line, 0)
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
	r.countCompletion(line, line.TTFT)
}

func (r *runner) countCompletion(l JournalLine, ttft cf.Millis) {
	r.writeJournal(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.summary.Completions
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

// callService sends a call and repeats it with the same key while the response says that the call
// was not run, or no response arrives, up to three attempts in all.
func (r *runner) callService(ctx context.Context, name, key string) {
	body, _ := json.Marshal(struct {
		Key string `json:"key"`
		At  int64  `json:"at_ms"`
	}{key, int64(cf.Now())})
	outcome, status := "not_run", 0
	for range 3 {
		entry := r.pickEntry()
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
	r.writeJournal(JournalLine{Kind: "service_" + name, Key: key, Status: status, Outcome: outcome})
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary.Services[name]
	s.Sent++
	switch outcome {
	case "ok":
		s.OK++
	case "not_run":
		s.NotRun++
	default:
		s.MaybeRan++
	}
	r.summary.Services[name] = s
}

func (r *runner) injectFaults(ctx context.Context) {
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

// summarize adds the call counts of the services and the TTFT percentiles to the summary.
func (r *runner) summarize() {
	sort.Slice(r.ttft, func(i, j int) bool { return r.ttft[i] < r.ttft[j] })
	if n := len(r.ttft); n > 0 {
		r.summary.Completions.TTFTp50 = r.ttft[n/2]
		r.summary.Completions.TTFTp99 = r.ttft[min(n*99/100, n-1)]
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
		s := r.summary.Services[sl.Name]
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
		r.summary.Services[sl.Name] = s
	}
}

// CountDecisions counts the lines of routing decisions in JSON log files.
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
