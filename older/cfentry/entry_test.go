package cfentry_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestCompletionsWithOpenAIClient calls the entry with the published OpenAI client library, so that
// the protocol is tested against OpenAI's own implementation.
func TestCompletionsWithOpenAIClient(t *testing.T) {
	ts := startSite(t, 1, nil)
	client := openai.NewClient(option.WithBaseURL(ts.urls[0]+"/v1/"), option.WithAPIKey("test"), option.WithMaxRetries(0))
	params := openai.CompletionNewParams{
		Model:     "forecast",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("bayan hall store three")},
		MaxTokens: openai.Int(6),
	}
	ctx := context.Background()
	eventually(t, "engine load reports", func() bool {
		_, err := client.Completions.New(ctx, params)
		return err == nil
	})
	unstreamed, err := client.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(strings.Fields(unstreamed.Choices[0].Text)); got != 6 {
		t.Fatalf("unstreamed response has %d tokens, want 6: %q", got, unstreamed.Choices[0].Text)
	}
	stream := client.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Text)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if text.String() != unstreamed.Choices[0].Text {
		t.Fatalf("streamed response %q, unstreamed response %q, want the same for the same prompt", text.String(), unstreamed.Choices[0].Text)
	}
}

// TestBidRunsAtMostOnce checks that a bid is never sent to the bid service twice, which would
// charge the buyer twice. The service is slow; the caller gives up on entry 1 while the bid is
// being sent, then sends the same Idempotency-Key to entry 2. Without the marker in the platform,
// entry 2 would not know of the first call and would send the bid again.
func TestBidRunsAtMostOnce(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	slow := map[string]func(http.Handler) http.Handler{"bids": func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				<-release
			}
			h.ServeHTTP(w, r)
		})
	}}
	ts := startSite(t, 2, slow)
	defer once.Do(func() { close(release) })

	send := func(url string, timeout time.Duration) (int, string) {
		c := &http.Client{Timeout: timeout}
		req, _ := http.NewRequest(http.MethodPost, url+"/v1/services/bids/call", bytes.NewReader([]byte(`{"pen":12,"price":410}`)))
		req.Header.Set("Idempotency-Key", "bid-1")
		resp, err := c.Do(req)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("X-Currantford-Ran")
	}
	if status, _ := send(ts.urls[0], 200*time.Millisecond); status != 0 {
		t.Fatalf("first attempt: status %d, want a timeout", status)
	}
	status, ran := send(ts.urls[1], 2*time.Second)
	if status != http.StatusConflict || ran != "unknown" {
		t.Fatalf("repeated call on entry 2: status %d, ran %q, want 409 and \"unknown\"", status, ran)
	}
	once.Do(func() { close(release) })
	eventually(t, "the first send to finish", func() bool {
		status, _ := send(ts.urls[1], 2*time.Second)
		return status == http.StatusOK
	})
	if n := ts.bidCalls(t, "bid-1"); n != 1 {
		t.Fatalf("bid-1 reached the service %d times, want 1", n)
	}
}

// TestLeavingEngineGetsNoNewRequests checks that no live request is routed to an engine that the
// instance list shows as leaving; it would be aborted when the engine stops. The list is delayed,
// and the engine's load report still shows it idle, so routing by load reports alone would select
// it.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	ts := startSite(t, 1, nil)
	ts.setInstance(t, "forecast-1", "leaving")
	post := func() string {
		resp, err := http.Post(ts.urls[0]+"/v1/completions", "application/json",
			strings.NewReader(`{"model":"forecast","prompt":"ring hall pen","max_tokens":2}`))
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return ""
		}
		return resp.Header.Get("X-Currantford-Engine")
	}
	// Wait until the delayed list has reached the entry, that is until 20 requests in a row go to
	// other engines.
	eventually(t, "the leaving state to reach the entry", func() bool {
		for range 20 {
			if e := post(); e == "" || e == "forecast-1" {
				return false
			}
		}
		return true
	})
	for range 50 {
		if e := post(); e == "forecast-1" {
			t.Fatalf("a new request was routed to the leaving engine")
		}
	}
}

// TestBidDuringOutageIsRefusedAsNotRun sends a bid during a platform outage, then repeats it with
// the same key after the outage. The bid must be refused as "not run", and that must be true. An
// entry that sends before the marker exists, or answers "not run" when the request may have been
// sent, would report a bid as not run that has run, or send a bid twice.
func TestBidDuringOutageIsRefusedAsNotRun(t *testing.T) {
	ts := startSite(t, 1, nil)
	send := func() (int, string) {
		req, _ := http.NewRequest(http.MethodPost, ts.urls[0]+"/v1/services/bids/call", strings.NewReader(`{"pen":3,"price":200}`))
		req.Header.Set("Idempotency-Key", "bid-outage")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("X-Currantford-Ran")
	}
	calls := func() int { return ts.bidCalls(t, "bid-outage") }
	if err := ts.store.InjectFaults(context.Background(), 60000, 0, 0); err != nil {
		t.Fatal(err)
	}
	if status, ran := send(); status != http.StatusServiceUnavailable || ran != "no" {
		t.Fatalf("during the outage: status %d, ran %q, want 503 and \"no\"", status, ran)
	}
	if n := calls(); n != 0 {
		t.Fatalf("the bid was refused as not run but reached the service %d times", n)
	}
	if err := ts.store.InjectFaults(context.Background(), 0, 0, 0); err != nil {
		t.Fatal(err)
	}
	if status, _ := send(); status != http.StatusOK {
		t.Fatalf("after the outage: status %d, want 200", status)
	}
	if n := calls(); n != 1 {
		t.Fatalf("bid reached the service %d times, want 1", n)
	}
}
