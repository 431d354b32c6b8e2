package cfpeer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantford/io/cfpeer"
)

// TestCancelledCallDoesNotFailOthers guards against an instance that repeatedly loses the
// coordinator for half a second although both processes and the link work. The WebSocket library
// closes a connection when the context of a write is cancelled, so a cancelled call whose context
// is passed to the library fails all other calls on the same connection.
func TestCancelledCallDoesNotFailOthers(t *testing.T) {
	srv := cfpeer.NewServer()
	release := make(chan struct{})
	srv.Handle("wait", func(context.Context, cbor.RawMessage) (any, error) {
		<-release
		return "done", nil
	})
	srv.Handle("echo", func(context.Context, cbor.RawMessage) (any, error) { return "echo", nil })
	mux := http.NewServeMux()
	mux.Handle("/v1/peer", srv)
	ts := httptest.NewServer(mux)
	defer ts.Close()
	defer func() { _ = srv.Close() }()
	addr := strings.TrimPrefix(ts.URL, "http://")
	c := cfpeer.NewClient()
	defer func() { _ = c.Close() }()
	answer := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	if err := c.Call(ctx, addr, "echo", nil, &got); err != nil {
		t.Fatal(err)
	}
	go func() {
		var out string
		answer <- c.Call(ctx, addr, "wait", nil, &out)
	}()
	cancelled, cancelNow := context.WithCancel(ctx)
	cancelNow()
	// The library randomly detects the cancelled context before or after it begins to write.
	for range 50 {
		if err := c.Call(cancelled, addr, "echo", nil, &got); err == nil {
			t.Error("a call with a cancelled context succeeded")
		}
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	if err := <-answer; err != nil {
		t.Errorf("the waiting call failed together with the cancelled one: %v", err)
	}
}
