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
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// leaveTime is how long a stopping instance still serves callers: three
	// times as long as they are told to keep an address list, and the time
	// in which the other instances hear of it.
	leaveTime = 5200 * time.Millisecond
	// keepAliveTime is when kept connections begin to be closed, each after
	// an answer.
	keepAliveTime = 2500 * time.Millisecond
	// graceReserve is kept of the grace for the end itself.
	graceReserve = 600 * time.Millisecond
	// stopHandoverTimeout bounds the handing over of the coordinator's duty.
	stopHandoverTimeout = 800 * time.Millisecond
	// gcPercent trades processor time for memory: a process holds a few
	// megabytes and is billed for its peak.
	gcPercent = 50
	// memoryLimitPercent is the percentage of the process's limit from which on the
	// collector works harder; beyond the limit the process is killed.
	memoryLimitPercent = 80
)

// Handlers are what the adapter serves for a node.
type Handlers struct {
	Callers   http.Handler
	Ready     http.Handler
	Directory http.Handler
}

// Process is a running process: its servers around a node.
type Process struct {
	settings     Settings
	node         *Node
	log          *zap.Logger
	callers      *Server
	otherServers []*Server
}

// StartProcess binds the settings' addresses and starts the node.
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
	listeners := []struct {
		addr    string
		handler http.Handler
	}{
		{s.Listen.Peers, peers},
		{s.Listen.Ready, h.Ready},
		{s.Listen.Directory, h.Directory},
		{s.Listen.Metrics, metricsHandler(reg, s.Listen.Profiles)},
	}
	for _, l := range listeners {
		if l.addr == "" {
			continue
		}
		srv, err := Serve(l.addr, l.handler, unlimited)
		if err != nil {
			return nil, err
		}
		p.otherServers = append(p.otherServers, srv)
	}
	if s.Listen.Callers != "" {
		srv, err := listen(s.Listen.Callers, h.Callers, idle, node.ingress.Rooms, log)
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

// newRooms returns what bounds the answers that a process holds.
func newRooms(s Settings, reg prometheus.Registerer, log *zap.Logger) *cfroom.Rooms {
	return cfroom.New(cfroom.Options{
		MemoryBytes: s.Memory.LimitMB << 20, Policy: cfhold.Policy{Disabled: s.Policy.NoHoldBounds}, Metrics: cfroom.NewMetrics(reg), Log: log,
	})
}

// metricsHandler serves the metrics at any path, and profiles at their usual one if they are
// asked for: they tell what the process holds in memory.
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

// Signals are those that a process acts on. They wait apart, as a signal for which a channel
// has no room is dropped: reloads before a process serves would else cost it its stop.
type Signals struct{ stop, reload chan os.Signal }

// CatchSignals is called first of all: until then each of the signals ends the process, SIGHUP
// too.
func CatchSignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// wait calls reload as often as it is asked for, until a signal asks the process to stop.
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

// Run serves until a signal asks it to stop, then stops as planned.
func (p *Process) Run(signals Signals, reload func() error) {
	signals.wait(reload, p.log)
	p.stop()
}

// stop takes the instance out of use without cutting off a request.
func (p *Process) stop() {
	began := time.Now()
	grace := time.Duration(p.settings.Bounds.GraceS*float64(time.Second)) - graceReserve
	p.node.Leave()
	leave := min(leaveTime, grace*3/4)
	if p.callers != nil {
		time.Sleep(max(0, min(keepAliveTime, grace/2)-time.Since(began)))
		p.callers.disableKeepAlives()
		time.Sleep(max(0, leave-stopHandoverTimeout-time.Since(began)))
	}
	// The duty is kept while the instance is there anyway: each change of it
	// holds the weight orders up for seconds, and in a rolling restart those
	// that could take it now are stopped next.
	ctx, cancel := context.WithTimeout(context.Background(), stopHandoverTimeout)
	p.node.HandOver(ctx)
	cancel()
	if p.callers != nil {
		time.Sleep(max(0, leave-time.Since(began)))
		ctx, cancel = context.WithTimeout(context.Background(), max(0, grace-time.Since(began)))
		if err := p.callers.Shutdown(ctx); err != nil {
			p.log.Warn("requests_cut_off", cflog.Error(err))
		}
		cancel()
	}
	ctx, cancel = context.WithTimeout(context.Background(), min(flushTimeout, max(0, grace-time.Since(began))))
	p.node.usage.flush(ctx)
	cancel()
	_ = p.node.Close()
	ctx, cancel = context.WithTimeout(context.Background(), graceReserve/3)
	defer cancel()
	for _, s := range p.otherServers {
		_ = s.Shutdown(ctx) // peers and scrapers may still be connected
	}
	p.log.Info("stopped", zap.Int64("took_ms", time.Since(began).Milliseconds()))
}

// WaitForStop returns when a signal asks the process to stop.
func WaitForStop(signals Signals, log *zap.Logger) {
	signals.wait(func() error { return nil }, log)
}
