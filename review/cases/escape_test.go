//go:build review

package cases

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

func init() { cases["escape"] = escapeCase }

// escapeCase: two routes of one host, of which one has the longer prefix. Consumers send paths with
// an escaped slash, which only the shorter prefix begins. They must run at the service of that route.
func escapeCase(w *world) ([]string, error) {
	const short, long = "/pen/", "/pen/7/"
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": siteHost, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 2000, "slo-ms": 500, "priority": 1, "service": service, "max-attempts": 3,
		}
	}
	w.configure(2, []map[string]any{route("r-pens", short, "pens"), route("r-seven", long, "seven")},
		map[string]any{"name": "pens", "health-path": "/health", "max-conns": 150}, map[string]any{"name": "seven", "health-path": "/health", "max-conns": 150})
	var mu sync.Mutex
	ran := map[string]string{}
	for _, service := range []string{"pens", "seven"} {
		addr, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Currantford-Request-Id")
			mu.Lock()
			ran[id] = service
			mu.Unlock()
			w.log("run", "id", id, "service", service, "request_target", r.RequestURI)
			rw.Header().Set("Currantford-Request-Id", id)
			rw.Header().Set("Currantford-Response-Stamp", "stamp."+id)
			_, _ = io.WriteString(rw, "taken")
		}))
		if err != nil {
			return nil, err
		}
		w.list("i-"+service+"-0", service, addr, "ready", 12)
	}
	if err := w.start(2, nil); err != nil {
		return nil, err
	}
	paths := []string{"/pen/8/bid", "/pen/7/bid", "/pen/a%20b"}
	if w.trouble {
		paths = append(paths, "/pen/7%2Fbid", "/pen%2F7/bid", "/pen/7%2fbid?by=3")
	}
	var broken []string
	for i, path := range paths {
		want := ""
		switch {
		case strings.HasPrefix(path, long):
			want = "seven"
		case strings.HasPrefix(path, short):
			want = "pens"
		}
		id := fmt.Sprintf("c0de%012x", i)
		status, err := sendRaw(w.entries[i%2].callers, path, id)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		mu.Lock()
		got := ran[id]
		mu.Unlock()
		w.log("answered", "id", id, "path", path, "status", status, "service", got, "allowed", want)
		if got != "" && got != want {
			broken = append(broken, fmt.Sprintf("ROUTE: %s ran at the service %q; the manifest allows %q", path, got, want))
		}
	}
	return broken, nil
}
