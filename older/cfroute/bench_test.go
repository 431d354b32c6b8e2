package cfroute_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	cf "currantford"
	"currantford/older/cfroute"
	"currantford/testbed/cfengine"
)

// BenchmarkDecision measures the time of one marginal_cost decision for several numbers of
// candidates. docs/CAPACITY.md uses the increase per candidate.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r, _ := cfroute.New(cfroute.DefaultSettings())
			loads := make([]cf.Load, n)
			for i := range loads {
				loads[i] = cf.Load{Engine: cf.EngineID(fmt.Sprintf("e%04d", i)), Active: i % 8, Backlog: cf.Millis(i % 50), KVBudget: 16000}
			}
			job := cf.Job{ID: "r", PromptTokens: 100, MaxTokens: 32, Live: true}
			b.ReportAllocs()
			for b.Loop() {
				d, _ := r.Route(job, loads)
				r.Observe(d.Choice, 100, 32, 5, 64)
			}
		})
	}
}

// BenchmarkPolicies compares the three policies in one run, on engine stand-ins served over HTTP.
// The traffic is a mix of short live requests and long rollouts; the engines have two speeds. It
// reports the goodput at the SLO and the p99 time to first token as ratios to round_robin.
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		res := map[string]policyResult{}
		for _, p := range []string{cfroute.RoundRobin, cfroute.LeastLoaded, cfroute.MarginalCost} {
			res[p] = runPolicy(b, p)
		}
		roundRobin := res[cfroute.RoundRobin]
		b.ReportMetric(roundRobin.goodput, "rr_goodput")
		for _, p := range []string{cfroute.LeastLoaded, cfroute.MarginalCost} {
			b.ReportMetric(res[p].goodput/roundRobin.goodput, p+"_goodput_x_rr")
			b.ReportMetric(res[p].p99/roundRobin.p99, p+"_p99_ttft_x_rr")
		}
	}
}

type policyResult struct {
	goodput float64 // fraction of requests within the SLO
	p99     float64 // p99 time to first token in ms
}

const (
	benchEngines    = 6
	benchRequests   = 240
	requestInterval = 4 * time.Millisecond
	sloTTFT         = 120 // ms
	sloTPOT         = 12  // ms per output token after the first
)

func runPolicy(b *testing.B, policy string) policyResult {
	b.Helper()
	type engine struct {
		id  cf.EngineID
		url string
	}
	var engines []engine
	for i := range benchEngines {
		m := cfengine.DefaultModel()
		m.MaxBatch = 4
		if i%3 == 0 {
			m.DecodeMillisPerToken *= 3 // an older, slower accelerator
			m.PrefillMicrosPerToken *= 3
		}
		e := cfengine.New(cfengine.Settings{ID: cf.EngineID(fmt.Sprintf("e%d", i)), Model: m, ReportInterval: 50})
		srv := httptest.NewServer(e.Handler())
		defer srv.Close()
		defer func() { _ = e.Close() }()
		engines = append(engines, engine{e.Settings().ID, srv.URL})
	}
	s := cfroute.DefaultSettings()
	s.Policy = policy
	router, _ := cfroute.New(s)
	var mu sync.Mutex
	loads := make([]cf.Load, len(engines))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // Poll the engine loads like an entry instance, every 50 ms.
		for ctx.Err() == nil {
			for i, e := range engines {
				var l cf.Load
				if resp, err := http.Get(e.url + "/v1/load"); err == nil {
					_ = json.NewDecoder(resp.Body).Decode(&l)
					resp.Body.Close()
				}
				l.Engine = e.id
				mu.Lock()
				loads[i] = l
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	time.Sleep(60 * time.Millisecond)
	rng := rand.New(rand.NewPCG(7, 7))
	ttfts := make([]float64, benchRequests)
	metSLO := make([]bool, benchRequests)
	var wg sync.WaitGroup
	for i := range benchRequests {
		prompt, out := 8, cf.Tokens(8)
		if rng.IntN(10) < 3 {
			prompt, out = 400, 48
		}
		job := cf.Job{ID: cf.RequestID(fmt.Sprint(i)), PromptTokens: cf.Tokens(prompt), MaxTokens: out, Live: out == 8}
		mu.Lock()
		d, err := router.Route(job, append([]cf.Load(nil), loads...))
		mu.Unlock()
		if err != nil {
			b.Fatal(err)
		}
		url := engines[d.Choice[1]-'0'].url
		wg.Add(1)
		go func() {
			defer wg.Done()
			ttft, total := streamCompletion(url, prompt, out)
			mu.Lock()
			router.Observe(d.Choice, job.PromptTokens, out, cf.Millis(ttft), cf.Millis(total-ttft))
			mu.Unlock()
			ttfts[i] = ttft
			metSLO[i] = ttft <= sloTTFT && (total-ttft)/float64(out) <= sloTPOT
		}()
		time.Sleep(requestInterval)
	}
	wg.Wait()
	metCount := 0
	for _, m := range metSLO {
		if m {
			metCount++
		}
	}
	sort.Float64s(ttfts)
	return policyResult{goodput: float64(metCount) / benchRequests, p99: ttfts[benchRequests*99/100]}
}

// streamCompletion sends one streamed completion and returns the time to the first token and the
// total time, in milliseconds.
func streamCompletion(url string, prompt int, out cf.Tokens) (float64, float64) {
	body, _ := json.Marshal(struct {
		Prompt    string    `json:"prompt"`
		MaxTokens cf.Tokens `json:"max_tokens"`
		Stream    bool      `json:"stream"`
		Priority  int       `json:"priority"`
	}{strings.Repeat("w ", prompt), out, true, 0})
	start := time.Now()
	resp, err := http.Post(url+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return 1e9, 1e9
	}
	defer resp.Body.Close()
	var first time.Duration
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if first == 0 && strings.HasPrefix(sc.Text(), "data: ") {
			first = time.Since(start)
		}
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return ms(first), ms(time.Since(start))
}
