package cfhttp_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"currantford/net/cfhttp"
	"currantford/platform/standin"
)

// TestFaultyFramingIsNoResponse guards against chunks that are taken for the body, as the version of
// the response has none.
func TestFaultyFramingIsNoResponse(t *testing.T) {
	const chunks = "\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, response, want string // want is empty if the response is malformed
	}{
		{"chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		{"chunks and a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody", ""},
		{"other encoding", "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody", ""},
		{"many fields before", "HTTP/1.0 200 OK\r\n" + strings.Repeat("X-Long-Name-Of-A-Field: y\r\n", 200) + "Transfer-Encoding: chunked\r\n" + chunks, ""},
		{"line feeds", "HTTP/1.0 200 OK\ntransfer-encoding:chunked\n\n4\nbody\n0\n\n", ""},
		{"after an informational head", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		{"two blanks before the status", "HTTP/1.0  200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		{"earlier version", "HTTP/0.9 200 OK\r\n\r\nbody", ""},
		{"later major version", "HTTP/2.0 200 OK\r\n\r\nbody", ""},
		{"HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, "body"},
		{"later minor version", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, "body"},
		{"end of connection", "HTTP/1.0 200 OK\r\nX: y\r\n\r\nbody", "body"},
		{"length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"},
		{"field in the body", "HTTP/1.0 200 OK\r\n\r\n\r\nTransfer-Encoding: chunked\r\n", "\r\nTransfer-Encoding: chunked\r\n"},
		{"field in a value", "HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\nbody", "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := startRaw(t, func(*http.Request) (string, standin.RawEnd) { return c.response, standin.RawHalfClose })
			client := cfhttp.NewClient()
			defer client.CloseIdleConnections()
			got := ""
			for range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := client.Do(req)
				if (err == nil) != (c.want != "") {
					t.Fatalf("error %v, want the body %q", err, c.want)
				}
				if err == nil {
					body, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					got = string(body)
				}
				if got != c.want {
					t.Errorf("%q, want %q", got, c.want)
				}
			}
		})
	}
}
