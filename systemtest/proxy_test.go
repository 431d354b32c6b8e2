package systemtest

import (
	"net"
	"sync"
	"testing"
	"time"
)

type (
	// linkFaults are the faults that a link injects. Held bytes are not lost: as in a network
	// partition, they arrive when the link recovers.
	linkFaults struct {
		// HoldUp and HoldDown hold the bytes that flow to the server and to the client.
		HoldUp, HoldDown bool
		// Delay is added in each direction.
		Delay time.Duration
	}

	// tcpProxy is a loopback link to one server.
	tcpProxy struct {
		address    string
		server     string
		goroutines sync.WaitGroup

		mu            sync.Mutex
		ln            net.Listener // nil while the proxy does not listen
		faults        linkFaults
		faultsChanged chan struct{} // closed at each change of faults
		conns         map[*net.TCPConn]bool
		closed        bool
		// heals are the times at which the link stopped to hold bytes.
		heals []time.Time
	}
)

// newTCPProxy starts a link to a server. It is closed at the end of the test.
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

// listen accepts connections until the listener is closed.
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
				return // the listener was closed
			}
			p.goroutines.Go(func() { p.forward(c.(*net.TCPConn)) })
		}
	})
	return nil
}

func (p *tcpProxy) addr() string { return p.address }

// setListening starts or stops listening on the address, as a start or an end of the server's
// process would. While the proxy does not listen, connections are refused.
func (p *tcpProxy) setListening(on bool) {
	p.mu.Lock()
	ln, closed := p.ln, p.closed
	p.mu.Unlock()
	switch {
	case on && ln == nil && !closed:
		_ = p.listen() // the port is reserved for this proxy
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

// awaitRefused waits until the address refuses connections. Without it a target would seem to
// outlive its connections: a process that another test has forked keeps the closed listener open
// until its exec.
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
	if (p.faults.HoldUp || p.faults.HoldDown) && !f.HoldUp && !f.HoldDown {
		p.heals = append(p.heals, time.Now())
	}
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// sinceHeal returns how long before at the link last stopped to hold bytes, zero if it did not.
func (p *tcpProxy) sinceHeal(at time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Duration(0)
	for _, h := range p.heals {
		if !h.After(at) {
			since = at.Sub(h)
		}
	}
	return since
}

// reset resets the open connections and discards the bytes held in them.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // sends a RST instead of a FIN
		_ = c.Close()
	}
}

// track records connections for reset. It returns false once the proxy is closed.
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

// copyDirection copies one direction until its source ends, and then closes that direction of the
// destination.
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

// awaitFlow waits until the link passes bytes in a direction.
func (p *tcpProxy) awaitFlow(held func(linkFaults) bool) {
	for {
		p.mu.Lock()
		f, changed := p.faults, p.faultsChanged
		p.mu.Unlock()
		if !held(f) {
			time.Sleep(f.Delay)
			return
		}
		<-changed
	}
}
