package systemtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// closeRaceWindow is the time after a request's last byte within which its connection may still
// close without an answer, provided that the request was not forwarded.
const closeRaceWindow = 200 * time.Millisecond

type (
	// unanswered is a request whose connection closed before the complete answer.
	unanswered struct {
		id        string
		sinceSent time.Duration // time since its last byte was sent
		err       error
	}

	// keepAliveCallers sends requests on persistent connections and collects those without an
	// answer.
	keepAliveCallers struct {
		mu         sync.Mutex
		answered   map[int]int // the number of answers by status
		unanswered []unanswered
	}
)

// run sends requests to an instance until stop is closed or the instance accepts no connection. The
// parameter head holds each request's first line and the header lines that it needs.
func (k *keepAliveCallers) run(e *entry, name, head string, pause func() time.Duration, stop <-chan struct{}) {
	for n := 0; ; {
		conn, err := net.DialTimeout("tcp", e.callerAddr, time.Second)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for open := true; open; n++ {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(pause()):
			}
			open = k.send(conn, r, fmt.Sprintf("%s-%d", name, n), head)
		}
		_ = conn.Close()
	}
}

// send sends one request and returns whether the connection may be used for another one.
func (k *keepAliveCallers) send(conn net.Conn, r *bufio.Reader, id, head string) bool {
	_, err := fmt.Fprintf(conn, "%s\r\nHost: %s\r\nCurrantford-Request-Id: %s\r\nCurrantford-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nab", head, host, id)
	sent := time.Now()
	if err != nil {
		return false // the request was not sent completely
	}
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.unanswered = append(k.unanswered, unanswered{id, time.Since(sent), err})
		return false
	}
	k.answered[resp.StatusCode]++
	return !resp.Close
}

// checkNoneLost fails the test for each request that was lost.
func (k *keepAliveCallers) checkNoneLost(s *deployment) {
	s.t.Helper()
	s.t.Logf("answers by status: %v; connections closed during a request: %d", k.answered, len(k.unanswered))
	for _, u := range k.unanswered {
		switch {
		case countRuns(s.plainTargets, u.id) > 0:
			s.t.Errorf("%s was forwarded and got no answer, after %s: %v", u.id, u.sinceSent, u.err)
		case u.sinceSent > closeRaceWindow:
			s.t.Errorf("%s got no answer, after %s: %v", u.id, u.sinceSent, u.err)
		}
	}
}

// churnConfig puts configurations with changing limits, timeouts and routes until stop is closed.
func (s *deployment) churnConfig(interval time.Duration, stop <-chan struct{}) {
	for version := 2; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		c := map[string]any{}
		raw, _ := json.Marshal(s.config)
		_ = json.Unmarshal(raw, &c)
		routes := c["routes"].([]any)
		limits := c["limits"].(map[string]any)
		limits["idle-timeout-ms"] = []int{300, 15000}[version%2]
		limits["header-timeout-ms"] = []int{3000, 500}[version/2%2]
		limits["max-body-bytes"] = []int{1 << 20, 64 << 10}[version/3%2]
		for _, r := range routes {
			if r := r.(map[string]any); r["service"] == plainService {
				r["timeout-ms"] = []int{2000, 700}[version/2%2]
			}
		}
		if version%5 == 0 {
			c["routes"] = routes[:len(routes)-1] // the last route, for bids, is left out
		}
		c["version"] = version
		s.store.Put("config", "main", c)
	}
}

// TestPlannedChangesCloseNoConnectionInUse guards against persistent connections that close while a
// request is in progress, during rapid configuration changes, reloads, and graceful stops of
// instances one after another and at the same time.
func TestPlannedChangesCloseNoConnectionInUse(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 4, engines: 1, plainTargets: 4, eventInterval: 10 * time.Millisecond})
	callers := &keepAliveCallers{answered: map[int]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.churnConfig(150*time.Millisecond, stop) })
	b := newStep("b1", "m0", 2, 4, 400)
	s.submitUntilAccepted(b)
	heads := []string{
		"POST " + plainPrefix + "a HTTP/1.1", "POST /bids/a HTTP/1.1",
		"GET /currantford/lots/b1?after=8 HTTP/1.1\r\nCurrantford-Wait-Ms: 700", // no result is there yet, so the call waits
	}
	pauses := []func() time.Duration{
		func() time.Duration { return time.Duration(rand.IntN(10)) * time.Millisecond },
		func() time.Duration { return 240 * time.Millisecond },                                 // most of the short idle timeout
		func() time.Duration { return time.Duration(2000+rand.IntN(1500)) * time.Millisecond }, // close to the time at which idle connections are closed
	}
	for i := range 96 {
		wg.Go(func() {
			callers.run(s.entries[i%4], fmt.Sprintf("r%d", i), heads[i/4%3], pauses[i/12%3], stop)
		})
	}
	for i := range 60 {
		time.Sleep(150 * time.Millisecond)
		switch i {
		case 14, 20: // the second stop begins while the first is in progress
			s.entries[i/20].signal(syscall.SIGTERM)
		case 50:
			s.entries[2].signal(syscall.SIGTERM)
		default:
			s.entries[3].signal(syscall.SIGHUP)
		}
	}
	for _, e := range s.entries[:3] {
		<-e.done
	}
	close(stop)
	wg.Wait()
	callers.checkNoneLost(s)
}

// TestReloadDuringStartup guards against a reload signal that ends a process which is still
// starting.
func TestReloadDuringStartup(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 2, engines: 1})
	e := s.entries[1]
	e.kill()
	settings, err := os.ReadFile(e.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	// The starting process blocks on its settings until they are written to the FIFO.
	if err := errors.Join(os.Remove(e.settingsPath), syscall.Mkfifo(e.settingsPath, 0o600)); err != nil {
		t.Fatal(err)
	}
	e.start()
	pipe, err := os.OpenFile(e.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	e.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	if err := errors.Join(os.Remove(e.settingsPath), os.WriteFile(e.settingsPath, settings, 0o600)); err != nil {
		t.Fatal(err)
	}
	_, err = pipe.Write(settings)
	if err = errors.Join(err, pipe.Close()); err != nil {
		t.Fatal(err)
	}
	e.awaitReady()
	eventually(t, "reload", func() bool { return e.logField("reloaded", "msg") != "" })
}
