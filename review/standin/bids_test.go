//go:build review

package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["mixed"] = caseMixed
	cases["refused"] = caseRefused
}

const bidBudget = 1500 * time.Millisecond

func bidConfig(kind string) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-bid", "host": host, "path-prefix": "/bid/", "kind": kind, "timeout-ms": 1500, "slo-ms": 150,
			"priority": 2, "service": "bid-post", "max-attempts": 3,
		}},
		"services": []map[string]any{{"name": "bid-post", "health-path": "/health", "max-conns": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// startBids starts three entries before engines of one service.
func startBids(rec *recorder, kind string, engines int, answer func(*run) (int, string)) (*deployment, []*engine, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, nil, err
	}
	storeAddr, err := d.serveHTTP(d.store)
	if err != nil {
		return d, nil, err
	}
	var es []*engine
	for i := range engines {
		e := &engine{id: fmt.Sprintf("i-%08x", 0x7b10+i), service: "bid-post", slots: 6, work: 25 * time.Millisecond, answer: answer}
		if err := d.addEngine(e, "ring-hall"); err != nil {
			return d, nil, err
		}
		es = append(es, e)
	}
	d.store.Put("config", "main", bidConfig(kind))
	return d, es, d.startNodes(storeAddr, 3)
}

// traffic lets consumers send bids for a while; each begins a bid every pause. bid returns the body
// of the nth one. retry makes a consumer send a bid once more after a refusal, at another node.
func traffic(d *deployment, consumers int, pause, length time.Duration, bid func(consumer, n int) string, retry bool) []*attempt {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*attempt
	stop := time.Now().Add(length)
	for i := range consumers {
		c := &consumer{name: fmt.Sprintf("consumer-%d", i+1), factor: 1, d: d}
		wg.Go(func() {
			var own sync.WaitGroup
			defer own.Wait()
			time.Sleep(pause * time.Duration(i) / time.Duration(consumers))
			for n := 1; time.Now().Before(stop); n++ {
				own.Go(func() {
					body, began, except := bid(i+1, n), time.Now(), ""
					for range 2 {
						left := bidBudget - time.Since(began)
						a := c.send(c.address(except), "/bid/post", body, left)
						c.note(a)
						mu.Lock()
						all = append(all, a)
						mu.Unlock()
						if !retry || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
							return
						}
						except = a.addr
						time.Sleep(50 * time.Millisecond)
					}
				})
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return all
}

// caseMixed lets three of five engines send 3% of their answers a second time, late, for five
// seconds. Two of five bids lack the name of the buyer, and the service answers them with 400. The
// rule is broken if a consumer gets the answer to another request.
func caseMixed(rec *recorder, trouble bool) (bool, error) {
	d, engines, err := startBids(rec, "safe", 5, func(r *run) (int, string) {
		if !strings.Contains(r.body, "buyer=") {
			return http.StatusBadRequest, "no buyer in: " + r.body
		}
		return http.StatusOK, "recorded: " + r.body
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			rec.add("3 of 5 engines answer 3%% of the requests a second time, late")
			for _, e := range engines[:3] {
				e.set(0.03, 0)
			}
		})
		time.AfterFunc(8*time.Second, func() {
			rec.add("engines answer once")
			for _, e := range engines {
				e.set(0, 0)
			}
		})
	}
	all := traffic(d, 20, 100*time.Millisecond, 11*time.Second, func(consumer, n int) string {
		if n%5 < 2 {
			return fmt.Sprintf("lot=%d-%d amount=100", consumer, n)
		}
		return fmt.Sprintf("lot=%d-%d amount=100 buyer=%d", consumer, n, consumer)
	}, false)
	answered, broken := 0, 0
	for _, a := range all {
		if !a.complete {
			continue
		}
		answered++
		if got := a.header.Get("Currantford-Request-Id"); got != "" && got != a.id {
			broken++
			rec.addAt(a.ended, "MIXED: the consumer of %s (%s) gets the answer to %s: status %d, stamp %s, %q", a.id, a.body, got, a.status, a.header.Get("Currantford-Response-Stamp"), a.answer)
		}
	}
	rec.add("%d attempts, %d answers, %d of them to another request", len(all), answered, broken)
	fmt.Printf("%d attempts, %d answers, %d of them to another request\n", len(all), answered, broken)
	if answered < len(all)/2 || answered < 500 {
		return false, errCannotRun
	}
	return broken > 0, nil
}

// caseRefused lets one of seven engines run 40% of its requests and then answer them with 503
// or 429, without stating that it has not run them, for five seconds. Bids are not idempotent. The rule is
// broken if a bid that has run is answered with 429 or 503.
func caseRefused(rec *recorder, trouble bool) (bool, error) {
	d, engines, err := startBids(rec, "unsafe", 7, func(r *run) (int, string) { return http.StatusOK, "recorded: " + r.body })
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			rec.add("%s fails 40%% of its requests after it has run them, with 503 or 429", engines[0].id)
			engines[0].set(0, 0.4)
		})
		time.AfterFunc(8*time.Second, func() {
			rec.add("%s answers as before", engines[0].id)
			engines[0].set(0, 0)
		})
	}
	all := traffic(d, 10, 200*time.Millisecond, 11*time.Second, func(consumer, n int) string {
		return fmt.Sprintf("lot=%d-%d amount=100 buyer=%d", consumer, n, consumer)
	}, true)
	runs, byBid := map[string]run{}, map[string]int{}
	for _, e := range engines {
		for _, r := range e.allRuns() {
			runs[r.id] = r
			byBid[r.body]++
		}
	}
	broken, twice := 0, 0
	for _, a := range all {
		if r, ran := runs[a.id]; ran && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			broken++
			rec.addAt(a.ended, "REFUSED: %s (%s) is answered %d, and %s has run it; the bid has run %d times", a.id, a.body, a.status, r.engine, byBid[a.body])
		}
	}
	for _, n := range byBid {
		if n > 1 {
			twice++
		}
	}
	rec.add("%d attempts, %d of them refused though they have run; %d bids were recorded more than once", len(all), broken, twice)
	fmt.Printf("%d attempts, %d refused though they have run; %d bids recorded more than once\n", len(all), broken, twice)
	if len(runs) < 200 {
		return false, errCannotRun
	}
	return broken > 0, nil
}
