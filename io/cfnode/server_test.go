package cfnode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantford/io/cfroom"
)

// TestStopAnswersEveryRequestItHasRead guards against a request that is forwarded to a target
// around a planned stop and whose connection ends without an answer. A caller sends its next
// request on a kept connection just as the server closes idle connections; net/http marks a
// connection as active only after it has read the request's header, and closes it as idle until
// then.
func TestStopAnswersEveryRequestItHasRead(t *testing.T) {
	lost := 0
	for range 40 {
		lost += stopUnderLoad(t)
	}
	if lost > 0 {
		t.Errorf("%d requests reached the handler and got no answer", lost)
	}
}

// stopUnderLoad stops a server while callers send one request after the other on kept connections.
// It returns how many requests were handled and not answered.
func stopUnderLoad(t *testing.T) int {
	t.Helper()
	var handled, answered atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	srv, err := listen(addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = fmt.Fprint(w, "ok")
	}), gatedOptions())
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() { answered.Add(sendUntilClosed(addr)) })
	}
	time.Sleep(20 * time.Millisecond)
	srv.disableKeepAlives()
	time.Sleep(5 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	wg.Wait()
	return int(handled.Load() - answered.Load())
}

// sendUntilClosed sends requests on one connection until it ends. It returns how many were
// answered.
func sendUntilClosed(addr string) int64 {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := int64(0); ; n++ {
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return n
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		_ = resp.Body.Close()
		if resp.Close {
			return n + 1
		}
	}
}

// TestCutConnectionTakesNoFurtherRequest guards against a connection that takes a further request
// after it was cut: its write deadline would break off the answer to that request.
func TestCutConnectionTakesNoFurtherRequest(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := &conn{Conn: ours, busy: true, reader: &cfroom.Conn{}, log: zap.NewNop()}
	c.Cut(c.AnswerNumber())
	c.endAnswer() // The answer had been written completely.
	if _, err := c.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("the connection was not closed; the write returned %v", err)
	}
}

// TestCutOfACompletedAnswerSparesTheNext guards against a cut that comes just after its answer has
// been written and breaks off the answer to the next request, which is in progress by then.
func TestCutOfACompletedAnswerSparesTheNext(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := &conn{Conn: ours, busy: true, reader: &cfroom.Conn{}, log: zap.NewNop()}
	answer := c.AnswerNumber()
	c.endAnswer()
	go func() { _, _ = theirs.Write([]byte("x")) }()
	if _, err := c.Read(make([]byte, 1)); err != nil { // a byte of the next request
		t.Fatal(err)
	}
	if c.Cut(answer) {
		t.Error("the next answer was cut")
	}
	go func() { _, _ = theirs.Read(make([]byte, 1)) }()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Errorf("the next answer was broken off: %v", err)
	}
}
