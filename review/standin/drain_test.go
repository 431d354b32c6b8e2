//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	platform "currantford/platform/standin"
)

func init() { cases["drain"] = caseDrain }

const (
	drainMs   = 2000 * time.Millisecond
	beat      = 1200 * time.Millisecond
	releaseAt = 740 * time.Millisecond
)

// publish writes the engine's entry, with another seq each time.
func (e *engine) publish(store *platform.Store, seq int) {
	store.Put("servers", e.id, map[string]any{
		"service": e.service, "addr": e.addr, "zone": "ring-hall", "version": "v1", "slots": e.slots, "state": "ready", "cold-left-ms": 0, "seq": seq,
	})
}

// caseDrain lets the store turn away the three machines of the coordinator's zone, of nine, with 503
// for 9 s, while five of twelve engines are replaced one after the other. These engines do not
// report that they drain: their entry is removed, and they serve for drain-ms and 0.25 s more. The
// rule is broken if a request that a machine of another zone took reaches an engine later than
// drain-ms after the removal of its entry.
func caseDrain(rec *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	var engines []*engine
	addEngine := func(i int) (*engine, error) {
		e := &engine{id: fmt.Sprintf("i-%08x", 0x9d00+i), service: "bid-post", slots: 6, work: 25 * time.Millisecond,
			answer: func(r *run) (int, string) { return http.StatusOK, "recorded: " + r.body }}
		return e, d.addEngine(e, "ring-hall")
	}
	const count, replaced = 12, 5
	for i := range count {
		e, err := addEngine(i)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	d.store.Put("config", "main", bidConfig("unsafe"))
	proxies := map[string]*platform.StoreProxy{}
	if err := d.startNodesAt(9, func(name string) (string, error) {
		proxies[name] = platform.NewStoreProxy(d.store)
		return d.serveHTTP(proxies[name])
	}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	removed := map[string]time.Time{}
	var mu sync.Mutex
	beats := func(e *engine) {
		wg.Go(func() {
			for seq := 1; ; seq++ {
				select {
				case <-stop:
					return
				case <-time.After(beat):
				}
				mu.Lock()
				if removed[e.id].IsZero() {
					e.publish(d.store, seq)
				}
				mu.Unlock()
			}
		})
	}
	for _, e := range engines {
		beats(e)
	}
	var h struct {
		Entry string `json:"entry"`
	}
	if err := json.Unmarshal(d.store.Spec("currantford-leases", "coordinator"), &h); err != nil {
		return false, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	zone := d.zoneOf(h.Entry)
	turnedAway := map[string]bool{}
	for _, n := range d.entries() {
		turnedAway[n.name] = trouble && n.zone == zone
	}
	began := time.Now()
	at := func(t time.Duration, f func()) {
		wg.Go(func() {
			select {
			case <-time.After(time.Until(began.Add(t))):
				f()
			case <-stop:
			}
		})
	}
	const troubleAt = 5 * time.Second
	at(troubleAt, func() {
		for name, away := range turnedAway {
			if away {
				rec.add("the store answers %s with 503; the coordinator is %s", name, h.Entry)
				proxies[name].SetRejection(platform.RejectBusy)
			}
		}
	})
	at(troubleAt+9*time.Second, func() {
		for _, p := range proxies {
			p.SetRejection(platform.RejectNone)
		}
		rec.add("the store serves all machines")
	})
	// The third of the five engines leaves 0.25 s after the store begins to turn machines away.
	for i := range replaced {
		leaveAt := troubleAt + 250*time.Millisecond + time.Duration(i-2)*releaseAt
		at(leaveAt-time.Second, func() {
			e, err := addEngine(count + i)
			if err != nil {
				return
			}
			mu.Lock()
			engines = append(engines, e)
			mu.Unlock()
			beats(e)
		})
		at(leaveAt, func() {
			mu.Lock()
			e := engines[i]
			d.store.Remove("servers", e.id)
			removed[e.id] = time.Now()
			mu.Unlock()
			rec.add("the entry of %s is removed", e.id)
			at(leaveAt+drainMs+250*time.Millisecond, func() { rec.add("%s exits", e.id); e.exit() })
		})
	}
	all := traffic(d, 20, 100*time.Millisecond, 12*time.Second, func(consumer, n int) string {
		return fmt.Sprintf("lot=%d-%d amount=100 buyer=%d", consumer, n, consumer)
	}, false)
	sent := map[string]*attempt{}
	for _, a := range all {
		sent[a.id] = a
	}
	late, lost := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, e := range engines {
		gone := removed[e.id]
		for _, r := range e.allRuns() {
			a := sent[r.id]
			if gone.IsZero() || a == nil || r.began.Sub(gone) <= drainMs || turnedAway[a.node] {
				continue
			}
			late++
			if a.status != http.StatusOK {
				lost++
			}
			rec.addAt(r.began, "DRAIN: %s, taken by %s, reaches %s %.2f s after the removal of its entry; its consumer gets %d", r.id, a.node, e.id, r.began.Sub(gone).Seconds(), a.status)
		}
	}
	rec.add("%d bids; %d reached an engine later than drain-ms after it was gone, %d of these were lost", len(all), late, lost)
	fmt.Printf("%d bids; %d reached an engine later than drain-ms after it was gone, %d of these were lost\n", len(all), late, lost)
	if len(all) < 500 {
		return false, errCannotRun
	}
	return late > 0, nil
}
