package cfentry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenAnswers are answers of a service that are not complete, each after its head's status.
var brokenAnswers = map[string]string{
	"reset during the upload": " 200 OK\r\n\r\npart of the answer",
	"cut in the status":       " 200",
	"cut in a name":           " 200 OK\r\nContent-Le",
	"cut before the length":   " 200 OK\r\nContent-Type: text/plain\r\n",
	"cut in the blank line":   " 200 OK\r\nContent-Length: 0\r\n\r",
	"longer than the bound":   " 200 OK\r\n\r\n" + strings.Repeat("x", 2<<20),
}

// serveRaw answers with given bytes before it reads the request's body, and resets the connection.
func serveRaw(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1"+answer)
	time.Sleep(2 * time.Millisecond) // the reset discards what has not been read
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// TestBrokenAnswersOfServicesReachNoCaller guards against a part of a service's answer that a caller
// gets as the whole.
func TestBrokenAnswersOfServicesReachNoCaller(t *testing.T) {
	for name, answer := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			ts := startSite(t, 1, map[string]func(http.Handler) http.Handler{"bids": func(http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { serveRaw(w, answer) })
			}})
			upload := strings.Repeat("x", 1<<20)
			for i := range 20 {
				req, err := http.NewRequest(http.MethodPost, ts.urls[0]+"/v1/services/bids/call", strings.NewReader(upload))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Idempotency-Key", fmt.Sprintf("k%d", i))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode < 400 {
					t.Errorf("call %d: status %d, %d bytes %.20q; want a failure", i, resp.StatusCode, len(body), body)
				}
			}
		})
	}
}
