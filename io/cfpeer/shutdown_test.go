package cfpeer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	cf "currantford"
	"currantford/io/cfpeer"
)

// TestShutdownAnswersCallsInProgress guards against calls of other instances, such as writes to the
// store, whose outcome stays unknown because the instance that executes them stops.
func TestShutdownAnswersCallsInProgress(t *testing.T) {
	srv := cfpeer.NewServer()
	started, release := make(chan struct{}), make(chan struct{})
	srv.Handle("wait", func(context.Context, cbor.RawMessage) (any, error) {
		close(started)
		<-release
		return "done", nil
	})
	executed := false
	srv.Handle("write", func(context.Context, cbor.RawMessage) (any, error) {
		executed = true
		return "done", nil
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/peer", srv)
	ts := httptest.NewServer(mux)
	defer ts.Close()
	addr := strings.TrimPrefix(ts.URL, "http://")
	c := cfpeer.NewClient()
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer := make(chan error, 1)
	go func() {
		var out string
		answer <- c.Call(ctx, addr, "wait", nil, &out)
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.Shutdown(ctx)
		_ = srv.Close()
	}()
	time.Sleep(50 * time.Millisecond)
	var out string
	if err := c.Call(ctx, addr, "write", nil, &out); !errors.Is(err, cf.ErrRefused) || executed {
		t.Errorf("a call during the shutdown: %v, executed %t; want ErrRefused and not executed", err, executed)
	}
	close(release)
	if err := <-answer; err != nil {
		t.Errorf("the call in progress: %v", err)
	}
	<-stopped
}
