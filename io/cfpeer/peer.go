// Package cfpeer connects entry instances: it carries requests and responses over one WebSocket
// connection per peer, each message encoded in CBOR.
//
// For example, an entry instance that does not lead a pool forwards a trainer's fetch or
// acknowledgement to the one that does, so that trainers may use any entry instance in the list.
// Calls have an id, and responses may arrive in any order. When a connection breaks, all calls
// waiting on it fail with ErrUnavailable, and the next call dials again.
//
// Usage:
//
//	srv := cfpeer.NewServer()
//	srv.Handle("fetch", func(ctx context.Context, body cbor.RawMessage) (any, error) { ... })
//	mux.Handle("/v1/peer", srv)
//	c := cfpeer.NewClient()
//	defer c.Close()
//	err := c.Call(ctx, "127.0.0.1:17102", "fetch", req, &batch)
package cfpeer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/io/cflog"
	"currantford/net/cfhttp"
)

const (
	readLimit = 8 << 20
	// writeTimeout limits a write to a peer that does not read. A working peer accepts a message
	// within milliseconds.
	writeTimeout = time.Second
	// dialTimeout allows for a few round trips between failure domains, of at most 16 ms each, and
	// one retransmitted packet.
	dialTimeout = 1200 * time.Millisecond
	// shutdownInterval is how often a shutdown checks whether all calls are answered.
	shutdownInterval = 5 * time.Millisecond
)

type (
	// Message is a call or response on the wire.
	Message struct {
		ID    uint64          `cbor:"id"`
		Op    string          `cbor:"op,omitempty"`
		Body  cbor.RawMessage `cbor:"body,omitempty"`
		Error string          `cbor:"error,omitempty"`
		Code  string          `cbor:"code,omitempty"`
	}

	// HandlerFunc handles a call and returns the response's body.
	HandlerFunc func(ctx context.Context, body cbor.RawMessage) (any, error)

	// Server accepts connections from peers. Close waits for running handlers.
	Server struct {
		handlers map[string]HandlerFunc
		ctx      context.Context
		cancel   context.CancelFunc
		wg       cflog.Group
		running  atomic.Int64 // calls that are not answered yet
		closing  atomic.Bool  // further calls are refused
	}

	// Client keeps one connection per peer address. Close waits for its goroutines to end.
	Client struct {
		http  *http.Client
		mu    sync.Mutex
		peers map[string]*peer
		wg    cflog.Group
	}

	// peer holds the connection to one peer. Its semaphore is held while dialling, so an
	// unresponsive peer delays only calls to itself, and each call for at most its own timeout.
	peer struct {
		sem  chan struct{}
		conn *conn
		// dialErr is the error of the latest dial, dials the number of dials.
		dialErr error
		dials   atomic.Int64
	}

	conn struct {
		ws      *websocket.Conn
		mu      sync.Mutex
		next    uint64
		pending map[uint64]chan Message
		broken  error
	}
)

// sentinels maps error codes on the wire to the root package's errors.
var sentinels = map[string]error{
	"not_found":   cf.ErrNotFound,
	"conflict":    cf.ErrConflict,
	"unavailable": cf.ErrUnavailable,
	"not_leader":  cf.ErrNotLeader,
	"fenced":      cf.ErrFenced,
	"invalid":     cf.ErrInvalid,
	"refused":     cf.ErrRefused,
}

// notSent is the error of a call that was not sent, and so certainly not executed.
type notSent struct{ cause error }

func (e *notSent) Error() string { return "not sent: " + e.cause.Error() }

// Is reports a notSent error as both ErrUnavailable and ErrNotRun.
func (e *notSent) Is(target error) bool { return target == cf.ErrUnavailable || target == cf.ErrNotRun }

// Unwrap returns the cause, such as cf.ErrNoProcess.
func (e *notSent) Unwrap() error { return e.cause }

// NewServer returns a Server without handlers.
func NewServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handlers: map[string]HandlerFunc{}, ctx: ctx, cancel: cancel}
}

// Handle registers the handler of an operation. It must not be called after the server has begun to
// serve.
func (s *Server) Handle(op string, h HandlerFunc) { s.handlers[op] = h }

// Shutdown refuses further calls with ErrRefused, and waits until those in progress are answered or
// ctx ends. The connections stay open until Close.
func (s *Server) Shutdown(ctx context.Context) {
	s.closing.Store(true)
	for s.running.Load() > 0 && cf.Sleep(ctx, shutdownInterval) {
		continue
	}
}

// Close closes all connections and waits for running handlers.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// ServeHTTP upgrades the connection to WebSocket and handles calls until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	ws.SetReadLimit(readLimit)
	for {
		_, data, err := ws.Read(s.ctx)
		if err != nil {
			return
		}
		var m Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			return
		}
		s.running.Add(1)
		s.wg.Go(func() {
			defer s.running.Add(-1)
			s.answer(ws, m)
		})
	}
}

func (s *Server) answer(ws *websocket.Conn, m Message) {
	reply := Message{ID: m.ID}
	h, ok := s.handlers[m.Op]
	var out any
	var err error
	switch {
	case !ok:
		err = eris.Wrapf(cf.ErrNotFound, "peer op %q", m.Op)
	case s.closing.Load():
		err = eris.Wrap(cf.ErrRefused, "the instance is stopping")
	default:
		out, err = h(s.ctx, m.Body)
	}
	if err != nil {
		reply.Error, reply.Code = err.Error(), errorCode(err)
	} else if reply.Body, err = cbor.Marshal(out); err != nil {
		reply.Error, reply.Code = err.Error(), "invalid"
	}
	data, _ := cbor.Marshal(reply)
	_ = ws.Write(s.ctx, websocket.MessageBinary, data)
}

func errorCode(err error) string {
	for c, s := range sentinels {
		if errors.Is(err, s) {
			return c
		}
	}
	return "unavailable"
}

// NewClient returns a Client without connections.
func NewClient() *Client { return &Client{http: cfhttp.NewClient(), peers: map[string]*peer{}} }

// Close closes all connections and waits for their goroutines to end.
func (c *Client) Close() error {
	c.mu.Lock()
	for _, p := range c.peers {
		p.sem <- struct{}{}
		if p.conn != nil {
			_ = p.conn.ws.CloseNow() // the goroutine that reads from it ends with the resulting error
		}
		p.release()
	}
	c.mu.Unlock()
	c.wg.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// Call sends op with body to the peer at addr and decodes the response into out. An error of the
// peer is returned as one of the root package's sentinel errors. If the connection breaks, Call
// returns ErrUnavailable, and it is unknown whether the peer executed the call.
func (c *Client) Call(ctx context.Context, addr, op string, body, out any) error {
	if ctx.Err() != nil {
		return &notSent{eris.Wrapf(ctx.Err(), "peer %s", addr)}
	}
	cn, err := c.conn(ctx, addr)
	if err != nil {
		return &notSent{err}
	}
	payload, err := cbor.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode peer call")
	}
	cn.mu.Lock()
	if cn.broken != nil {
		cn.mu.Unlock()
		return eris.Wrapf(cf.ErrUnavailable, "peer %s: %v", addr, cn.broken)
	}
	cn.next++
	id := cn.next
	ch := make(chan Message, 1)
	cn.pending[id] = ch
	cn.mu.Unlock()
	defer func() {
		cn.mu.Lock()
		delete(cn.pending, id)
		cn.mu.Unlock()
	}()
	data, _ := cbor.Marshal(Message{ID: id, Op: op, Body: payload})
	if err := cn.write(data); err != nil {
		return eris.Wrapf(cf.ErrUnavailable, "peer %s write: %v", addr, err)
	}
	select {
	case m := <-ch:
		if m.Code != "" {
			s, ok := sentinels[m.Code]
			if !ok {
				s = cf.ErrUnavailable
			}
			return eris.Wrapf(s, "peer %s: %s", addr, m.Error)
		}
		if out == nil {
			return nil
		}
		return eris.Wrap(cbor.Unmarshal(m.Body, out), "decode peer answer")
	case <-ctx.Done():
		// A connection can fail without a reset, so one with an overdue response is closed, and the
		// next call dials again. Closing waits for the library's own goroutines, up to seconds if
		// one of them is writing, so it must not delay the caller, whose deadline has passed.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.wg.Go(func() { _ = cn.ws.CloseNow() })
		}
		return eris.Wrapf(cf.ErrUnavailable, "peer %s: %v", addr, ctx.Err())
	}
}

func (c *Client) conn(ctx context.Context, addr string) (*conn, error) {
	p := c.peer(addr)
	before := p.dials.Load()
	if !p.acquire(ctx) {
		return nil, eris.Wrapf(cf.ErrUnavailable, "peer %s: %v", addr, ctx.Err())
	}
	defer p.release()
	if p.conn != nil && !p.conn.isBroken() {
		return p.conn, nil
	}
	// If another call's dial failed while this call waited, this call returns the same error.
	if p.dialErr != nil && p.dials.Load() > before {
		return nil, p.dialErr
	}
	ws, err := c.dial(ctx, p, addr)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(readLimit)
	cn := &conn{ws: ws, pending: map[uint64]chan Message{}}
	p.conn = cn
	c.wg.Go(func() { c.read(cn) })
	return cn, nil
}

// acquire acquires the semaphore. It returns false if ctx ends before.
func (p *peer) acquire(ctx context.Context) bool {
	select {
	case p.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *peer) release() { <-p.sem }

// dial connects to the peer. The semaphore must be held. dialTimeout limits the dial because a call
// may have a timeout of seconds, and would otherwise delay a coordinator's lease renewals and
// watches for as long.
func (c *Client) dial(ctx context.Context, p *peer, addr string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/v1/peer", &websocket.DialOptions{HTTPClient: c.http}) //nolint:bodyclose // the library closes the handshake body itself
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.dialErr = eris.Wrapf(cf.ErrNoProcess, "dial peer %s", addr)
	case err != nil:
		p.dialErr = eris.Wrapf(cf.ErrUnavailable, "dial peer %s: %v", addr, err)
	default:
		p.dialErr = nil
	}
	p.dials.Add(1)
	return ws, p.dialErr
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = &peer{sem: make(chan struct{}, 1)}
		c.peers[addr] = p
	}
	return p
}

// write sends one message. It does not use the caller's context: the library closes the connection
// when a write's context ends, so one cancelled call would fail all other calls of the process that
// wait for responses.
func (cn *conn) write(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return cn.ws.Write(ctx, websocket.MessageBinary, data)
}

func (cn *conn) isBroken() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.broken != nil
}

// read delivers responses to their callers. When the connection breaks, all waiting calls fail
// immediately instead of waiting for their own timeouts, and the connection is marked as broken so
// that the next call dials again.
func (c *Client) read(cn *conn) {
	for {
		_, data, err := cn.ws.Read(context.Background())
		if err != nil {
			cn.mu.Lock()
			cn.broken = err
			for id, ch := range cn.pending {
				ch <- Message{ID: id, Code: "unavailable", Error: "connection lost: " + err.Error()}
			}
			cn.mu.Unlock()
			return
		}
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			continue
		}
		cn.mu.Lock()
		if ch, ok := cn.pending[m.ID]; ok {
			ch <- m
			delete(cn.pending, m.ID)
		}
		cn.mu.Unlock()
	}
}
