package cfquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfquarantine"
)

// TestStrikePropagationTerminates guards against strikes that circulate between instances for ever:
// each instance with a full table drops one strike for another, and later accepts the first again.
func TestStrikePropagationTerminates(t *testing.T) {
	const instances, strikes, maxMessages = 20, 24, 20_000
	type message struct {
		at      cf.Millis
		to      int
		strikes []cfquarantine.Strike
	}
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := make([]*cfquarantine.Table, instances)
		for i := range tables {
			tables[i] = cfquarantine.New(cf.EntryID(fmt.Sprint("entry-", i)))
		}
		var queue []message
		send := func(from int, batch []cfquarantine.Strike, now cf.Millis) {
			if len(batch) == 0 {
				return
			}
			for _, to := range []int{0, (from + 1) % instances, (from + instances - 1) % instances} {
				if to != from {
					queue = append(queue, message{now + 1 + cf.Millis(rng.IntN(16)), to, batch})
				}
			}
		}
		now := cf.Millis(1000)
		deliver := func(after string) {
			n := 0
			for ; len(queue) > 0 && n < maxMessages; n++ {
				next := 0
				for i := range queue {
					if queue[i].at < queue[next].at {
						next = i
					}
				}
				m := queue[next]
				queue = slices.Delete(queue, next, next+1)
				now = m.at
				send(m.to, tables[m.to].Merge(m.strikes, now), now)
			}
			if len(queue) > 0 {
				t.Fatalf("seed %d, %s: %d messages are in flight after %d were delivered", seed, after, len(queue), n)
			}
		}
		key := cfquarantine.KeyOf("POST", "host", "/path", "caller", []byte("body"))
		for i := range strikes {
			at, from := now+cf.Millis(rng.IntN(10)), rng.IntN(instances)
			target := cfquarantine.Incarnation{ID: cf.InstanceID(fmt.Sprint("target-", i)), Born: 1}
			tables[from].Admit(key, target, at-1)
			tables[from].Lost(key, target, false, at)
			send(from, tables[from].Checked(target, at+1, cfquarantine.LossRefused, at+2), at+2)
		}
		deliver("crashes")
		healthy := cfquarantine.Incarnation{ID: "sound", Born: 1}
		send(1, tables[1].Answered(key, healthy, now, now+1), now+1)
		deliver("an answer")
	}
}
