package cfnode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/platform"
	"currantford/testbed/cfstandin"
)

const validAnswer = "HTTP/1.1 200 OK\r\nCurrantford-Request-Id: r\r\nCurrantford-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nsound"

// serveRawAnswers answers requests whose path ends in /sound with a valid answer, and any other
// request with the bytes in its body.
func serveRawAnswers(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				if strings.HasSuffix(req.URL.Path, "/sound") {
					_, _ = io.WriteString(conn, validAnswer)
					continue
				}
				_, _ = conn.Write(body)
				return
			}
		}()
	}
}

// FuzzTargetAnswers sends arbitrary bytes as a target's answer. No such answer may cause a panic,
// or cause the next request on the caller's connection to be answered by anything but its own
// answer.
func FuzzTargetAnswers(f *testing.F) {
	for _, s := range []string{validAnswer, strings.Replace(validAnswer, "200", "042", 1), strings.Replace(validAnswer, "200", "101", 1),
		strings.Replace(validAnswer, "200", "204", 1), strings.Replace(validAnswer, "200", "304", 1), strings.Replace(validAnswer, "5\r\n", "9\r\n", 1),
		strings.Replace(validAnswer, "Content-Length: 5", "Transfer-Encoding: chunked", 1), strings.Replace(validAnswer, "Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nsound\r\n0\r\nA: b\r\n\r\n", 1),
		"HTTP/1.1 100 Continue\r\n\r\n" + validAnswer, "HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: x\r\nCurrantford-Request-Id: r\r\nCurrantford-Response-Stamp: s\r\n\r\n", "garbage", "",
	} {
		f.Add([]byte(s))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	go serveRawAnswers(l)
	site := cfsite.New(cfstandin.Codec{})
	routes := []cfsite.Route{{Host: "h", Prefix: "/x/", Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 1000, MaxAttempts: 1}}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1, Routes: routes, Limits: cfsite.Limits{BodyBytes: 1 << 20}})); err != nil {
		f.Fatal(err)
	}
	if _, _, err := site.ApplyTarget(cfstandin.Record("t", 1, cf.Target{ID: "t", Service: "s", Addr: l.Addr().String(), Slots: 100}), cf.Uptime()); err != nil {
		f.Fatal(err)
	}
	targets := platform.NewTargets(2, prometheus.NewRegistry())
	f.Cleanup(func() { _ = targets.Close() })
	callers := platform.NewCallerAPI(cfingress.New(cfingress.Options{
		Members: noMembers{}, Targets: targets, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), NoAdmission: true, Log: zap.NewNop(),
	}), zap.NewNop())
	srv, err := listen("127.0.0.1:0", callers, gatedOptions())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = srv.Shutdown(f.Context()) })
	f.Fuzz(func(t *testing.T, answer []byte) {
		conn, err := net.Dial("tcp", srv.ln.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		r := bufio.NewReader(conn)
		ask := func(path string, body []byte) (status int, closing bool, got []byte, err error) {
			_, _ = fmt.Fprintf(conn, "POST /x/%s HTTP/1.1\r\nHost: h\r\nCurrantford-Request-Id: r\r\nContent-Length: %d\r\n\r\n", path, len(body))
			_, _ = conn.Write(body)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return 0, true, nil, err
			}
			defer func() { _ = resp.Body.Close() }()
			got, err = io.ReadAll(resp.Body)
			return resp.StatusCode, resp.Close, got, err
		}
		_, closing, _, err := ask("bytes", answer)
		if err != nil {
			t.Fatalf("the request got no answer: %v", err)
		}
		if closing {
			return
		}
		if status, _, got, err := ask("sound", nil); err != nil || status != http.StatusOK || string(got) != "sound" {
			t.Errorf("the next request on the connection got status %d, body %q, error %v", status, got, err)
		}
	})
}
