package cfnode

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/io/cfguard"
)

// TestStrikeSharingIsRateLimited guards against links between instances that carry nothing but
// strikes. A caller crashes engines with a different request each time, and each crash adds a
// strike to every request that ran there. Without a rate limit all of them would be sent; strikes
// of held requests come first.
func TestStrikeSharingIsRateLimited(t *testing.T) {
	q := newQuarantine(&Node{log: zap.NewNop()})
	q.guard = &cfguard.Guard{Table: cfquarantine.New("e")}
	target := func(n int) cfquarantine.Incarnation {
		return cfquarantine.Incarnation{ID: cf.InstanceID(fmt.Sprint("t", n))}
	}
	held := cfquarantine.KeyOf("POST", "h", "/", "c", []byte("held"))
	for n := range 3 {
		q.guard.Table.Admit(held, target(n), 0)
		q.guard.Table.Lost(held, target(n), true, 0)
		q.guard.Table.Checked(target(n), 0, cfquarantine.LossRefused, 0)
	}
	last, _ := q.guard.Table.HeldStrikes(1, 0)
	sent := 0
	const seconds = 60
	for now := cf.Millis(0); now < seconds*1000; now += 100 {
		var strikes []cfquarantine.Strike
		for n := range 50 {
			key := cfquarantine.KeyOf("POST", "h", "/", "c", []byte(fmt.Sprint(now, n)))
			strikes = append(strikes, cfquarantine.Strike{Content: key.Content, Target: target(n)})
		}
		out := q.limitRate(append(strikes, last[0]), now)
		sent += len(out)
		if len(out) > 0 && len(out) < len(strikes) && out[0].Content != held.Content {
			t.Fatal("a strike of a held request is not sent first")
		}
	}
	if limit := strikesBurst + seconds*strikesRate; sent > limit {
		t.Errorf("%d strikes sent in %d s, want at most %d", sent, seconds, limit)
	}
}

// TestExchangeWithoutPeersDelaysNoLaterOne guards against a starting instance that knows no other
// one yet and therefore learns the held requests a second late.
func TestExchangeWithoutPeersDelaysNoLaterOne(t *testing.T) {
	q := newQuarantine(&Node{log: zap.NewNop()})
	q.exchange(nil, heldExchangeInterval)
	if q.exchangedAt != 0 {
		t.Error("an exchange without peers delays the next one")
	}
}
