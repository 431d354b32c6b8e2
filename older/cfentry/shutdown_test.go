package cfentry_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	cf "currantford"
)

// TestShutdownCompletesRequestsInFlight shuts an entry down, as SIGTERM does, while a long
// completion is being streamed. A shutdown that closes the listener and the connections at once,
// instead of marking the entry as leaving, draining and waiting for the requests in flight, would
// cut off the response during a deployment.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	ts := startSite(t, 1, nil)
	body := `{"model":"forecast","prompt":"tuul west frost","max_tokens":150,"stream":true}`
	ts.waitRoutable(t)
	resp, err := http.Post(ts.urls[0]+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- ts.entries[0].Shutdown(ctx)
	}()
	tokens, done := 0, false
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "data: [DONE]":
			done = true
		case strings.Contains(line, `"error"`):
			t.Fatalf("stream contains an error: %s", line)
		case strings.HasPrefix(line, "data: ") && !strings.Contains(line, `"finish_reason":"length"`):
			tokens++
		}
	}
	if !done || tokens != 150 {
		t.Fatalf("response cut off after %d of 150 tokens, done=%v", tokens, done)
	}
	if err := <-stopped; err != nil {
		t.Fatalf("shutdown: %v", err)
	}
}

// TestEngineFailureMidStreamReportsPartialAnswer closes all connections of an engine while it
// streams a completion. An entry that merely ended the stream would make the response look
// complete, and the caller would use half an answer, such as half a forecast.
func TestEngineFailureMidStreamReportsPartialAnswer(t *testing.T) {
	ts := startSite(t, 1, nil)
	ts.waitRoutable(t)
	resp, err := http.Post(ts.urls[0]+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"forecast","prompt":"bayan b store two","max_tokens":400,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	engine := ts.engines[cf.EngineID(resp.Header.Get("X-Currantford-Engine"))]
	if engine == nil {
		t.Fatalf("the response names no engine")
	}
	sc := bufio.NewScanner(resp.Body)
	lines, done, partial := 0, false, false
	for sc.Scan() {
		line := sc.Text()
		if strings.HasPrefix(line, "data: ") {
			lines++
		}
		if lines == 5 {
			_ = engine.Close()
		}
		done = done || line == "data: [DONE]"
		partial = partial || strings.Contains(line, `"ran":"partly"`)
	}
	if done || !partial {
		t.Fatalf("after the engine failure: done=%v, partial error=%v, want no [DONE] and a partial error event", done, partial)
	}
}
