//go:build review

package cases

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["paths"] = pathsCase }

// pathsCase: consumers send requests on a route whose prefix is a single slash. Some of their paths
// begin with two slashes. Each server must be asked for the path that the consumer sent.
func pathsCase(w *world) ([]string, error) {
	w.configure(2, []map[string]any{{
		"name": "r-all", "host": siteHost, "path-prefix": "/", "kind": "unsafe", "timeout-ms": 2000, "slo-ms": 500, "priority": 1, "service": "ring", "max-attempts": 3,
	}}, map[string]any{"name": "ring", "health-path": "/health", "max-conns": 150})
	var mu sync.Mutex
	ran := map[string]string{}
	addr, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Currantford-Request-Id")
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		ran[id] = r.Method + " " + r.URL.EscapedPath() + " of " + r.Host
		mu.Unlock()
		w.log("run", "id", id, "request_target", r.RequestURI, "host", r.Host, "path", r.URL.EscapedPath(), "bytes", len(body))
		rw.Header().Set("Currantford-Request-Id", id)
		rw.Header().Set("Currantford-Response-Stamp", "stamp."+id)
		_, _ = io.WriteString(rw, "taken")
	}))
	if err != nil {
		return nil, err
	}
	w.list("i-ring-0", "ring", addr, "ready", 12)
	if err := w.start(2, nil); err != nil {
		return nil, err
	}
	paths := []string{"/lot/7/bid", "/pen/3/bid?by=12"}
	if w.trouble {
		paths = append(paths, "//lot/7/bid", "//pen/3/bid?by=12")
	}
	var broken []string
	for i, path := range paths {
		id := fmt.Sprintf("ab31%012x", i)
		status, err := sendRaw(w.entries[i%2].callers, path, id)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		mu.Lock()
		got := ran[id]
		mu.Unlock()
		before, _, _ := strings.Cut(path, "?")
		want := "POST " + before + " of " + siteHost
		w.log("answered", "id", id, "path", path, "status", status, "ran", got)
		if got != "" && got != want {
			broken = append(broken, fmt.Sprintf("UNASKED: sent %q, the server ran %q", want, got))
		}
	}
	return broken, nil
}

// sendRaw sends a request with exactly this path and returns the status line of its answer.
func sendRaw(entry, path, id string) (string, error) {
	c, err := net.Dial("tcp", entry)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nCurrantford-Request-Id: %s\r\nCurrantford-Deadline-Ms: 1500\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbid", path, siteHost, id)
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line, err
}
