// Package cfpeer is the link between entry instances: request and answer
// over one WebSocket connection per peer, each message CBOR-encoded.
//
// An entry that does not lead a pool forwards a trainer's fetch or
// acknowledgement to the entry that does, so that trainers may use any
// entry the list gives them. Calls carry an id; answers may come back in
// any order. A broken connection fails every call waiting on it with
// ErrUnavailable, and the next call dials again.
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
)

const (
	readLimit = 8 << 20
	// writeTimeout bounds a write to a peer that does not read; a sound one
	// takes a message within milliseconds.
	writeTimeout = time.Second
	// dialTimeout bounds the try to connect: a few round trips between failure
	// domains, of 16 ms at most, and one packet that is sent again.
	dialTimeout = 1200 * time.Millisecond
)

type (
	// Message is one call or answer on the wire.
	Message struct {
		ID    uint64          `cbor:"id"`
		Op    string          `cbor:"op,omitempty"`
		Body  cbor.RawMessage `cbor:"body,omitempty"`
		Error string          `cbor:"error,omitempty"`
		Code  string          `cbor:"code,omitempty"`
	}

	// HandlerFunc answers one call.
	HandlerFunc func(ctx context.Context, body cbor.RawMessage) (any, error)

	// Server accepts peer connections. Close waits for running handlers.
	Server struct {
		handlers map[string]HandlerFunc
		ctx      context.Context
		cancel   context.CancelFunc
		wg       cflog.Group
	}

	// Client keeps one connection per peer address. Close waits for the
	// readers it started.
	Client struct {
		mu    sync.Mutex
		peers map[string]*peer
		wg    cflog.Group
	}

	// peer is the connection to one peer. It is taken while dialling: a peer that
	// does not answer holds up calls to itself only, and each for its own time
	// at most.
	peer struct {
		sem  chan struct{}
		conn *conn
		// dialErr is the error of the last try to connect, tries counts them.
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

// sentinels maps wire codes to the root package's errors.
var sentinels = map[string]error{
	"not_found":   cf.ErrNotFound,
	"conflict":    cf.ErrConflict,
	"unavailable": cf.ErrUnavailable,
	"not_leader":  cf.ErrNotLeader,
	"fenced":      cf.ErrFenced,
	"invalid":     cf.ErrInvalid,
	"refused":     cf.ErrRefused,
}

// notSent is an error of a call that never left: it is unavailable, and was
// certainly not carried out.
type notSent struct{ cause error }

func (e *notSent) Error() string { return "not sent: " + e.cause.Error() }

// Is makes it an ErrUnavailable and an ErrNotRun.
func (e *notSent) Is(target error) bool { return target == cf.ErrUnavailable || target == cf.ErrNotRun }

// Unwrap keeps the cause, such as cf.ErrNoProcess.
func (e *notSent) Unwrap() error { return e.cause }

// NewServer returns a server with no handlers.
func NewServer() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handlers: map[string]HandlerFunc{}, ctx: ctx, cancel: cancel}
}

// Handle registers the handler of an op. Call it before serving.
func (s *Server) Handle(op string, h HandlerFunc) { s.handlers[op] = h }

// Close ends every connection and waits for running handlers.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// ServeHTTP upgrades to WebSocket and answers calls until the peer leaves.
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
		s.wg.Go(func() { s.answer(ws, m) })
	}
}

func (s *Server) answer(ws *websocket.Conn, m Message) {
	reply := Message{ID: m.ID}
	h, ok := s.handlers[m.Op]
	var out any
	var err error
	if !ok {
		err = eris.Wrapf(cf.ErrNotFound, "peer op %q", m.Op)
	} else {
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

// NewClient returns a client with no connections.
func NewClient() *Client { return &Client{peers: map[string]*peer{}} }

// Close ends every connection and waits for their readers.
func (c *Client) Close() error {
	c.mu.Lock()
	for _, p := range c.peers {
		p.sem <- struct{}{}
		if p.conn != nil {
			_ = p.conn.ws.CloseNow() // the reader ends with its error
		}
		p.release()
	}
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// Call sends op with body to the peer at addr and decodes the answer into
// out. Errors from the peer come back as the root package's sentinels; a
// connection that breaks gives ErrUnavailable, and whether the peer acted on
// the call is then unknown.
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
		// A connection can go silent without a reset. One on which an answer
		// is overdue is given up, so that the next call dials again.
		// Closing waits for the library's own goroutines, up to seconds where
		// one of them is writing; the caller has no time left.
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
	// Whoever waited while another call tried in vain has its answer.
	if p.dialErr != nil && p.dials.Load() > before {
		return nil, p.dialErr
	}
	ws, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(readLimit)
	cn := &conn{ws: ws, pending: map[uint64]chan Message{}}
	p.conn = cn
	c.wg.Go(func() { c.read(cn) })
	return cn, nil
}

// acquire waits for the slot; false if ctx ended before.
func (p *peer) acquire(ctx context.Context) bool {
	select {
	case p.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *peer) release() { <-p.sem }

// dial connects to a peer. The slot is taken, by a call that may have seconds: with all
// of them for its try, it would hold a coordinator's renewals and watches up for as long.
func (p *peer) dial(ctx context.Context, addr string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+"/v1/peer", nil) //nolint:bodyclose // the library closes the handshake body itself
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

// write sends one message. It does not take the caller's context: the library
// closes the connection when a write's context ends, and one caller that goes
// away would fail all calls of its process that wait for answers.
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

// read delivers answers to their callers. When the connection breaks, every
// waiting call fails at once instead of waiting for its own timeout, and the
// connection is forgotten so that the next call dials again.
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
