package cfnode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/io/cfgate"
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// readHeaderTimeout bounds the time to read a request's header if there is no cfgate.Gate;
	// callers are told to send it within three seconds.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes applies without a cfgate.Gate. It is larger than any configured limit; targets
	// accept less.
	maxHeaderBytes = 64 << 10
	// maxParsedHeaderBytes applies beside a cfgate.Gate, which has limited the header before.
	maxParsedHeaderBytes = 16 << 20
	// reapInterval is how often connections are checked for the idle timeout.
	reapInterval = 1 * time.Second
	// idleMargin is added to the configured idle timeout, as a caller may send a request on a kept
	// connection until that timeout.
	idleMargin cf.Millis = 2000
	// defaultIdleTimeout applies until a configuration is known.
	defaultIdleTimeout cf.Millis = 60000
	// sendBuffer bounds the bytes of an answer that the kernel buffers while the caller does not
	// read, and so the bytes that cfhold does not see: 0.2 MB per connection, and 3.8 MB without
	// this bound. At the longest round trip of 16 ms it allows 16 MB per second.
	sendBuffer = 256 << 10
	// finalAnswerTime is how long before the end of a shutdown the requests in progress are
	// cancelled, so that they can still be answered.
	finalAnswerTime = 200 * time.Millisecond
	// drainInterval is how often a shutdown checks whether all connections have ended.
	drainInterval = 10 * time.Millisecond
)

type (
	// Server is an HTTP server whose idle timeout may change while it runs, and which answers every
	// request that it has read, even during a shutdown.
	Server struct {
		http    *http.Server
		ln      net.Listener
		idle    func() cf.Millis
		rooms   *cfroom.Rooms // nil if slow readers are not detected
		closing atomic.Bool   // set once answers end their connections
		// cancelRequests cancels the contexts of all requests.
		cancelRequests context.CancelCauseFunc

		mu    sync.Mutex
		conns map[*conn]cf.Millis // when each became idle; zero while busy
		stop  chan struct{}
		wg    cflog.Group
	}

	// conn is a caller's connection that is only closed as idle while no byte of a request has been
	// read. net/http treats a connection as idle until it has read a request's whole header, and
	// would close it under a request that is then forwarded and never answered.
	conn struct {
		net.Conn
		mu      sync.Mutex
		busy    bool // bytes of a request have been read
		closing bool // set once nothing more is read: the connection was idle for too long, or was cut
		answers uint64
		// writes counts the starts and the ends of writes; it is odd while a write is in progress.
		writes atomic.Uint64
		reader *cfroom.Conn
		// intake reads the requests; it is nil if they are not limited.
		intake *cfgate.Conn
		log    *zap.Logger
	}

	// listener wraps the connections that it accepts in conn.
	listener struct {
		net.Listener
		gate     *cfgate.Gate
		address  string
		reserved bool
		log      *zap.Logger
	}

	// serverOptions configure a Server.
	serverOptions struct {
		// address names the server in logs and metrics.
		address string
		// idle returns the idle timeout, or zero if it is not known.
		idle func() cf.Millis
		// rooms detects slow readers, if it is enabled.
		rooms *cfroom.Rooms
		// gate limits requests and connections, if it is not nil.
		gate *cfgate.Gate
		// reserved lets connections find room beside busy ones of callers.
		reserved bool
		log      *zap.Logger
	}
)

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		intake, ok := l.gate.Open(c, l.address, l.reserved)
		if !ok {
			_ = c.Close()
			continue
		}
		out := &conn{Conn: c, intake: intake, log: l.log}
		out.reader = &cfroom.Conn{Delivery: out}
		return out, nil
	}
}

// Write implements net.Conn. A write that blocks because the caller does not read is detected by
// Rooms.Check, at no cost to other writes.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		c.log.Info("answer_not_written", zap.String("request_id", c.reader.RequestID()), zap.Bool("closing", closing), cflog.Error(err))
	}
	return n, err
}

// Writing implements cfroom.Delivery.
func (c *conn) Writing() (uint64, bool) {
	n := c.writes.Load()
	return n, n%2 == 1
}

// Acknowledged implements cfroom.Delivery.
func (c *conn) Acknowledged() int64 {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var acked int64
	_ = raw.Control(func(fd uintptr) { // fails if the connection has been closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = int64(info.Bytes_acked)
		}
	})
	return acked
}

// AnswerNumber implements cfroom.Delivery.
func (c *conn) AnswerNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// Cut implements cfroom.Delivery. It resets the connection, so that an answer without a length does
// not look complete and the kernel frees its buffers at once. A connection whose answer ends in the
// meantime takes no further request, as the write deadline stays set.
func (c *conn) Cut(answer uint64) bool {
	c.mu.Lock()
	if c.answers != answer {
		c.mu.Unlock()
		return false
	}
	c.closing = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection has been closed
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	return true
}

// Read implements net.Conn. Bytes that arrive after the connection was closed as idle are dropped,
// so that a request that crosses the close is not forwarded.
func (c *conn) Read(b []byte) (int, error) {
	read := c.Conn.Read
	if c.intake != nil {
		read = c.intake.Read
	}
	n, err := read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.closing && !c.busy {
			c.log.Info("request_crossed_close", zap.Int("bytes", n))
			return 0, io.EOF
		}
		c.busy = true
	}
	return n, err
}

// closeIdle closes the connection if no byte of a request has been read; otherwise the connection
// ends after its answer.
func (c *conn) closeIdle() {
	reading := c.intake.Reading()
	c.mu.Lock()
	// Once it was closed as idle, a request that is still read must be dropped.
	c.busy = c.busy || reading && !c.closing
	c.closing = true
	busy := c.busy
	c.mu.Unlock()
	if !busy {
		_ = c.Close()
	}
}

// endAnswer records that a request was answered and the next one may follow.
func (c *conn) endAnswer() {
	c.mu.Lock()
	c.busy = false
	c.answers++
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
}

// listen listens on addr and serves h. It logs each answer that could not be written.
func listen(addr string, h http.Handler, o serverOptions) (*Server, error) {
	var config net.ListenConfig
	if o.rooms.Enabled() {
		config.Control = setSendBuffer
	}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	ctx, end := context.WithCancelCause(context.Background())
	s := &Server{ln: ln, idle: o.idle, rooms: o.rooms, cancelRequests: end, conns: map[*conn]cf.Millis{}, stop: make(chan struct{})}
	s.http = &http.Server{
		Handler: cflog.PanicHandler(s.prepare(h)), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.track, ConnContext: connContext,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if o.gate != nil {
		s.http.MaxHeaderBytes = maxParsedHeaderBytes
		s.http.ReadHeaderTimeout = 0               // the gate has its own
		s.http.DisableGeneralOptionsHandler = true // each request must reach prepare
	}
	if o.rooms.Enabled() {
		s.wg.Go(s.watchReaders)
	}
	s.wg.Go(func() { _ = s.http.Serve(listener{ln, o.gate, o.address, o.reserved, o.log}) }) // ends with the listener
	s.wg.Go(s.closeExpired)
	return s, nil
}

// setSendBuffer sets the send buffer of a listener; its connections inherit the size.
func setSendBuffer(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer) })
	return errors.Join(err, optErr)
}

// connContext adds the accounts of a connection to the context of its requests.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	c := nc.(*conn)
	return cfgate.WithConn(cfroom.WithConn(ctx, c.reader), c.intake)
}

// prepare tells the gate how the body of a request is framed, and makes answers end their
// connections once keep-alives are disabled.
func (s *Server) prepare(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := cfgate.FromContext(r.Context()).Serve(r.ContentLength); err != nil {
			cfgate.WriteRefusal(w, err)
			return
		}
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) track(nc net.Conn, st http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	switch st {
	case http.StateNew, http.StateIdle:
		s.conns[c] = cf.Uptime()
	case http.StateActive:
		s.conns[c] = 0
		c.reader.RequestStarted()
	default: // closed or hijacked
		delete(s.conns, c)
		c.reader.Closed()
		c.intake.Close()
	}
	s.mu.Unlock()
	if st == http.StateIdle {
		c.intake.End()
		c.endAnswer()
	}
}

// closeExpired closes connections that have been idle for longer than the timeout.
func (s *Server) closeExpired() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		limit := s.idle()
		if limit <= 0 {
			limit = defaultIdleTimeout
		}
		now := cf.Uptime()
		s.closeIdleWhere(func(since cf.Millis) bool { return since > 0 && now-since > limit+idleMargin })
	}
}

// watchReaders detects callers that read slowly.
func (s *Server) watchReaders() {
	var busy []*cfroom.Conn
	var last cf.Millis
	timer := time.NewTimer(cfhold.CheckInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.rooms.Pressure():
			if remaining := last + cfhold.PressureCheckInterval - cf.Uptime(); remaining > 0 {
				timer.Reset(remaining.Duration())
				continue
			}
		case <-timer.C:
		}
		busy = busy[:0]
		s.mu.Lock()
		for c, since := range s.conns {
			if since == 0 {
				busy = append(busy, c.reader)
			}
		}
		s.mu.Unlock()
		timer.Reset(s.rooms.Check(busy).Duration())
		last = cf.Uptime()
	}
}

// closeIdleWhere closes the idle connections for which choose returns true.
func (s *Server) closeIdleWhere(choose func(since cf.Millis) bool) {
	s.mu.Lock()
	var chosen []*conn
	for c, since := range s.conns {
		if choose(since) {
			chosen = append(chosen, c)
		}
	}
	s.mu.Unlock()
	for _, c := range chosen {
		c.closeIdle()
	}
}

// disableKeepAlives makes every further answer end its connection.
func (s *Server) disableKeepAlives() { s.closing.Store(true) }

// Shutdown stops listening, closes idle connections, and waits until every request that has been
// read is answered. Shortly before ctx ends, the requests in progress are cancelled with
// ErrStopping, so that their handlers can answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.disableKeepAlives()
	_ = s.ln.Close()
	drainCtx := ctx
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		drainCtx, cancel = context.WithDeadline(ctx, end.Add(-min(finalAnswerTime, time.Until(end)/2)))
		defer cancel()
	}
	var err error
	if !s.drain(drainCtx) {
		err = eris.Errorf("%d connections were still in use", s.openConns())
		s.cancelRequests(cf.ErrStopping)
		s.drain(ctx)
	}
	_ = s.http.Close()
	s.cancelRequests(nil)
	close(s.stop)
	s.wg.Wait()
	return err
}

// drain closes idle connections until none is left. It returns false if ctx ends first.
func (s *Server) drain(ctx context.Context) bool {
	for {
		// This includes connections accepted at the last moment.
		s.closeIdleWhere(func(cf.Millis) bool { return true })
		if s.openConns() == 0 {
			return true
		}
		if !cf.Sleep(ctx, drainInterval) {
			return false
		}
	}
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
