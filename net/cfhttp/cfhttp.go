// Package cfhttp is the HTTP/1.1 client of all processes: calls to targets and to the platform, the
// handshakes of links between instances, and the calls of the older interface go through its
// Transport. It judges a response once, for all of them: what it returns as complete is the whole
// response as its server sent it.
//
// It adds to net/http what a proxy needs. A response without a length ends with its connection, and
// net/http takes any end of a read for that end, also the one that follows a reset. It accepts any
// number as a status, and blanks in the names of fields: a Content-Length that is not recognised as
// such gives the body another end than the server's. It passes over a Transfer-Encoding in a response of
// HTTP/1.0, whose chunks it takes for the body.
//
// Usage:
//
//	t := cfhttp.NewTransport(&http.Transport{MaxResponseHeaderBytes: 32 << 10})
//	x := &cfhttp.Exchange{}
//	resp, err := t.Do(ctx, req, x)
//	if err != nil && !x.Connected() {
//		// the request was not sent
//	}
package cfhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	cf "currantford"
)

type (
	// Transport sends requests and judges their responses. It is safe for concurrent use.
	Transport struct{ *http.Transport }

	// Exchange is one request on one connection. Once it has been passed to Do, its methods are safe
	// for concurrent use, also while the request is under way. It is used for one request.
	Exchange struct {
		connected, newConn atomic.Bool
		faultyFraming      atomic.Bool // of the response
		wroteAt            atomic.Int64
		written            chan struct{} // closed when the request has been written, or could not be
		writtenOnce        sync.Once
		mu                 sync.Mutex
		conn               *clientConn
	}
)

// maxHeaderBytes is the default bound on the headers of a response.
const maxHeaderBytes = 64 << 10

var _ http.RoundTripper = (*Transport)(nil)

// NewClient returns a client that sends its requests with a Transport of net/http's defaults.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// NewTransport returns a Transport that uses t, and connections that t opens. The caller must not
// send requests with t itself.
func NewTransport(t *http.Transport) *Transport {
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeaderBytes
	}
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: conn}, nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.Do(req.Context(), req, &Exchange{})
}

// Do sends a request in the given context and returns its response. It records in x how the request
// was sent. The error is ErrMalformed if the head of the response is malformed; the body returns it
// if the trailers are.
func (t *Transport) Do(ctx context.Context, req *http.Request, x *Exchange) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, x.trace(t.MaxResponseHeaderBytes))))
	if err != nil {
		return nil, err
	}
	if err := checkHead(req, resp, x); err != nil {
		x.CloseConn()
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{resp.Body, resp}
	}
	return resp, nil
}

// trace returns the hooks that observe a request. maxHeader bounds the headers of the informational
// responses, as net/http leaves that to the hook.
func (x *Exchange) trace(maxHeader int64) *httptrace.ClientTrace {
	informational := int64(0)
	x.written = make(chan struct{})
	return &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			informational += headSize(header)
			if informational > maxHeader {
				return eris.Wrapf(ErrMalformed, "informational responses of over %d bytes", maxHeader)
			}
			return checkNames(http.Header(header))
		},
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ := info.Conn.(*clientConn)
			if conn != nil {
				conn.exchange.Store(x)
			}
			x.mu.Lock()
			x.conn = conn
			x.mu.Unlock()
			x.newConn.Store(!info.Reused)
			x.connected.Store(true)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				x.wroteAt.Store(int64(cf.Uptime()))
			}
			x.writtenOnce.Do(func() { close(x.written) })
		},
	}
}

// Connected reports whether a connection was obtained. From then on, the request may run.
func (x *Exchange) Connected() bool { return x.connected.Load() }

// NewConn reports whether the connection was opened for this request.
func (x *Exchange) NewConn() bool { return x.newConn.Load() }

// WroteAt returns the time at which the request had been written, zero if it has not.
func (x *Exchange) WroteAt() cf.Millis { return cf.Millis(x.wroteAt.Load()) }

// AwaitWritten waits for the end of the write, and reports whether the request was written in full.
// A response may come while the request is still being written, and a complete one is often noticed
// before the end of the write is.
func (x *Exchange) AwaitWritten(ctx context.Context) bool {
	select {
	case <-x.written:
	case <-ctx.Done():
	}
	return x.wroteAt.Load() > 0
}

// CloseConn closes the connection, unless another exchange uses it by now.
func (x *Exchange) CloseConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && x.conn.exchange.Load() == x {
		_ = x.conn.Close()
	}
}
