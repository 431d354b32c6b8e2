package cfgate

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	cf "currantford"
	"currantford/core/cfintake"
)

// lingerTimeout and lingerBytes bound how long and how much is read after a refusal. Closing a
// connection with unread bytes resets it, and the caller could lose the refusal.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 << 10
)

// Framings of the bytes that are read next.
const (
	// framingHead: a head.
	framingHead framing = iota
	// framingParsed: net/http parses the head, and the framing of the body is not known yet.
	framingParsed
	// framingLength: a body of a known length.
	framingLength
	// framingChunked: a body in chunks.
	framingChunked
	// framingEnd: the request has ended; the next one may follow.
	framingEnd
	// framingNone: the connection was taken over from net/http, or its body is malformed.
	framingNone
)

type (
	framing int

	// Conn reads the requests on one connection.
	Conn struct {
		gate    *Gate
		raw     net.Conn
		address string
		account *cfintake.Connection // guarded by gate.mu
		evicted atomic.Bool

		// mu guards the fields below. It is not held while bytes are read from raw; net/http has at
		// most one read in progress.
		mu      sync.Mutex
		framing framing
		scanner cfintake.HeadScanner
		// begun is set once a byte of the head was read, and scanning once scanner has its limit.
		begun, scanning bool
		// served is set once a request was answered.
		served bool
		// head holds the part of a head that did not arrive at once. Once it is complete, delivered
		// counts the bytes that net/http has read.
		head      []byte
		complete  bool
		delivered int
		// ahead holds bytes that were read and belong to what follows.
		ahead []byte
		// early holds bytes of the next head that net/http reads before it has answered, to notice
		// that the caller has left.
		early []byte
		// left is the number of bytes that remain of a body with framingLength.
		left   int64
		chunks chunkScanner
		// cost is what the head of the last request takes, in bytes.
		cost int64
	}
)

// Read reads for net/http: a head once it is complete and its memory is reserved, bodies as they
// arrive. It returns a Refusal if the connection is closed for others in the middle of a body.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	f := c.framing
	c.mu.Unlock()
	switch f {
	case framingHead:
		return c.readHead(p)
	case framingNone:
		return c.fill(p)
	case framingParsed, framingEnd:
		return c.readEarly(p)
	default:
		return c.readBody(p)
	}
}

// fill reads the next bytes, those read ahead first.
func (c *Conn) fill(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		defer c.mu.Unlock()
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		return n, nil
	}
	c.mu.Unlock()
	if c.evicted.Load() {
		return 0, errEvicted
	}
	n, err := c.raw.Read(p)
	if c.evicted.Load() && (n > 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		return 0, errEvicted
	}
	return n, err
}

// errEvicted is returned by reads of a connection that is closed for others.
var errEvicted = &cf.Refusal{RetryAfter: refusalRetry, Reason: "the request was not read in time, and others need its memory"}

// readEarly reads what follows a request that is not answered yet.
func (c *Conn) readEarly(p []byte) (int, error) {
	n, err := c.fill(p[:min(len(p), 1)])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = append(c.early, p[:n]...)
	return n, err
}

// readHead reads a head. Its bytes go to p directly if the whole head arrives at once.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.complete {
		return c.deliver(p), nil
	}
	c.startHead()
	for {
		n, err := c.fill(p)
		if n > 0 {
			c.begin()
			done, read, scanErr := c.scan(p[:n])
			if scanErr != nil {
				return 0, c.refuse(scanErr)
			}
			if done {
				return c.finishHead(p, read)
			}
			if refused := c.keep(p[:read]); refused != nil {
				return 0, c.refuse(refused)
			}
		}
		if err != nil {
			return 0, c.refuse(err)
		}
	}
}

// startHead prepares for the next head, of which net/http may have read the first byte already.
func (c *Conn) startHead() {
	if c.scanning {
		return
	}
	c.scanning = true
	c.scanner = cfintake.HeadScanner{Limit: c.gate.headerLimit()}
	if !c.served {
		c.setDeadline(c.gate.options.HeadTimeout) // later ones have the idle timeout
	}
	if len(c.early) > 0 {
		c.begin()
		c.setDeadline(c.gate.options.HeadTimeout)
		_, _, _, _ = c.scanner.Scan(c.early) // one byte neither ends a head nor exceeds the limit
		c.early = nil
	}
}

// setDeadline sets the time by which what is read next must be complete.
func (c *Conn) setDeadline(after cf.Millis) {
	_ = c.raw.SetReadDeadline(time.Now().Add(after.Duration())) // fails if the connection has been closed
	if c.evicted.Load() {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// begin records the first byte of a head.
func (c *Conn) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.gate.mu.Lock()
	c.gate.ledger.Begin(c.account, cf.Uptime())
	c.gate.mu.Unlock()
}

// scan passes bytes to the scanner. It moves those of the head to the start of b and keeps those
// after it. It returns how many belong to the head.
func (c *Conn) scan(b []byte) (done bool, n int, err error) {
	read, skip, done, err := c.scanner.Scan(b)
	if err != nil {
		return false, 0, err
	}
	if done && read < len(b) {
		c.mu.Lock()
		c.ahead = append(append([]byte(nil), b[read:]...), c.ahead...)
		c.mu.Unlock()
	}
	return done, copy(b, b[skip:read]), nil
}

// keep keeps a part of a head that does not arrive at once. It returns a Refusal if there is no
// memory.
func (c *Conn) keep(b []byte) error {
	if len(c.head) == 0 {
		c.setDeadline(c.gate.options.HeadTimeout)
	}
	if need := len(c.head) + len(b); need > cap(c.head) {
		size := max(need, 2*cap(c.head))
		if err := c.reserve(int64(size)); err != nil {
			return err
		}
		before := int64(cap(c.head))
		c.head = append(make([]byte, 0, size), c.head...)
		c.Release(before)
	}
	c.head = append(c.head, b...)
	return nil
}

// finishHead reserves the memory for a complete head, of which the last n bytes are in p, and
// passes it to net/http.
func (c *Conn) finishHead(p []byte, n int) (int, error) {
	c.cost = c.scanner.Cost()
	if err := c.reserve(c.cost); err != nil {
		return 0, c.refuse(err)
	}
	if len(c.head) == 0 {
		c.endHead()
		return n, nil
	}
	if err := c.keep(p[:n]); err != nil {
		return 0, c.refuse(err)
	}
	c.complete = true
	return c.deliver(p), nil
}

// deliver passes the next bytes of a complete head to net/http.
func (c *Conn) deliver(p []byte) int {
	n := copy(p, c.head[c.delivered:])
	if c.delivered += n; c.delivered == len(c.head) {
		c.Release(int64(cap(c.head)))
		c.endHead()
	}
	return n
}

// endHead records that net/http has the whole head.
func (c *Conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing, c.head, c.delivered = framingParsed, nil, 0
}

// Serve records the framing of a request's body: its length in bytes, or -1 if it comes in chunks.
// A request without a body is complete. It returns a Refusal if the connection has been closed for
// others in the meantime.
func (c *Conn) Serve(length int64) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	switch {
	case length < 0:
		c.framing, c.chunks = framingChunked, chunkScanner{}
	case length > 0:
		c.framing, c.left = framingLength, length
	default:
		c.framing = framingEnd
	}
	done := c.framing == framingEnd
	arrived := c.framing == framingLength && int64(len(c.ahead)) >= c.left
	c.mu.Unlock()
	if done {
		return c.completeRequest()
	}
	if !arrived {
		c.setDeadline(c.gate.options.BodyTimeout)
	}
	return nil
}

// completeRequest records that the whole request was read, and ends the time limits.
func (c *Conn) completeRequest() error {
	c.gate.mu.Lock()
	ok := c.gate.ledger.Complete(c.account)
	c.gate.mu.Unlock()
	if !ok {
		return errEvicted
	}
	_ = c.raw.SetReadDeadline(time.Time{}) // fails if the connection has been closed
	return nil
}

// readBody reads a part of a body.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.framing == framingLength {
		p = p[:min(int64(len(p)), c.left)]
	}
	n, err := c.fill(p)
	if n == 0 {
		return 0, c.recordBodyError(err)
	}
	c.gate.mu.Lock()
	c.gate.ledger.Received(c.account, int64(n))
	c.gate.mu.Unlock()
	c.mu.Lock()
	done := false
	if c.framing == framingLength {
		c.left -= int64(n)
		done = c.left == 0
	} else {
		read, end, ok := c.chunks.scan(p[:n])
		if !ok {
			c.framing = framingNone // net/http ends the connection
		}
		if done = end; done {
			c.ahead = append(append([]byte(nil), p[read:n]...), c.ahead...)
			n = read
		}
	}
	if done {
		c.framing = framingEnd
	}
	c.mu.Unlock()
	if done {
		if err := c.completeRequest(); err != nil {
			return 0, c.recordBodyError(err)
		}
	}
	return n, err
}

// recordBodyError records why a body is not read further, if that is not the caller's doing.
func (c *Conn) recordBodyError(err error) error {
	switch {
	case errors.Is(err, errEvicted):
		c.gate.recordRefusal(c, reasonEvicted)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.gate.recordRefusal(c, reasonBodyLate)
	}
	return err
}

// End records that a request was answered; the next head may follow.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.framing != framingNone {
		c.framing = framingHead
	}
	c.begun, c.scanning, c.complete, c.served = false, false, false, true
	c.mu.Unlock()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.End(c.account, cf.Uptime())
	c.gate.updateMetrics()
}

// Close ends the account of a connection that is closed, or that was taken over from net/http and
// serves no further requests.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.framing = framingNone
	c.mu.Unlock()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Close(c.account)
	delete(c.gate.conns, c.account)
	if c.evicted.Load() {
		c.gate.closing = slices.DeleteFunc(c.gate.closing, func(other *Conn) bool { return other == c })
	}
	c.gate.updateMetrics()
}

// Reading reports whether a part of a request has been read, and not the whole.
func (c *Conn) Reading() bool {
	if c == nil {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.account.Reading()
}

// Reserve reserves n bytes of memory for the body of the request in progress. It returns a Refusal
// if there is not enough memory.
func (c *Conn) Reserve(n int64) error {
	if c == nil {
		return nil
	}
	err := c.reserve(n)
	if err != nil {
		c.gate.recordRefusal(c, reasonMemory)
	}
	return err
}

func (c *Conn) reserve(n int64) error {
	c.gate.mu.Lock()
	evicted, ok := c.gate.ledger.Reserve(c.account, n, cf.Uptime())
	c.gate.evict(evicted)
	c.gate.mu.Unlock()
	if !ok {
		// Callers that were refused together come back one after the other.
		return &cf.Refusal{RetryAfter: refusalRetry/2 + rand.N(refusalRetry), Reason: "no memory for the request now"}
	}
	return nil
}

// Release returns n bytes that were reserved.
func (c *Conn) Release(n int64) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Release(c.account, n)
	c.gate.updateMetrics()
}

// WriteRefusal answers a request with a Refusal and ends its connection.
func WriteRefusal(w http.ResponseWriter, err error) {
	var refusal *cf.Refusal
	if errors.As(err, &refusal) {
		w.Header().Set("Retry-After", refusal.RetryAfter.FormatSeconds())
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// refuse ends the connection of a request whose head was not read. If bytes of it were read, the
// caller is answered. net/http closes the connection silently on the error that is returned.
func (c *Conn) refuse(err error) error {
	c.scanner = cfintake.HeadScanner{}
	c.head = nil
	var refusal *cf.Refusal
	switch {
	case errors.Is(err, errEvicted):
		c.answer(reasonEvicted, http.StatusServiceUnavailable, errEvicted)
	case errors.As(err, &refusal):
		c.answer(reasonMemory, http.StatusServiceUnavailable, refusal)
	case errors.Is(err, cfintake.ErrHeadTooLarge):
		c.answer(reasonHeadSize, http.StatusRequestHeaderFieldsTooLarge, err)
	case errors.Is(err, cfintake.ErrNoRequestLine):
		c.answer(reasonEmptyLines, http.StatusBadRequest, err)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.begun:
		c.answer(reasonHeadLate, http.StatusRequestTimeout, errors.New("no request in time"))
	default:
		return err
	}
	return io.EOF
}

// answer refuses a request in place of net/http, which has not read it.
func (c *Conn) answer(reason string, status int, cause error) {
	c.gate.recordRefusal(c, reason)
	if !c.begun {
		return
	}
	text := cause.Error() + "\n"
	retry := ""
	var refusal *cf.Refusal
	if errors.As(cause, &refusal) {
		retry = "Retry-After: " + refusal.RetryAfter.FormatSeconds() + "\r\n"
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(lingerTimeout)) // fails if the connection has been closed
	_, err := fmt.Fprintf(c.raw, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retry, text)
	if err != nil || c.evicted.Load() {
		return
	}
	c.linger()
}

// linger reads and drops what the caller still sends, for a short time. The connection can be
// closed for others meanwhile.
func (c *Conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails if the connection has been closed
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails if the connection has been closed
	if c.evicted.Load() {
		return
	}
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes) // ends with the connection or the time
}
