package cfhttp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has ended its side in order. A connection
// that was reset is in the closed state.
const tcpCloseWait = 8

// ErrReset is returned by a read of a connection that was reset, and not ended by its peer in order.
var ErrReset = errors.New("connection reset while the request was being written")

// clientConn is a connection on which requests are written while their responses are read.
//
// The kernel reports a reset once. If a write gets the error, a read sees an orderly end, which
// would complete a response without a length. Therefore, the end of a read counts only if no write
// has failed.
type clientConn struct {
	net.Conn
	exchange atomic.Pointer[Exchange] // the latest on the connection

	// scanner looks at the head of the response to the exchange scanned. Only Read uses them.
	scanned *Exchange
	scanner headScanner

	writeMu  sync.Mutex // held during a write
	writeErr error
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns ErrReset instead of io.EOF if the connection was reset.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writeMu.TryLock() {
		if c.peerEnded() {
			return n, err
		}
		c.writeMu.Lock() // waits for the outcome of the write in progress
	}
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return n, eris.Wrapf(ErrReset, "%v", c.writeErr)
	}
	return n, err
}

// scan looks for a faulty framing in what was read.
func (c *clientConn) scan(p []byte) {
	x := c.exchange.Load()
	if x == nil {
		return
	}
	if x != c.scanned {
		c.scanned, c.scanner = x, headScanner{}
	}
	if c.scanner.scan(p); c.scanner.faulty {
		x.faultyFraming.Store(true)
	}
}

// peerEnded reports whether the peer has ended its side in order. It returns false if the state of
// the connection is not available.
func (c *clientConn) peerEnded() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && infoErr == nil && info.State == tcpCloseWait
}
