//go:build review

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// engine is a server of a service, as the pages describe engines. It speaks HTTP/1.1 on plain
	// sockets, as an extra response has to be written at a moment of its own.
	engine struct {
		id, service, addr string
		slots             int
		// answer gives the status and the body of a plain request, after work.
		work   time.Duration
		answer func(r *run) (status int, body string)
		// events and interval make the answer a stream.
		events   int
		interval time.Duration
		rec      *recorder

		mu      sync.Mutex
		running int
		runs    []*run
		ln      net.Listener
		conns   map[net.Conn]bool
		// garble is the share of answers that come twice, the second one late.
		garble float64
		// fails is the share of requests that the engine begins to run and then fails.
		fails float64
	}

	// run is a request that an engine began to work on.
	run struct {
		id, engine, body, stamp string
		status                  int
		began, ended            time.Time
		lastEvent               int
		// brokenOff is set if the other side closed the channel before the end.
		brokenOff bool
	}
)

func (d *deployment) addEngine(e *engine, domain string) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	e.addr, e.rec, e.ln, e.conns = l.Addr().String(), d.rec, l, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	d.store.Put("servers", e.id, map[string]any{
		"service": e.service, "addr": e.addr, "zone": domain, "version": "v1", "slots": e.slots, "state": "ready", "cold-left-ms": 0, "seq": 0,
	})
	return nil
}

func (e *engine) set(garble, fails float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.garble, e.fails = garble, fails
}

// exit ends the engine: its channels close, and its address refuses new ones.
func (e *engine) exit() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, 0, len(e.runs))
	for _, r := range e.runs {
		out = append(out, *r)
	}
	return out
}

// serve serves one request at a time on a channel, and keeps the channel.
func (e *engine) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var extra []byte // a second answer, due where the next answer is expected
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		raw, keep := e.handle(c, req, string(body))
		if raw != nil {
			if _, err := c.Write(raw); err != nil {
				return
			}
		}
		if !keep || req.Close {
			return
		}
		e.mu.Lock()
		if raw != nil && rand.Float64() < e.garble {
			extra = raw
		}
		e.mu.Unlock()
		if extra != nil {
			e.rec.add("%s will answer %s a second time, late (%s)", e.id, req.Header.Get("Currantford-Request-Id"), bytes.SplitN(raw, []byte("\r\n"), 2)[0])
		}
	}
}

// handle runs one request. It returns the answer, or nil if it has written it.
func (e *engine) handle(c net.Conn, req *http.Request, body string) (raw []byte, keep bool) {
	id := req.Header.Get("Currantford-Request-Id")
	if want := req.Header.Get("Currantford-Expect-Instance"); want != "" && want != e.id {
		return e.response(id, http.StatusMisdirectedRequest, "", "", true), true
	}
	e.mu.Lock()
	if id == "" || e.running >= e.slots {
		e.mu.Unlock()
		status := http.StatusServiceUnavailable
		if id == "" {
			status = http.StatusBadRequest
		}
		return e.response(id, status, "", "", true), true
	}
	e.running++
	r := &run{id: id, engine: e.id, body: body, began: time.Now()}
	r.stamp = fmt.Sprintf("%s.%s.%d", e.id, id, len(e.runs))
	e.runs = append(e.runs, r)
	fails := rand.Float64() < e.fails
	e.mu.Unlock()
	e.rec.addAt(r.began, "%s begins to run %s (%s)", e.id, id, body)
	defer func() {
		e.mu.Lock()
		e.running--
		r.ended = time.Now()
		e.mu.Unlock()
	}()
	if e.events > 0 {
		return nil, e.stream(c, r)
	}
	time.Sleep(e.work)
	status, text := e.answer(r)
	if fails {
		status, text = http.StatusServiceUnavailable, "the ledger behind this server gave no confirmation"
		if rand.IntN(2) == 0 {
			status = http.StatusTooManyRequests
		}
	}
	e.mu.Lock()
	r.status = status
	e.mu.Unlock()
	e.rec.add("%s has run %s and answers %d, stamp %s", e.id, id, status, r.stamp)
	return e.response(id, status, r.stamp, text, false), true
}

func (e *engine) response(id string, status int, stamp, body string, notRun bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nKeep-Alive: timeout=15\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		fmt.Fprintf(&b, "Currantford-Request-Id: %s\r\n", id)
	}
	if stamp != "" {
		fmt.Fprintf(&b, "Currantford-Response-Stamp: %s\r\n", stamp)
	}
	if notRun {
		b.WriteString("Currantford-Not-Run: 1\r\n")
	}
	e.mu.Lock()
	fmt.Fprintf(&b, "Currantford-Load: %d,0,%d\r\n\r\n", e.running, e.slots)
	e.mu.Unlock()
	b.WriteString(body)
	return b.Bytes()
}

// stream answers with events, in chunks. It stops when the channel closes.
func (e *engine) stream(c net.Conn, r *run) (keep bool) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		var b [1]byte
		_, _ = c.Read(b[:]) // nothing more arrives on this channel until the answer has ended
	}()
	defer func() { _ = c.SetReadDeadline(time.Unix(1, 0)); <-gone }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nCurrantford-Request-Id: %s\r\nCurrantford-Response-Stamp: %s\r\n\r\n", r.id, r.stamp)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	r.status = http.StatusOK
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(e.interval):
		case <-gone:
			e.mu.Lock()
			r.brokenOff = true
			e.mu.Unlock()
			e.rec.add("%s: the channel of %s was closed after event %d of %d", e.id, r.id, r.lastEvent, e.events)
			return false
		}
		ev := "id: " + strconv.Itoa(n) + "\ndata: " + r.id + "-" + strconv.Itoa(n) + "\n\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return false
		}
		e.mu.Lock()
		r.lastEvent = n
		e.mu.Unlock()
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	e.rec.add("%s has run %s to its last event", e.id, r.id)
	return false
}
