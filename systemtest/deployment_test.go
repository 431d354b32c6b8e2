// Package systemtest runs the deployed programs as separate processes on loopback, against
// stand-ins of the platform in the test process, and checks the behaviour that callers, targets and
// the store observe.
package systemtest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"currantford/platform/standin"
)

const (
	host          = standin.DeploymentHost
	batchPrefix   = standin.BatchPrefix
	plainPrefix   = standin.PlainPrefix
	engineService = "engines"
	plainService  = "logs"
	slots         = 4
	// waitTimeout bounds every wait of a test. It is no assertion on speed.
	waitTimeout = 40 * time.Second
)

var (
	binary string
	race   = flag.Bool("programs.race", false, "build the programs with the race detector; a data race in a program fails the test")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "currantford-systemtest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "currantford-node")
	args := []string{"build", "-o", binary}
	if *race {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "currantford/cmd/currantford-node")...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

type (
	// options describe a deployment.
	options struct {
		entries, engines, plainTargets int
		models                         []string
		config                         func(map[string]any)
		valueBytes                     int
		// links puts a tcpProxy in front of each target and, for each entry, in front of the store.
		links bool
		// storeProxies puts a proxy that can reject calls in front of the store for each entry.
		storeProxies bool
		// crashDowntime, if set, lets targets crash and is how long they stay down. Each target is
		// behind a proxy that refuses connections meanwhile. With keepIDs they restart under the
		// same ids.
		crashDowntime time.Duration
		keepIDs       bool
		// cores are the CPU shares of the first entries; the others have 1.
		cores []float64
		// linkMbps is the link rate in the settings of the entries.
		linkMbps float64
		// policy is the policy section of the settings, which disables decisions of the entries.
		policy map[string]any
		// bounds are added to the bounds section of the settings.
		bounds map[string]any
		// usageWindowS enables usage reports by the entries, with windows of that many seconds.
		usageWindowS float64
		// autoscale enables engine orders by the entries; the ordered engines are started.
		autoscale bool
		// hubThreshold is the number of entries from which on hubs relay the coordinator's updates.
		hubThreshold int
		// memoryMB is the memory limit of the entries, 200 if it is 0.
		memoryMB int
		// maxFDs is the limit of open descriptors in the settings of the entries.
		maxFDs         int
		weightLoadTime time.Duration
		eventInterval  time.Duration
		// repeatAnswers lets the plain targets repeat answers; see deployment.repeats.
		repeatAnswers bool
	}

	// deployment is a small deployment.
	deployment struct {
		t            *testing.T
		store        *standin.Store
		engines      []*standin.Engine
		plainTargets []*standin.Engine
		entries      []*entry
		config       map[string]any
		storeAddr    string
		// engineLinks and plainLinks are the proxies in front of the targets, if options.links or
		// options.crashDowntime is set.
		engineLinks, plainLinks []*tcpProxy
		// repeats are the listeners of the plain targets, if options.repeatAnswers is set.
		repeats []*standin.RepeatListener

		valueBytes   int
		links        bool
		storeProxies bool
		policy       map[string]any
		bounds       map[string]any
		usageWindowS float64
		autoscale    bool
		control      *standin.ControlPlane
		controlAddr  string // the address of control
		cores        []float64
		linkMbps     float64
		hubThreshold int
		memoryMB     int
		maxFDs       int
	}

	// entry is one entry instance, which runs as a process.
	entry struct {
		t             *testing.T
		id            string
		callerAddr    string
		readyAddr     string
		directoryAddr string // the address of the directory
		metricsAddr   string
		peerAddr      string
		settingsPath  string
		logPath       string
		// storeLink is the proxy in front of the store, if options.links is set.
		storeLink *tcpProxy
		// storeProxy can reject calls to the store. It exists if options.storeProxies is set.
		storeProxy *standin.StoreProxy
		cmd        *exec.Cmd
		done       chan struct{}
	}

	item = standin.Item

	batch struct {
		id           string
		key          string // the API key of the submitter, if any
		Step         int    `json:"step"`
		Model        string `json:"model"`
		MinVersion   int    `json:"min-version"`
		TargetGroups int    `json:"target-groups"`
		Items        []item `json:"items"`
	}

	result = standin.Result

	page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next-token"`
		Results []result `json:"results"`
	}
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l := listen(t)
	serveOn(t, l, h)
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serveOn(t *testing.T, l net.Listener, h http.Handler) {
	t.Helper()
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
}

// nextPort counts the ports that were given out. They lie below the range from which the operating
// system assigns ports: otherwise a port that was free a moment ago could belong to another
// connection by the time an entry listens on it.
var nextPort atomic.Int64

const firstPort = 21000

// ownHost returns a loopback address that no other test process uses while this one runs. To
// reserve the address, it listens there on a port that is not given out. Without it, entries of two
// test processes could listen on each other's ports, and a stopped instance could be mistaken for
// another one.
var ownHost = sync.OnceValue(func() string {
	for n := 1; n < 255; n++ {
		host := fmt.Sprintf("127.0.1.%d", n)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort))
		if err == nil {
			ownHostListener = l
			return host
		}
	}
	return "127.0.0.1"
})

// ownHostListener reserves ownHost. The garbage collector would close a listener without
// references.
var ownHostListener net.Listener

func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", ownHost(), firstPort+nextPort.Add(1))
		if canListen(addr) {
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// canListen reports whether a listener can be opened on an address. It holds ForkLock because a
// process that another test forks meanwhile would keep the port open until its exec.
func canListen(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// startDeployment starts stand-ins and entries, and waits until all are ready.
func startDeployment(t *testing.T, o options) *deployment {
	t.Helper()
	if len(o.models) == 0 {
		o.models = []string{"m0"}
	}
	if o.weightLoadTime == 0 {
		o.weightLoadTime = 100 * time.Millisecond
	}
	if o.eventInterval == 0 {
		o.eventInterval = 10 * time.Millisecond
	}
	if o.valueBytes == 0 {
		o.valueBytes = 1 << 20
	}
	s := &deployment{t: t, store: standin.NewStore(), valueBytes: o.valueBytes, links: o.links, storeProxies: o.storeProxies, policy: o.policy, bounds: o.bounds, usageWindowS: o.usageWindowS, autoscale: o.autoscale, cores: o.cores, linkMbps: o.linkMbps, hubThreshold: o.hubThreshold, memoryMB: cmp.Or(o.memoryMB, 200), maxFDs: o.maxFDs}
	s.storeAddr = serve(t, s.store)
	if o.usageWindowS > 0 || o.autoscale {
		s.control = standin.NewControlPlane(3 * time.Second)
		s.controlAddr = serve(t, s.control)
	}
	for i := range o.engines {
		s.engines = append(s.engines, s.newTarget(fmt.Sprintf("i-engine-%d", i), engineService, o.models, o))
	}
	for i := range o.plainTargets {
		s.plainTargets = append(s.plainTargets, s.newTarget(fmt.Sprintf("i-plain-%d", i), plainService, nil, o))
	}
	if o.autoscale {
		s.control.OnOrder(s.orderHandler(o))
	}
	s.config = standin.DeploymentConfig(o.models, slots)
	if o.config != nil {
		o.config(s.config)
	}
	s.store.Put("config", "main", s.config)
	for i := range o.entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, e := range s.entries {
		e.awaitReady()
	}
	s.awaitCoordinator("")
	return s
}

func (s *deployment) newTarget(id, svc string, models []string, o options) *standin.Engine {
	var e *standin.Engine
	l := listen(s.t)
	addr := l.Addr().String()
	if o.repeatAnswers && svc == plainService {
		repeat := &standin.RepeatListener{Listener: l}
		s.repeats = append(s.repeats, repeat)
		l = repeat
	}
	serveOn(s.t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) }))
	var setListening func(bool)
	if o.links || o.crashDowntime > 0 {
		link := newTCPProxy(s.t, addr)
		addr = link.addr()
		if o.crashDowntime > 0 {
			setListening = link.setListening
		}
		if svc == plainService {
			s.plainLinks = append(s.plainLinks, link)
		} else {
			s.engineLinks = append(s.engineLinks, link)
		}
	}
	e = standin.NewEngine(standin.EngineSettings{
		ID: id, Service: svc, Domain: "domain-a", Addr: addr, Slots: slots, Models: models, EventInterval: o.eventInterval, WeightLoadTime: o.weightLoadTime,
		SetListening: setListening, RestartDelay: o.crashDowntime, KeepID: o.keepIDs,
	}, s.store)
	return e
}

func (s *deployment) newEntry(i int) *entry {
	e := &entry{t: s.t, id: fmt.Sprintf("entry-%d", i), callerAddr: freeAddr(s.t), readyAddr: freeAddr(s.t), directoryAddr: freeAddr(s.t), metricsAddr: freeAddr(s.t), peerAddr: freeAddr(s.t)}
	store := s.storeAddr
	if s.links {
		e.storeLink = newTCPProxy(s.t, s.storeAddr)
		store = e.storeLink.addr()
	}
	if s.storeProxies {
		e.storeProxy = standin.NewStoreProxy(s.store)
		store = serve(s.t, e.storeProxy)
	}
	dir := s.t.TempDir()
	e.settingsPath, e.logPath = filepath.Join(dir, "settings.json"), filepath.Join(dir, "log")
	machine := map[string]any{}
	if i < len(s.cores) {
		machine["cpu_share"] = s.cores[i]
	}
	if s.linkMbps > 0 {
		machine["link_mbps"] = s.linkMbps
	}
	if s.maxFDs > 0 {
		machine["max_fds"] = s.maxFDs
	}
	bounds := map[string]any{"grace_s": 8, "keep_results_s": 120, "lease_ms": 3000}
	maps.Copy(bounds, s.bounds)
	settings := map[string]any{
		"machine": machine, "entry": e.id, "failure_domain": fmt.Sprintf("domain-%c", 'a'+i%2),
		"listen": map[string]any{"callers": e.callerAddr, "ready": e.readyAddr, "directory": e.directoryAddr, "metrics": e.metricsAddr, "peers": e.peerAddr},
		"store":  map[string]any{"addr": store, "value_bytes": s.valueBytes},
		"bounds": bounds,
		"memory": map[string]any{"limit_mb": s.memoryMB},
		"policy": s.policy,
	}
	if s.hubThreshold > 0 {
		settings["members"] = map[string]any{"hubs_from": s.hubThreshold}
	}
	if s.autoscale {
		settings["control"] = map[string]any{"addr": s.controlAddr, "duties": []string{"autoscale"}}
	}
	if s.usageWindowS > 0 {
		settings["control"] = map[string]any{"addr": s.controlAddr}
		settings["usage"] = map[string]any{"window_s": s.usageWindowS, "late_s": 10}
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(e.settingsPath, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return e
}

// start starts the process. The end of the test kills it and, if the test failed, prints its log.
func (e *entry) start() {
	e.t.Helper()
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.t.Fatal(err)
	}
	defer log.Close()
	e.cmd = exec.Command(binary, "entry", "--settings", e.settingsPath)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		e.t.Fatal(err)
	}
	cmd, done := e.cmd, make(chan struct{})
	e.done = done
	go func() {
		_ = cmd.Wait() // killed processes return an error
		close(done)
	}()
	e.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		raw, _ := os.ReadFile(e.logPath)
		if i := bytes.Index(raw, []byte("WARNING: DATA RACE")); i >= 0 {
			e.t.Errorf("data race in %s:\n%s", e.id, raw[i:min(i+4000, len(raw))])
		}
		if e.t.Failed() {
			e.t.Logf("log of %s:\n%s", e.id, tail(raw, 400000))
		}
	})
}

// run runs another command of the program with the entry's settings.
func (e *entry) run(command string, args ...string) {
	e.t.Helper()
	cmd := exec.Command(binary, append([]string{command, "--settings", e.settingsPath}, args...)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		e.t.Errorf("%s: %v\n%s", command, err, out)
	}
}

// logField returns a field of the entry's first log line with the given message.
func (e *entry) logField(msg, field string) string {
	e.t.Helper()
	raw, err := os.ReadFile(e.logPath)
	if err != nil {
		e.t.Fatal(err)
	}
	for line := range bytes.Lines(raw) {
		fields := map[string]any{}
		if json.Unmarshal(line, &fields) == nil && fields["msg"] == msg {
			return fmt.Sprint(fields[field])
		}
	}
	return ""
}

func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

func (e *entry) signal(sig syscall.Signal) {
	e.t.Helper()
	if err := e.cmd.Process.Signal(sig); err != nil {
		e.t.Fatal(err)
	}
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

func (e *entry) awaitReady() {
	e.t.Helper()
	eventually(e.t, e.id+" ready", func() bool {
		resp, err := http.Get("http://" + e.readyAddr + "/currantford/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// coordinator returns the entry that holds the lease in the store.
func (s *deployment) coordinator() *entry {
	var h struct {
		Entry string `json:"entry"`
	}
	if raw := s.store.Spec("currantford-leases", "coordinator"); raw != nil {
		_ = json.Unmarshal(raw, &h)
	}
	for _, e := range s.entries {
		if e.id == h.Entry {
			return e
		}
	}
	return nil
}

// awaitCoordinator waits until an entry other than the excluded one holds the lease.
func (s *deployment) awaitCoordinator(exclude string) *entry {
	s.t.Helper()
	var c *entry
	eventually(s.t, "new coordinator", func() bool {
		c = s.coordinator()
		return c != nil && c.id != exclude
	})
	return c
}

// nonCoordinator returns an entry that is not the coordinator.
func (s *deployment) nonCoordinator() *entry {
	c := s.coordinator()
	for _, e := range s.entries {
		if e != c {
			return e
		}
	}
	return s.entries[0]
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in %s", what, waitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newStep returns a batch of groups with size items each, and with the given number of events per
// item.
func newStep(id, model string, groups, size, events int) batch {
	b := batch{id: id, Step: 1, Model: model, MinVersion: 1, TargetGroups: groups}
	for g := range groups {
		for i := range size {
			b.Items = append(b.Items, item{
				ID: fmt.Sprintf("%s-%d-%d", id, g, i), Path: batchPrefix + "generate", Group: fmt.Sprintf("%s-g%d", id, g),
				Headers: map[string]string{"Currantford-Model": model, "Currantford-Tokens-Used": fmt.Sprintf("100,%d", events*58)},
				Body:    []byte("prompt"), Tokens: 100 + events*58,
			})
		}
	}
	return b
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func (e *entry) do(method, path, id string, body []byte, header ...string) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callerAddr+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Currantford-Request-Id", id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, raw}, err
}

// submit submits a batch once.
func (e *entry) submit(b batch) reply {
	e.t.Helper()
	raw, err := json.Marshal(b)
	if err != nil {
		e.t.Fatal(err)
	}
	r, err := e.do(http.MethodPost, batchPrefix+b.id, b.id, raw, keyHeader(b.key)...)
	if err != nil {
		e.t.Logf("submit: %v", err)
		return reply{}
	}
	return r
}

// submitUntilAccepted submits a batch to the entries in turn until it is accepted, as a trainer
// does.
func (s *deployment) submitUntilAccepted(b batch) {
	s.t.Helper()
	n := 0
	eventually(s.t, "acceptance", func() bool {
		n++
		return s.entries[n%len(s.entries)].submit(b).status == http.StatusAccepted
	})
}

// keyHeader returns the header with a caller's API key, or nil if the key is empty.
func keyHeader(key string) []string {
	if key == "" {
		return nil
	}
	return []string{"X-Api-Key", key}
}

func (e *entry) readResults(id string, after int, wait time.Duration, header ...string) (page, reply, error) {
	r, err := e.do(http.MethodGet, "/currantford/lots/"+id+"?after="+strconv.Itoa(after), "", nil,
		append(header, "Currantford-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))...)
	var p page
	if err == nil && r.status == http.StatusOK {
		err = json.Unmarshal(r.body, &p)
	}
	return p, r, err
}
