//go:build review

// Package cases holds the scripted cases of the second independent review. Each case starts the
// deployed program as separate processes on loopback, against small stand-ins of the platform. The
// environment variable CASE selects the case, TROUBLE=0 leaves its disruption out, and RECORD names
// the file for what was sent, answered and run. The exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package cases

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

const (
	program   = "target/currantford-node"
	siteHost  = "ring.example"
	streamFor = "/write/"
	// caseTimeout bounds a case. At its end the processes are ended.
	caseTimeout = 100 * time.Second
	// startTimeout bounds the wait for the start of the deployment.
	startTimeout = 20 * time.Second
)

// errNotRun is returned by a case that could not run.
var errNotRun = errors.New("the case could not run")

// cases maps the names of the cases to their functions, which return what broke the rule.
var cases = map[string]func(*world) ([]string, error){}

func TestMain(_ *testing.M) { os.Exit(runCase()) }

func runCase() int {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	time.AfterFunc(caseTimeout, func() {
		w.close()
		os.Exit(2)
	})
	broken, err := run(w)
	for _, b := range broken {
		w.log("broken", "what", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case len(broken) > 0:
		return 1
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println("held")
	return 0
}

type (
	// world is a deployment with its stand-ins.
	world struct {
		trouble bool
		dir     string
		began   time.Time
		store   *standin.Store
		addrs   struct{ store string }
		entries []*entry

		mu      sync.Mutex
		record  *os.File
		servers []*http.Server

		closeOnce sync.Once
	}

	// entry is a process of the deployed program.
	entry struct {
		w                             *world
		id, callers, ready, directory string
		peers, metrics, settings      string
		cmd                           *exec.Cmd
		done                          chan struct{}
	}
)

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), store: standin.NewStore()}
	name := os.Getenv("RECORD")
	if name == "" {
		name = filepath.Join(dir, "record.txt")
	}
	if w.record, err = os.Create(name); err != nil {
		return nil, err
	}
	w.addrs.store, err = w.serve(w.store)
	return w, err
}

// close ends all processes that the case started.
func (w *world) close() { w.closeOnce.Do(w.end) }

func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.record.Close()
}

// log writes one line to the record.
func (w *world) log(what string, fields ...any) {
	line := map[string]any{"at_ms": time.Since(w.began).Milliseconds(), "event": what}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fmt.Sprint(fields[i])] = fields[i+1]
	}
	raw, _ := json.Marshal(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.Write(append(raw, '\n'))
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freeAddr returns an address on which nothing listens. Its port lies below the range from which the
// operating system assigns ports to connections.
func freeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	return ""
}

// start starts n entries with the settings that deploy/node.json.tmpl gives a small deployment, and
// waits until they are ready. storeOf returns the address at which an entry reaches the store.
func (w *world) start(n int, storeOf func(i int) string) error {
	for i := range n {
		e := &entry{
			w: w, id: fmt.Sprintf("front-%d", i), callers: freeAddr(), ready: freeAddr(), directory: freeAddr(), peers: freeAddr(), metrics: freeAddr(),
		}
		store := w.addrs.store
		if storeOf != nil {
			store = storeOf(i)
		}
		raw, err := json.Marshal(map[string]any{
			"entry": e.id, "failure_domain": fmt.Sprintf("zone-%c", 'a'+i%3),
			"listen":  map[string]any{"callers": e.callers, "ready": e.ready, "directory": e.directory, "peers": e.peers, "metrics": e.metrics},
			"store":   map[string]any{"addr": store, "value_bytes": 1 << 20},
			"bounds":  map[string]any{"grace_s": 8.0, "keep_results_s": 120, "lease_ms": 3000, "key_trust_ms": 30000},
			"memory":  map[string]any{"limit_mb": 134},
			"machine": map[string]any{"cpu_share": 0.4, "cores": 1, "link_mbps": 1000.0, "max_fds": 4100},
		})
		if err != nil {
			return err
		}
		e.settings = filepath.Join(w.dir, e.id+".json")
		if err := os.WriteFile(e.settings, raw, 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return w.await("all entries ready and a coordinator", func() bool {
		for _, e := range w.entries {
			if !e.isReady() {
				return false
			}
		}
		return w.coordinator() != nil
	})
}

// start runs the command of the deploy file.
func (e *entry) start() error {
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "entry")
	cmd.Env = append(os.Environ(), "CURRANTFORD_NODE_FILE="+e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	e.cmd, e.done = cmd, done
	e.w.log("started", "entry", e.id)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.w.log("signal", "entry", e.id, "signal", s.String())
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
}

func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.ready + "/currantford/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) await(what string, done func() bool) error {
	for deadline := time.Now().Add(startTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: no %s", errNotRun, what)
		}
	}
	return nil
}

// coordinator returns the entry that last wrote the lease.
func (w *world) coordinator() *entry {
	var h struct {
		Entry string `json:"entry"`
	}
	if raw := w.store.Spec("currantford-leases", "coordinator"); raw != nil {
		_ = json.Unmarshal(raw, &h)
	}
	for _, e := range w.entries {
		if e.id == h.Entry {
			return e
		}
	}
	return nil
}

// configure writes a manifest with the routes.
func (w *world) configure(version int, routes []map[string]any, services ...map[string]any) {
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.log("manifest", "version", version)
}

// list writes a server's entry of the service discovery.
func (w *world) list(id, service, addr, state string, slots int) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "addr": addr, "zone": "zone-a", "version": "v1", "slots": slots, "state": state, "cold-left-ms": 0, "seq": 0,
	})
	w.log("listed", "server", id, "state", state)
}

// newRequest returns a client's request to an entry.
func newRequest(method, entry, path, id string, deadline time.Duration) *http.Request {
	r, err := http.NewRequest(method, "http://"+entry+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	r.Header.Set("Currantford-Request-Id", id)
	r.Header.Set("Currantford-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	return r
}
