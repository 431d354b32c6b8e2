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
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// headerTimeout bounds the reading of a request's head; callers are told
	// three seconds.
	headerTimeout = 10 * time.Second
	// maxHeader is over what any configuration allows; targets judge less.
	maxHeader = 64 << 10
	// reapEvery is how often idle connections are looked through.
	reapEvery = 1 * time.Second
	// reapSlack is added to the configuration's idle limit: a caller may
	// send a request on a kept connection until the limit.
	reapSlack cf.Millis = 2000
	// defaultIdle holds until a configuration is known.
	defaultIdle cf.Millis = 60000
	// sendBuffer bounds what the system takes of an answer that its caller does not read,
	// and with it what is out of cfhold's sight: 0.2 MB of a connection, 3.8 MB without it.
	// At the longest round trip of 16 ms it lets 16 MB a second pass.
	sendBuffer = 256 << 10
	// answerTime is how long before the end of a stop the requests that are still under way
	// are told, and answered.
	answerTime = 200 * time.Millisecond
	// stopTick is how often a stop looks whether the connections have ended.
	stopTick = 10 * time.Millisecond
)

type (
	// Server is an HTTP server whose idle limit may change while it runs, and
	// which answers every request that it has read, also while it stops.
	Server struct {
		http    *http.Server
		ln      net.Listener
		idle    func() cf.Millis
		rooms   *cfroom.Rooms // nil where slow readers are not looked at
		closing atomic.Bool   // answers end their connections
		// end cancels all requests.
		end context.CancelCauseFunc

		mu    sync.Mutex
		conns map[*conn]cf.Millis // since when idle, zero while busy
		stop  chan struct{}
		wg    cflog.Group
	}

	// conn is a caller's connection that can be closed only while no request
	// of it has been read. The library takes a connection for idle until it
	// has read a request's whole head, and would close it under a request
	// that is then passed on and never answered.
	conn struct {
		net.Conn
		mu      sync.Mutex
		busy    bool // bytes of a request have been read
		closing bool // nothing more is read: the connection is idle for too long, or cut
		answers uint64
		// writes counts the beginnings and the ends of writes: odd while one is under way.
		writes atomic.Uint64
		reader *cfroom.Conn
		log    *zap.Logger
	}

	// listener hands out connections as conn.
	listener struct {
		net.Listener
		log *zap.Logger
	}
)

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, log: l.log}
	out.reader = &cfroom.Conn{Delivery: out}
	return out, nil
}

// Write implements net.Conn. A write that waits for the caller to read is found by Look, at
// no cost to the others.
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
	_ = raw.Control(func(fd uintptr) { // it fails where the connection has been closed
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

// Cut implements cfroom.Delivery: the connection is reset, so that an answer without a
// length does not look complete, and the system gives its buffers back at once. One whose
// answer ends meanwhile takes no further request: the write deadline stays set.
func (c *conn) Cut(answer uint64) bool {
	c.mu.Lock()
	if c.answers != answer {
		c.mu.Unlock()
		return false
	}
	c.closing = true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails where the connection has been closed
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	return true
}

// Read implements net.Conn. Bytes that arrive after the connection was closed
// as idle are dropped: a request that crosses the close is not passed on.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
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

// closeIdle closes the connection if no request of it has been read; else it
// ends after its answer.
func (c *conn) closeIdle() {
	c.mu.Lock()
	c.closing = true
	busy := c.busy
	c.mu.Unlock()
	if !busy {
		_ = c.Close()
	}
}

// rest notes that a request was answered and the next one may come.
func (c *conn) rest() {
	c.mu.Lock()
	c.busy = false
	c.answers++
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
}

// Serve listens on addr. idle tells the longest that a connection may be
// idle, zero when it is not known.
func Serve(addr string, h http.Handler, idle func() cf.Millis) (*Server, error) {
	return listen(addr, h, idle, nil, zap.NewNop())
}

// listen is Serve; where rooms bound what is held it looks for callers that read slowly. log
// gets a line for each answer that could not be written.
func listen(addr string, h http.Handler, idle func() cf.Millis, rooms *cfroom.Rooms, log *zap.Logger) (*Server, error) {
	var config net.ListenConfig
	if rooms.Enabled() {
		config.Control = bufferAnswers
	}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	ctx, end := context.WithCancelCause(context.Background())
	s := &Server{ln: ln, idle: idle, rooms: rooms, end: end, conns: map[*conn]cf.Millis{}, stop: make(chan struct{})}
	s.http = &http.Server{
		Handler: cflog.PanicHandler(s.ending(h)), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: s.track,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if rooms.Enabled() {
		s.http.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
			return cfroom.WithConn(ctx, nc.(*conn).reader)
		}
		s.wg.Go(s.look)
	}
	s.wg.Go(func() { _ = s.http.Serve(listener{ln, log}) }) // ends with the listener
	s.wg.Go(s.reap)
	return s, nil
}

// bufferAnswers sets the send buffer of a listener, which its connections inherit.
func bufferAnswers(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer) })
	return errors.Join(err, optErr)
}

// ending lets answers end their connections once the server winds down.
func (s *Server) ending(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	default: // closed, or taken over by another protocol
		delete(s.conns, c)
		c.reader.Closed()
	}
	s.mu.Unlock()
	if st == http.StateIdle {
		c.rest()
	}
}

// reap closes connections that were idle for longer than the limit.
func (s *Server) reap() {
	ticker := time.NewTicker(reapEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		limit := s.idle()
		if limit <= 0 {
			limit = defaultIdle
		}
		now := cf.Uptime()
		s.closeWhere(func(since cf.Millis) bool { return since > 0 && now-since > limit+reapSlack })
	}
}

// look looks for callers that read slowly.
func (s *Server) look() {
	var busy []*cfroom.Conn
	var last cf.Millis
	timer := time.NewTimer(cfhold.CheckInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.rooms.Pressure():
			if soon := last + cfhold.PressureCheckInterval - cf.Uptime(); soon > 0 {
				timer.Reset(soon.Duration())
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

// closeWhere closes the connections that choose picks, if they are idle.
func (s *Server) closeWhere(choose func(since cf.Millis) bool) {
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

// windDown makes answers from now on end their connections.
func (s *Server) windDown() { s.closing.Store(true) }

// Shutdown stops listening, closes what is idle, and waits for the requests
// that have been read to be answered. Those that are still under way shortly
// before ctx ends are cancelled with ErrStopping, for their handlers to answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.windDown()
	_ = s.ln.Close()
	patience := ctx
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		patience, cancel = context.WithDeadline(ctx, end.Add(-min(answerTime, time.Until(end)/2)))
		defer cancel()
	}
	var err error
	if !s.drain(patience) {
		err = eris.Errorf("%d connections were still in use", s.open())
		s.end(cf.ErrStopping)
		s.drain(ctx)
	}
	_ = s.http.Close()
	s.end(nil)
	close(s.stop)
	s.wg.Wait()
	return err
}

// drain closes what is idle until no connection is left; it returns false where ctx ends
// before.
func (s *Server) drain(ctx context.Context) bool {
	for {
		// Also those that were accepted at the last moment.
		s.closeWhere(func(cf.Millis) bool { return true })
		if s.open() == 0 {
			return true
		}
		if !cf.Sleep(ctx, stopTick) {
			return false
		}
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
