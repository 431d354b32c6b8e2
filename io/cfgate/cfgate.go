// Package cfgate reads the heads of requests from connections before net/http parses them, and
// applies the limits of cfintake: it refuses heads over the size limit, requests for which there is
// no memory, and connections beyond their number, and it closes the connections that cfintake
// chooses.
//
// net/http parses a head while it reads it, which takes up to sixty times its size, and calls a
// handler only afterwards. A Conn therefore keeps the bytes of a head until it is complete and its
// cost is reserved. It follows the framing of the bodies, so that it knows where the next head
// begins.
//
// Usage:
//
//	gate := cfgate.New(cfgate.Options{Bounds: bounds, HeaderLimit: limit, Metrics: cfgate.NewMetrics(reg), Log: log})
//	conn, ok := gate.Open(netConn, "callers", false) // net/http reads from it
//	err := conn.Serve(r.ContentLength)               // when a handler is called
//	request := cfgate.FromContext(ctx)               // Reserve and Release memory for its body
//	conn.End()                                       // the request was answered
//	conn.Close()                                     // the connection has ended
package cfgate

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfintake"
)

const (
	// DefaultHeadTimeout is how long the head of a request may take. Callers are told to send it
	// within three seconds.
	DefaultHeadTimeout cf.Millis = 10000
	// DefaultBodyTimeout is how long the body of a request may take if the request has no deadline.
	DefaultBodyTimeout cf.Millis = 60000
	// defaultHeaderLimit applies until a configuration is known.
	defaultHeaderLimit = 64 << 10
	// refusalRetry is the mean retry delay for a caller if there is no memory for its request.
	// Requests are held for a fraction of a second.
	refusalRetry cf.Millis = 300
	// closingDivisor divides the limit of connections: that many more, and at least minClosing, may
	// be open while their callers are told that they were evicted.
	closingDivisor = 8
	minClosing     = 4
	// maxLogLinesPerSecond limits the log lines. All refusals are counted in the metrics.
	maxLogLinesPerSecond = 20
)

// Reasons for refusing a request or closing a connection, as named in logs and metrics.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
	reasonEvicted     = "evicted"
	reasonHeadSize    = "head_size"
	reasonHeadLate    = "head_late"
	reasonBodyLate    = "body_late"
	reasonEmptyLines  = "empty_lines"
)

type (
	// Options configure a Gate.
	Options struct {
		Bounds cfintake.Bounds
		// HeaderLimit returns the largest size of a request's headers in bytes, zero if it is not
		// known.
		HeaderLimit func() int64
		// HeadTimeout is how long a head may take, DefaultHeadTimeout if it is zero.
		HeadTimeout cf.Millis
		// BodyTimeout is how long a body may take if no other deadline is set, DefaultBodyTimeout
		// if it is zero.
		BodyTimeout cf.Millis
		Metrics     *Metrics
		Log         *zap.Logger
	}

	// Metrics are the metrics of a Gate.
	Metrics struct {
		Bytes       prometheus.Gauge
		Connections prometheus.Gauge
		Refused     *prometheus.CounterVec
	}

	// Gate accounts for all connections of a process. It is safe for concurrent use; a nil Gate has
	// no limit.
	Gate struct {
		options Options

		mu     sync.Mutex
		ledger *cfintake.Ledger
		conns  map[*cfintake.Connection]*Conn
		// closing holds the evicted connections that are not closed yet, oldest first. They are not
		// in the ledger any more.
		closing []*Conn
		// logLines is the number of log lines of each reason in the second that began at
		// logWindowStart.
		logLines       map[string]int
		logWindowStart cf.Millis
	}

	connKey struct{}
)

// NewMetrics registers the metrics of a Gate.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_intake_bytes", Help: "Bytes of memory reserved for requests and for the connections on which they arrive."}),
		Connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_intake_connections", Help: "Open connections on which requests arrive."}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_intake_refused_total", Help: "Requests refused and connections closed before a whole request was read, by address and reason."}, []string{"address", "reason"}),
	}
	reg.MustRegister(m.Bytes, m.Connections, m.Refused)
	return m
}

// New returns a Gate without connections.
func New(o Options) *Gate {
	if o.HeadTimeout <= 0 {
		o.HeadTimeout = DefaultHeadTimeout
	}
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	return &Gate{options: o, ledger: cfintake.New(o.Bounds), conns: map[*cfintake.Connection]*Conn{}, logLines: map[string]int{}}
}

// Open adds an accepted connection. It returns false if there is no room for it; the caller then
// closes it. address names the listener in logs and metrics. Connections that are reserved find room
// while requests are served on all others.
func (g *Gate) Open(nc net.Conn, address string, reserved bool) (*Conn, bool) {
	if g == nil {
		return nil, true
	}
	c := &Conn{gate: g, raw: nc, address: address, framing: framingHead}
	g.mu.Lock()
	account, evicted, ok := g.ledger.Open(reserved, cf.Uptime())
	if ok {
		c.account = account
		g.conns[account] = c
	}
	g.evict(evicted)
	g.mu.Unlock()
	if !ok {
		g.recordRefusal(c, reasonConnections)
		return nil, false
	}
	return c, true
}

// WithConn adds a connection to the context of its requests.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, nil if it has none. The methods of a nil Conn
// have no limit.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Used returns the memory that is reserved, in bytes, and the number of connections.
func (g *Gate) Used() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used()
}

// evict closes connections that were chosen. g.mu must be held.
func (g *Gate) evict(accounts []*cfintake.Connection) {
	for _, a := range accounts {
		c := g.conns[a]
		delete(g.conns, a)
		c.evicted.Store(true)
		// It wakes the goroutine that reads, which answers and closes.
		_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // fails if the connection has been closed
		g.closing = append(g.closing, c)
	}
	if limit := g.options.Bounds.Connections; limit > 0 {
		for len(g.closing) > max(minClosing, limit/closingDivisor) {
			_ = g.closing[0].raw.Close() // the caller does not read its answer, or still sends
			g.closing = g.closing[1:]
		}
	}
	g.updateMetrics()
}

// updateMetrics sets the gauges. g.mu must be held.
func (g *Gate) updateMetrics() {
	bytes, connections := g.ledger.Used()
	g.options.Metrics.Bytes.Set(float64(bytes))
	g.options.Metrics.Connections.Set(float64(connections))
}

// headerLimit returns the limit of a request's headers in bytes.
func (g *Gate) headerLimit() int64 {
	if n := g.options.HeaderLimit(); n > 0 {
		return n
	}
	return defaultHeaderLimit
}

// recordRefusal counts and logs that a request was refused or a connection closed.
func (g *Gate) recordRefusal(c *Conn, reason string) {
	g.options.Metrics.Refused.WithLabelValues(c.address, reason).Inc()
	g.mu.Lock()
	now := cf.Uptime()
	if now-g.logWindowStart >= 1000 {
		clear(g.logLines)
		g.logWindowStart = now
	}
	g.logLines[reason]++
	logged := g.logLines[reason] <= maxLogLinesPerSecond
	bytes, connections := g.ledger.Used()
	g.mu.Unlock()
	if logged {
		g.options.Log.Warn("request_not_read", zap.String("address", c.address), zap.String("caller", c.raw.RemoteAddr().String()), zap.String("reason", reason),
			zap.Int64("cost_bytes", c.cost), zap.Int64("held_in_all", bytes), zap.Int("connections", connections))
	}
}
