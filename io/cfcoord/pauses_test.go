package cfcoord

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/io/cfguard"
	"currantford/testbed/cfstandin"
)

// TestEachPauseIsLoggedOnce guards against logging all pauses in each planning pass while many
// items pause at the same time.
func TestEachPauseIsLoggedOnce(t *testing.T) {
	const items, passes = 2000, 3
	core, logs := observer.New(zap.InfoLevel)
	targets, site := &unreachableTargets{}, engineSite(t)
	guard := cfguard.New(cfguard.Options{
		Self: "i", Targets: targets, Site: site, Share: func([]cfquarantine.Strike) {},
		Metrics: cfguard.NewMetrics(prometheus.NewRegistry()), Log: zap.New(core),
	})
	t.Cleanup(func() { _ = guard.Close() })
	key := cfquarantine.KeyOf("POST", "h", "/", "h", []byte("p"))
	var strikes []cfquarantine.Strike
	for n := range 6 {
		strikes = append(strikes, cfquarantine.Strike{
			Content: key.Content, Caller: key.Caller, Target: cfquarantine.Incarnation{ID: cf.InstanceID(fmt.Sprint("gone", n)), Born: 1}, Loss: cfquarantine.LossRefused,
		})
	}
	guard.Sync("store", strikes)
	c := New(Options{
		Store: cfstandin.NewMemStore(), Targets: targets, Site: site, Codec: cfstandin.Codec{}, Lease: heldLease{},
		Guard: guard, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.New(core),
	})
	for range passes {
		for n := range items {
			c.mu.Lock()
			v := c.admitDeferred(cf.RequestID(fmt.Sprint("item-", n)), key, cf.Target{ID: "e", Started: 1}, cfquarantine.DeferredWork{Isolated: true, WaitingSince: cf.Uptime()})
			c.mu.Unlock()
			if v.Pass || v.RetryAt == 0 {
				t.Fatalf("an item does not pause after %d crashes: %+v", len(strikes), v)
			}
		}
	}
	if n := logs.FilterMessage("request_paused").Len(); n != items {
		t.Errorf("%d log lines for %d pauses in %d passes", n, items, passes)
	}
}
