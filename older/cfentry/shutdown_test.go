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

// TestShutdownCompletesRequestsInFlight: a planned stop lets every answer finish.
//
// Symptom: a caller's streamed answer stops halfway during a deploy.
// Sequence: a long streamed completion is in flight; the entry is told to
// stop (SIGTERM runs Shutdown).
// Cause: closing the listener and connections at once instead of marking
// the entry leaving, draining, and waiting for requests in flight.
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
			t.Fatalf("stream carried an error: %s", line)
		case strings.HasPrefix(line, "data: ") && !strings.Contains(line, `"finish_reason":"length"`):
			tokens++
		}
	}
	if !done || tokens != 150 {
		t.Fatalf("answer cut off: %d of 150 tokens, done=%v", tokens, done)
	}
	if err := <-stopped; err != nil {
		t.Fatalf("shutdown: %v", err)
	}
}

// TestEngineFailureMidStreamReportsPartialAnswer: a caller never takes a cut answer
// for a whole one.
//
// Symptom: a forecast is published from half an answer.
// Sequence: a streamed completion is under way; its engine dies (every
// connection closed).
// Cause it guards against: an entry that just ends the stream, which looks
// to the caller like an answer that ended early on its own.
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
		t.Fatalf("no engine named in the answer")
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
		t.Fatalf("after the engine died: done=%v partial-error=%v, want no [DONE] and a partial error event", done, partial)
	}
}
