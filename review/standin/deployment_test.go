//go:build review

package standin

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
	"sync"
	"syscall"
	"time"

	platform "currantford/platform/standin"
)

// The bounds of the small sites; a case must stay inside the pages' limits with them.
const (
	graceS    = 8
	statusS   = 120
	leaseMs   = 3000
	ramMB     = 134
	linkMbps  = 1000.0
	cpuShare  = 0.4
	valueSize = 1 << 20
	startWait = 20 * time.Second
	host      = "ring.example"
)

var errCannotRun = errors.New("the case could not run")

type (
	// deployment is a small deployment: the platform's store in this process, and the project's
	// programs as processes of their own.
	deployment struct {
		dir     string
		binary  string
		loHost  string
		store   *platform.Store
		nodes   []*node
		closers []func()
		rec     *recorder
		// given holds the addresses that processes were given.
		given map[string]bool
	}

	// node is one process of the project.
	node struct {
		name, zone                       string
		role                             string
		callers, ready, directory, peers string
		settings                         string
		cmd                              *exec.Cmd
		done                             chan struct{}
		mu                               sync.Mutex
		exited                           bool
	}
)

// loopbackHost returns a loopback address that no other process of these cases uses.
func loopbackHost() (string, func(), error) {
	for range 200 {
		h := fmt.Sprintf("127.0.%d.%d", 2+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", h+":19999")
		if err == nil {
			return h, func() { _ = l.Close() }, nil
		}
	}
	return "", nil, errCannotRun
}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "currantford-review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: platform.NewStore(), rec: rec, given: map[string]bool{}}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	h, release, err := loopbackHost()
	if err != nil {
		return nil, err
	}
	d.loHost = h
	d.closers = append(d.closers, release)
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	d.binary = filepath.Join(root, "target", "currantford-node")
	if _, err := os.Stat(d.binary); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return d, nil
}

// repositoryRoot returns the folder with the deploy file, from the folder of a case.
func repositoryRoot() (string, error) {
	wd, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for dir := wd; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errCannotRun
}

// listen opens a listener on a free port of the deployment's address.
func (d *deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", d.loHost+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	d.closers = append(d.closers, func() { _ = l.Close() })
	return l, nil
}

func (d *deployment) serveHTTP(h http.Handler) (string, error) {
	l, err := d.listen()
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	d.closers = append(d.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// freeAddr returns an address on which a process of the project may listen. The ports lie below
// those that the system assigns to connections.
func (d *deployment) freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", d.loHost, 20000+rand.IntN(10000))
		if d.given[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			d.given[addr] = true
			return addr, nil
		}
	}
	return "", errCannotRun
}

// startNodes starts the programs of the deploy file: entries, and one standby, as its two roles say.
func (d *deployment) startNodes(storeAddr string, entries int) error {
	return d.startNodesAt(entries, func(string) (string, error) { return storeAddr, nil })
}

// startNodesAt is like startNodes, with the store's address as each process reaches it.
func (d *deployment) startNodesAt(entries int, storeAddr func(name string) (string, error)) error {
	zones := []string{"ring-hall", "office-shed", "yard-box"}
	for i := range entries {
		name := fmt.Sprintf("front-%d", i+1)
		addr, err := storeAddr(name)
		if err != nil {
			return err
		}
		if err := d.addNode("entry", name, zones[i%len(zones)], addr); err != nil {
			return err
		}
	}
	addr, err := storeAddr("store-1")
	if err != nil {
		return err
	}
	if err := d.addNode("standby", "store-1", zones[0], addr); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startWait)
	for _, n := range d.entries() {
		for !n.isReady() {
			if time.Now().After(deadline) {
				raw, _ := os.ReadFile(filepath.Join(d.dir, n.name+".log"))
				d.rec.add("log of %s:\n%s", n.name, raw)
				return fmt.Errorf("%w: %s is not ready", errCannotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // the directories have heard of all
	return nil
}

func (d *deployment) addNode(role, name, zone, storeAddr string) error {
	n := &node{name: name, role: role, zone: zone}
	var metrics string
	for _, p := range []*string{&n.callers, &n.ready, &n.directory, &n.peers, &metrics} {
		addr, err := d.freeAddr()
		if err != nil {
			return err
		}
		*p = addr
	}
	listen := map[string]any{"peers": n.peers, "metrics": metrics}
	if role == "entry" {
		listen["callers"], listen["ready"], listen["directory"] = n.callers, n.ready, n.directory
	}
	settings := map[string]any{ // as deploy/node.json.tmpl writes them
		"entry": name, "failure_domain": zone, "listen": listen,
		"store":   map[string]any{"addr": storeAddr, "value_bytes": valueSize},
		"bounds":  map[string]any{"grace_s": graceS, "keep_results_s": statusS, "lease_ms": leaseMs, "key_trust_ms": 30000},
		"memory":  map[string]any{"limit_mb": ramMB},
		"machine": map[string]any{"cpu_share": cpuShare, "cores": 1, "link_mbps": linkMbps},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return nil
}

// start starts a process by the command of its role in the deploy file.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.binary, n.role)
	cmd.Env = []string{"CURRANTFORD_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.exited = cmd, done, false
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.exited = n.done == done
		n.mu.Unlock()
		close(done)
	}()
	return nil
}

func (d *deployment) entries() []*node {
	var out []*node
	for _, n := range d.nodes {
		if n.role == "entry" {
			out = append(out, n)
		}
	}
	return out
}

func (d *deployment) zoneOf(name string) string {
	for _, n := range d.nodes {
		if n.name == name {
			return n.zone
		}
	}
	return ""
}

func (d *deployment) byCallers(addr string) *node {
	for _, n := range d.entries() {
		if n.callers == addr {
			return n
		}
	}
	return &node{name: addr}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/currantford/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// hasExited reports whether the process that was started last has ended.
func (n *node) hasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
