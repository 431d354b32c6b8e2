package cfnode

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/io/cfguard"
)

// Symptom: links between instances carry nothing but news of crashes.
// Sequence: a caller crashes engines by ever other requests; each crash costs all that ran
// there a strike.
// Cause guarded against: news without a bound. What is held goes first.
func TestNewsOfCrashesAreBounded(t *testing.T) {
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
		var news []cfquarantine.Strike
		for n := range 50 {
			key := cfquarantine.KeyOf("POST", "h", "/", "c", []byte(fmt.Sprint(now, n)))
			news = append(news, cfquarantine.Strike{Content: key.Content, Target: target(n)})
		}
		out := q.within(append(news, last[0]), now)
		sent += len(out)
		if len(out) > 0 && len(out) < len(news) && out[0].Content != held.Content {
			t.Fatal("news of what is held wait behind others")
		}
	}
	if most := strikesBurst + seconds*strikesRate; sent > most {
		t.Errorf("%d strikes in %d s, want %d at most", sent, seconds, most)
	}
}

// Guards against: a starting instance that knows no other one and so learns a second late what
// is held.
func TestExchangeWithNobodyDelaysNone(t *testing.T) {
	q := newQuarantine(&Node{log: zap.NewNop()})
	q.exchange(nil, exchangeEvery)
	if q.exchanged != 0 {
		t.Error("the next exchange waits for one that asked nobody")
	}
}
