//go:build review

package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// consumer asks the directory where to connect, and keeps the response as long as it says, some
	// three times as long.
	consumer struct {
		name   string
		factor float64 // how many times ttl-s a response is kept
		d      *deployment

		mu     sync.Mutex
		addrs  []string
		until  time.Time
		number int
	}

	// attempt is one consumer attempt and its answer.
	attempt struct {
		id, addr, node, body string
		sent, ended          time.Time // sent: when the last byte was written
		status               int
		header               http.Header
		answer               string
		// complete is set if the whole answer has arrived.
		complete bool
		err      error
	}
)

// resolve asks a directory for the addresses, up to three nodes.
func (c *consumer) resolve() error {
	nodes := c.d.entries()
	for _, i := range rand.Perm(len(nodes))[:min(3, len(nodes))] {
		q := url.Values{"name": {host}, "region": {"tas-north"}, "zone": {"ring-hall"}}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + nodes[i].directory + "/currantford/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var a struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl-s"`
		}
		if err != nil || json.Unmarshal(raw, &a) != nil || len(a.Addrs) == 0 {
			continue
		}
		kept := time.Duration(c.factor * min(a.TTL, 5) * float64(time.Second))
		c.mu.Lock()
		c.addrs, c.until = a.Addrs, time.Now().Add(kept)
		c.mu.Unlock()
		var names []string
		for _, x := range a.Addrs {
			names = append(names, c.d.byCallers(x).name)
		}
		c.d.rec.add("%s resolves: %s for %.1f s", c.name, strings.Join(names, " "), kept.Seconds())
		return nil
	}
	return errors.New("no directory answers")
}

// address returns one of the addresses at random, except one that has just failed.
func (c *consumer) address(except string) string {
	c.mu.Lock()
	expired := !time.Now().Before(c.until)
	c.mu.Unlock()
	if expired {
		_ = c.resolve() // the old response is kept if there is no new one
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var fit []string
	for _, a := range c.addrs {
		if a != except {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		fit = c.addrs
	}
	if len(fit) == 0 {
		return ""
	}
	return fit[rand.IntN(len(fit))]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one attempt on a new channel.
func (c *consumer) send(addr, path, body string, budget time.Duration) *attempt {
	a := &attempt{id: newID(), addr: addr, node: c.d.byCallers(addr).name, body: body}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	sent := make(chan time.Time, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		select {
		case sent <- time.Now():
		default:
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Currantford-Request-Id", a.id)
	req.Header.Set("Currantford-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	select {
	case a.sent = <-sent:
	default:
	}
	if err != nil {
		a.ended, a.err = time.Now(), err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	a.ended, a.answer, a.err, a.complete = time.Now(), string(raw), err, err == nil
	return a
}

func (c *consumer) note(a *attempt) {
	c.d.rec.addAt(a.sent, "%s sends %s to %s (%.60s)", c.name, a.id, a.node, a.body)
	what := fmt.Sprintf("status %d, complete %t, stamp %s", a.status, a.complete, a.header.Get("Currantford-Response-Stamp"))
	if a.err != nil {
		what += ", " + a.err.Error()
	}
	c.d.rec.addAt(a.ended, "%s gets for %s: %s", c.name, a.id, what)
}
