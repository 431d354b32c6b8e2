package cfnode

import (
	"context"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/io/cfgate"
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// leaveTime is how long a stopping instance still serves callers: three times as long as
	// callers are told to keep an address list, plus the time in which the other instances learn of
	// the stop.
	leaveTime = 5200 * time.Millisecond
	// keepAliveTime is how long after the start of a stop connections are kept alive; from then on
	// each is closed after its next answer.
	keepAliveTime = 2500 * time.Millisecond
	// graceReserve is the part of the grace period that is reserved for the final shutdown.
	graceReserve = 600 * time.Millisecond
	// stopHandoverTimeout bounds the handover of the coordinator's duty.
	stopHandoverTimeout = 800 * time.Millisecond
	// gcPercent trades processor time for memory: a process uses a few megabytes and is billed for
	// its peak.
	gcPercent = 50
	// memoryLimitPercent is the percentage of the process's memory limit from which the garbage
	// collector works harder; a process that exceeds the limit is killed.
	memoryLimitPercent = 80
)

// Handlers holds the HTTP handlers that the adapter provides for a node.
type Handlers struct {
	Callers   http.Handler
	Ready     http.Handler
	Directory http.Handler
}

// Process is a running process: a node and its servers.
type Process struct {
	settings     Settings
	node         *Node
	log          *zap.Logger
	callers      *Server
	otherServers []*Server
}

// StartProcess listens on the settings' addresses and starts the node.
func StartProcess(s Settings, node *Node, h Handlers, reg *prometheus.Registry, log *zap.Logger) (*Process, error) {
	debug.SetGCPercent(gcPercent)
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(s.Memory.LimitMB << 20 * memoryLimitPercent / 100)
	}
	p := &Process{settings: s, node: node, log: log}
	idle := func() cf.Millis {
		if c := node.site.Config(); c != nil {
			return c.Limits.IdleTimeout
		}
		return 0
	}
	unlimited := func() cf.Millis { return 0 }
	peers := http.NewServeMux()
	peers.Handle("/v1/peer", node.PeerHandler())
	gate := newGate(s, node, reg, log)
	listeners := []struct {
		name    string
		addr    string
		handler http.Handler
	}{
		{"peers", s.Listen.Peers, peers},
		{"ready", s.Listen.Ready, h.Ready},
		{"directory", s.Listen.Directory, h.Directory},
		{"metrics", s.Listen.Metrics, metricsHandler(reg, s.Listen.Profiles)},
	}
	for _, l := range listeners {
		if l.addr == "" {
			continue
		}
		srv, err := listen(l.addr, l.handler, serverOptions{address: l.name, idle: unlimited, gate: gate, reserved: true, log: zap.NewNop()})
		if err != nil {
			return nil, err
		}
		p.otherServers = append(p.otherServers, srv)
	}
	if s.Listen.Callers != "" {
		srv, err := listen(s.Listen.Callers, h.Callers, serverOptions{address: "callers", idle: idle, rooms: node.ingress.Rooms, gate: gate, log: log})
		if err != nil {
			return nil, err
		}
		p.callers = srv
	}
	node.Start()
	log.Info("started", zap.String("failure_domain", string(s.Domain)), zap.String("callers", s.Listen.Callers),
		zap.String("store", s.Store.Addr))
	return p, nil
}

// newRooms returns the limiter of the memory that answers occupy.
func newRooms(s Settings, reg prometheus.Registerer, log *zap.Logger) *cfroom.Rooms {
	return cfroom.New(cfroom.Options{
		MemoryBytes: s.Memory.LimitMB << 20, Policy: cfhold.Policy{Disabled: s.Policy.NoHoldBounds}, Metrics: cfroom.NewMetrics(reg), Log: log,
	})
}

// newGate returns the limiter of what requests take until they are answered.
func newGate(s Settings, node *Node, reg prometheus.Registerer, log *zap.Logger) *cfgate.Gate {
	return cfgate.New(cfgate.Options{
		Bounds: s.intakeBounds(),
		HeaderLimit: func() int64 {
			if c := node.site.Config(); c != nil {
				return c.Limits.HeaderBytes
			}
			return 0
		},
		HeadTimeout: s.Intake.HeadTimeoutMs, BodyTimeout: s.Intake.BodyTimeoutMs, Metrics: cfgate.NewMetrics(reg), Log: log,
	})
}

// metricsHandler serves the metrics at any path and, if enabled, profiles at their usual paths.
// Profiles reveal what the process holds in memory.
func metricsHandler(reg *prometheus.Registry, profiles bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	if profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// Signals receives the signals that a process handles. Stop and reload signals have separate
// channels, as a signal is dropped if its channel is full: reloads before the process serves could
// otherwise drop the stop signal.
type Signals struct{ stop, reload chan os.Signal }

// CatchSignals starts to receive signals. It is called before anything else, as until then each of
// the signals ends the process, SIGHUP included.
func CatchSignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// wait calls reload for each reload signal and returns at a stop signal.
func (s Signals) wait(reload func() error, log *zap.Logger) {
	for {
		select {
		case sig := <-s.stop:
			log.Info("stopping", zap.String("signal", sig.String()))
			return
		case <-s.reload:
			err := reload()
			log.Info("reloaded", cflog.Error(err))
		}
	}
}

// Run serves until a stop signal and then performs a planned stop.
func (p *Process) Run(signals Signals, reload func() error) {
	signals.wait(reload, p.log)
	p.stop()
}

// stop shuts the instance down without cutting off requests.
func (p *Process) stop() {
	began := time.Now()
	grace := time.Duration(p.settings.Bounds.GraceS*float64(time.Second)) - graceReserve
	p.node.Leave(cf.Uptime() + cf.Millis((grace - finalAnswerTime).Milliseconds()))
	leave := min(leaveTime, grace*3/4)
	if p.callers != nil {
		time.Sleep(max(0, min(keepAliveTime, grace/2)-time.Since(began)))
		p.callers.disableKeepAlives()
		time.Sleep(max(0, leave-stopHandoverTimeout-time.Since(began)))
	}
	// The duty is kept as long as the instance serves: each handover delays weight orders by
	// seconds, and in a rolling restart the instances that could take the duty now are stopped
	// next.
	ctx, cancel := context.WithTimeout(context.Background(), stopHandoverTimeout)
	p.node.HandOver(ctx)
	cancel()
	if p.callers != nil {
		time.Sleep(max(0, leave-time.Since(began)))
		ctx, cancel = context.WithTimeout(context.Background(), max(0, grace-time.Since(began)))
		var runs cflog.Group
		runs.Go(func() { p.node.ShutdownRuns(ctx) })
		if err := p.callers.Shutdown(ctx); err != nil {
			p.log.Warn("requests_cut_off", cflog.Error(err))
		}
		runs.Wait()
		cancel()
	}
	ctx, cancel = context.WithTimeout(context.Background(), min(flushTimeout, max(0, grace-time.Since(began))))
	p.node.usage.flush(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), max(0, grace-time.Since(began)))
	p.node.ShutdownPeers(ctx)
	cancel()
	_ = p.node.Close()
	ctx, cancel = context.WithTimeout(context.Background(), graceReserve/3)
	defer cancel()
	for _, s := range p.otherServers {
		_ = s.Shutdown(ctx) // Other instances and scrapers may still be connected.
	}
	p.log.Info("stopped", zap.Int64("took_ms", time.Since(began).Milliseconds()))
}

// WaitForStop returns at a stop signal.
func WaitForStop(signals Signals, log *zap.Logger) {
	signals.wait(func() error { return nil }, log)
}
