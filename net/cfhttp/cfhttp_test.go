package cfhttp_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"currantford/net/cfhttp"
	"currantford/platform/standin"
)

func startRaw(t *testing.T, answer func(*http.Request) (string, standin.RawEnd)) string {
	t.Helper()
	s, err := standin.NewRawServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return "http://" + s.Addr()
}

// TestCloseConnLeavesOtherExchangesAlone guards against a request that fails because the answer
// before it on the connection is rejected late.
func TestCloseConnLeavesOtherExchangesAlone(t *testing.T) {
	url := startRaw(t, func(*http.Request) (string, standin.RawEnd) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", standin.RawKeep
	})
	transport := cfhttp.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	send := func() *cfhttp.Exchange {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		x := &cfhttp.Exchange{}
		resp, err := transport.Do(t.Context(), req, x)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
			t.Fatalf("%q, error %v", body, err)
		}
		return x
	}
	first, second := send(), send()
	first.CloseConn()
	third := send()
	if !first.NewConn() || second.NewConn() || third.NewConn() {
		t.Error("want one connection for all three requests")
	}
	third.CloseConn()
	if !send().NewConn() {
		t.Error("the connection of the latest exchange is open after CloseConn")
	}
}

// TestProtocolChangesOnlyIfAsked guards against a connection that is taken over by another protocol
// although the request did not ask for it.
func TestProtocolChangesOnlyIfAsked(t *testing.T) {
	url := startRaw(t, func(*http.Request) (string, standin.RawEnd) {
		return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", standin.RawKeep
	})
	client := cfhttp.NewClient()
	defer client.CloseIdleConnections()
	for _, asked := range []bool{true, false} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		if asked {
			req.Header.Set("Connection", "Upgrade")
			req.Header.Set("Upgrade", "x")
		}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		if (err == nil) != asked || err != nil && !errors.Is(err, cfhttp.ErrMalformed) {
			t.Errorf("asked %t: error %v", asked, err)
		}
	}
}

// TestAwaitWrittenWaitsForTheWrite guards against a request that counts as not written because its
// response is noticed before the end of the write.
func TestAwaitWrittenWaitsForTheWrite(t *testing.T) {
	const length = 500_000
	for _, c := range []struct {
		end  standin.RawEnd
		size int
		want bool
	}{
		{standin.RawKeep, length, true},
		{standin.RawReset, 32 * length, false},
	} {
		url := startRaw(t, func(*http.Request) (string, standin.RawEnd) {
			return "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", c.end
		})
		transport := cfhttp.NewTransport(&http.Transport{})
		for range 50 {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, c.size)))
			if err != nil {
				t.Fatal(err)
			}
			x := &cfhttp.Exchange{}
			resp, err := transport.Do(t.Context(), req, x)
			if err != nil && !c.want {
				continue // the reset came before the response was read
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := x.AwaitWritten(t.Context()); got != c.want {
				t.Errorf("written %t of %d bytes, want %t", got, c.size, c.want)
			}
			_ = resp.Body.Close()
		}
		transport.CloseIdleConnections()
	}
}
