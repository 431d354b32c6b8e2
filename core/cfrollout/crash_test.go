package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
	"currantford/testbed/cfreplay"
)

// unplacedMost is how long an item that is owed may be at no engine while there is room.
const unplacedMost cf.Millis = 5000

// bursts returns nine engines of twelve slots and a trainer, under three bursts of five
// crashes, 0.4 s apart, of three engines in ten each.
func bursts(seed uint64) cfreplay.Options {
	o := cfreplay.Options{
		Seed: seed, Limits: cfrollout.DefaultLimits,
		Engines:  cfreplay.Engines{Count: 9, Slots: 12, Domains: 3, Alone: 42, Beside: 1.7, Load: 900, LoadsMost: 10},
		Trainers: []cfreplay.Trainer{{Model: "a", Events: 14, Longest: 40, Least: 10, Most: 12, Size: 8, Want: 1, Every: 4000, Train: 750}},
		Crashes:  cfreplay.Crashes{Quarantine: cfquarantine.New("i")},
	}
	for _, at := range []cf.Millis{5000, 11_000, 17_000} {
		for n := range cf.Millis(5) {
			o.Crashes.Waves = append(o.Crashes.Waves, cfreplay.Wave{At: at + 400*n, Share: 0.3, Down: 400})
		}
	}
	return o
}

// Guards against: an item that is never placed again after its engines crashed in a burst.
func TestItemsAreOwedAfterABurstOfCrashes(t *testing.T) {
	for seed := range uint64(20) {
		for _, equal := range []bool{false, true} {
			t.Run(fmt.Sprint("seed ", seed, ", equal ", equal), func(t *testing.T) {
				t.Parallel()
				o := bursts(seed)
				o.Crashes.EqualGroups = equal
				r := cfreplay.New(o)
				r.Run(60_000)
				got := r.Outcomes()[0]
				if n := r.Unplaced(); n >= unplacedMost {
					t.Errorf("an item was at no engine for %d ms while there was room, want less than %d", n, unplacedMost)
				}
				if got.InTime < got.Owed {
					t.Errorf("%d of %d groups in time, %d late, of %d steps", got.InTime, got.Owed, got.Late, got.Steps)
				}
			})
		}
	}
}
