package cfnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
)

// TestIdleTimeoutClosesNoConnectionWithARequest guards against a kept connection that is closed as
// idle after a request has been read, with changing idle timeouts and requests of all forms.
func TestIdleTimeoutClosesNoConnectionWithARequest(t *testing.T) {
	var handled, answered atomic.Int64
	large := strings.Repeat("x", 64<<10)
	srv, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(w, large)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}), gatedOptions())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			srv.closeIdleWhere(func(since cf.Millis) bool { return since > 0 && rand.IntN(8) == 0 })
			time.Sleep(100 * time.Microsecond)
		}
	})
	for range 32 {
		wg.Go(func() {
			for ctx.Err() == nil {
				answered.Add(sendRequests(ctx, srv.ln.Addr().String()))
			}
		})
	}
	wg.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelStop()
	if err := srv.Shutdown(stop); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests handled", handled.Load())
	if lost := handled.Load() - answered.Load(); lost != 0 {
		t.Errorf("%d of %d requests reached the handler and got no complete answer", lost, handled.Load())
	}
}

// requestParts lists requests as callers send them, split into the parts that are sent separately.
var requestParts = [][]string{
	{"GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"GET /large HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"G", "ET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", "he", "llo"},
	{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", "0\r\n\r\n"},
}

// sendRequests sends requests on one connection until it ends. It returns how many got a complete
// answer.
func sendRequests(ctx context.Context, addr string) int64 {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := int64(0); ; n++ {
		if ctx.Err() != nil {
			return n
		}
		for _, part := range requestParts[rand.IntN(len(requestParts))] {
			if _, err := fmt.Fprint(conn, part); err != nil {
				return n
			}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return n
		}
		if rand.IntN(4) == 0 {
			time.Sleep(time.Duration(rand.IntN(400)) * time.Microsecond)
		}
	}
}

// TestAnswerThatCannotBeWrittenIsLogged guards against requests that end without an answer and
// without a log line with their identifier.
func TestAnswerThatCannotBeWrittenIsLogged(t *testing.T) {
	s := newTestSite(t, cfhold.Policy{}, writeSized)
	conn := s.send(t, "/x/8000000")
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close() // A close with unread bytes resets the connection.
	partial, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(partial, "POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nCurrantford-Request-Id: r\r\n\r\nhalf")
	_ = partial.Close()
	for _, line := range []string{"answer_not_written", "request_answered", "body_not_read"} {
		deadline := time.Now().Add(10 * time.Second)
		for s.logs.FilterMessage(line).FilterField(zap.String("request_id", "r")).Len() == 0 && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
		if found := s.logs.FilterMessage(line).FilterField(zap.String("request_id", "r")).Len(); found != 1 {
			t.Errorf("%d log lines %s, want one", found, line)
		}
	}
	if s.logs.FilterField(zap.String("outcome", "caller_gone")).Len() != 1 {
		t.Error("the log line of the request does not have the outcome caller_gone")
	}
}

// TestShutdownAnswersRequestsInProgress guards against requests that a stopping instance forwards
// to their targets and then cuts off. Requests that are still in progress at its end must be
// answered too.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	reached := make(chan struct{}, 2)
	s := newTestSite(t, cfhold.Policy{}, func(_ http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-r.Context().Done()
	})
	conns := []net.Conn{s.send(t, "/x/whole"), s.send(t, "/s/stream")}
	for range conns {
		<-reached
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	s.stopped = true
	if err := s.srv.Shutdown(ctx); err == nil {
		t.Error("Shutdown returned no error although requests were in progress")
	}
	for _, conn := range conns {
		status := 0
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		_ = conn.Close()
		if status != http.StatusGatewayTimeout {
			t.Errorf("status %d, %v; want 504", status, err)
		}
	}
}
