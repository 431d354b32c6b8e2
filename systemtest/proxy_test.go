package systemtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

type (
	// linkFaults are what a link does to its bytes. Held bytes are not lost:
	// they arrive, late, when the link heals, as through a cut network.
	linkFaults struct {
		// HoldUp and HoldDown keep back what flows to the server and to the
		// client.
		HoldUp, HoldDown bool
		// Delay is added to each way.
		Delay time.Duration
	}

	// tcpProxy is a loopback link to one server.
	tcpProxy struct {
		address    string
		server     string
		goroutines sync.WaitGroup

		mu            sync.Mutex
		ln            net.Listener // nil while nothing listens
		faults        linkFaults
		faultsChanged chan struct{} // closed at each change of the faults
		conns         map[*net.TCPConn]bool
		closed        bool
	}
)

// newTCPProxy starts a link to a server; a test's end closes it.
func newTCPProxy(t *testing.T, server string) *tcpProxy {
	t.Helper()
	p := &tcpProxy{address: freeAddr(t), server: server, faultsChanged: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	if err := p.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.setListening(false)
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.setFaults(linkFaults{})
		p.reset()
		p.goroutines.Wait()
	})
	return p
}

// listen takes connections until the listener is closed.
func (p *tcpProxy) listen() error {
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	p.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			p.goroutines.Go(func() { p.forward(c.(*net.TCPConn)) })
		}
	})
	return nil
}

func (p *tcpProxy) addr() string { return p.address }

// setListening ends or takes up the serving of the address, as with the server's process:
// while it is off, connections are refused.
func (p *tcpProxy) setListening(on bool) {
	p.mu.Lock()
	ln, closed := p.ln, p.closed
	p.mu.Unlock()
	switch {
	case on && ln == nil && !closed:
		_ = p.listen() // the port is the proxy's own
	case !on && ln != nil:
		_ = ln.Close()
		p.awaitRefused()
		p.mu.Lock()
		p.ln = nil
		for c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
	}
}

// awaitRefused waits until the address takes no connections. A process that another test
// starts holds the listener that was closed until it has replaced its program, and a target
// would seem to outlive its connections meanwhile.
func (p *tcpProxy) awaitRefused() {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// setFaults replaces the faults.
func (p *tcpProxy) setFaults(f linkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// reset breaks the open connections, with what is held in them.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // a reset instead of an orderly end
		_ = c.Close()
	}
}

// track notes a connection, false once the proxy has closed.
func (p *tcpProxy) track(cs ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

func (p *tcpProxy) closeConns(cs ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *tcpProxy) forward(client *net.TCPConn) {
	out, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	server := out.(*net.TCPConn)
	if !p.track(client, server) {
		return
	}
	defer p.closeConns(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(client, server, func(f linkFaults) bool { return f.HoldUp }) })
	wg.Go(func() { p.copyDirection(server, client, func(f linkFaults) bool { return f.HoldDown }) })
	wg.Wait()
}

// copyDirection carries one direction until its source ends, which it passes on.
func (p *tcpProxy) copyDirection(from, to *net.TCPConn, held func(linkFaults) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.awaitFlow(held)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// awaitFlow returns when the link lets bytes through.
func (p *tcpProxy) awaitFlow(held func(linkFaults) bool) {
	for {
		p.mu.Lock()
		f, healed := p.faults, p.faultsChanged
		p.mu.Unlock()
		if !held(f) {
			time.Sleep(f.Delay)
			return
		}
		<-healed
	}
}
