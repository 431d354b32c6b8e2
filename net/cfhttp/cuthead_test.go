package cfhttp_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"currantford/net/cfhttp"
	"currantford/platform/standin"
)

// TestCutHeadIsNoResponse guards against a response whose connection ends within its head, and which
// is taken for a whole one with an empty or short body: on a new connection and on a reused one, with
// an orderly end and a reset, also while the request is being written.
func TestCutHeadIsNoResponse(t *testing.T) {
	const fields = "X: y\r\nContent-Type: text/plain\r\n"
	upload := bytes.Repeat([]byte("x"), 1<<20)
	for name, head := range map[string]string{
		"length":             "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n",
		"no body":            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n",
		"chunks":             "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
		"trailer":            "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nTrailer: X-Y\r\n\r\n",
		"end of connection":  "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"line feeds":         "HTTP/1.1 200 OK\nContent-Length: 0\nX: y\n\n",
		"folded line":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n  z\r\n\r\n",
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + fields + "\r\n",
		"no content":         "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
		"failure":            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n" + fields + "\r\n",
		"informational head": "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for end, endName := range map[standin.RawEnd]string{standin.RawHalfClose: "orderly end", standin.RawReset: "reset"} {
			t.Run(name+", "+endName, func(t *testing.T) {
				t.Parallel()
				reused := 0
				for cut := range len(head) {
					url := startRaw(t, func(r *http.Request) (string, standin.RawEnd) {
						if r.URL.Path == "/whole" {
							return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", standin.RawKeep
						}
						return head[:cut], end
					})
					transport := cfhttp.NewTransport(&http.Transport{})
					send := func(method, path string, body []byte) (status int, x *cfhttp.Exchange, err error) {
						req, err := http.NewRequestWithContext(t.Context(), method, url+path, nil)
						if err != nil {
							t.Fatal(err)
						}
						if len(body) > 0 {
							req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
						}
						x = &cfhttp.Exchange{}
						resp, err := transport.Do(t.Context(), req, x)
						if err != nil {
							return 0, x, err
						}
						defer resp.Body.Close()
						_, _ = io.Copy(io.Discard, resp.Body)
						return resp.StatusCode, x, nil
					}
					check := func(what, method string, body []byte) {
						status, x, err := send(method, "/cut", body)
						if err == nil {
							t.Errorf("%s, cut after %d bytes (%q): status %d is taken", what, cut, head[max(0, cut-10):cut], status)
						}
						if !x.NewConn() {
							reused++
						}
					}
					check("new connection", http.MethodPost, []byte("x"))
					check("during an upload", http.MethodPost, upload)
					for method, body := range map[string][]byte{http.MethodGet: nil, http.MethodPost: []byte("x")} {
						if _, _, err := send(http.MethodPost, "/whole", []byte("x")); err != nil {
							t.Fatal(err)
						}
						check("reused connection, "+method, method, body)
					}
					transport.CloseIdleConnections()
				}
				if reused < len(head) {
					t.Errorf("%d requests were sent on reused connections, want %d or more", reused, len(head))
				}
			})
		}
	}
}
