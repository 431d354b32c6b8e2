package cfnode

import (
	"slices"
	"testing"

	cf "currantford"
)

// TestRelayTriesReachEveryInstance guards against an instance that the store refuses and that
// repeatedly asks the same two others, which the store refuses as well.
func TestRelayTriesReachEveryInstance(t *testing.T) {
	all := []string{"holder", "a", "b", "c", "d"}
	for _, working := range all {
		var r relayTable
		now, tries := cf.Millis(10_000), 0
		for served := false; !served; tries++ {
			if tries == len(all) {
				t.Fatalf("%s was not asked in %d tries", working, tries)
			}
			for _, addr := range r.choose(all, now) {
				if served = addr == working; served {
					r.recordSuccess(addr, now)
					break
				}
				r.recordFailure(addr, cf.ErrRefused, now)
			}
			if !served {
				r.pause(now)
				for r.paused(now) {
					now += 50
				}
			}
		}
		if paths := r.choose(all, now); !slices.Contains(paths, working) || paths[0] != working {
			t.Errorf("the next call asks %v, want %s first", paths, working)
		}
		if took := now - 10_000; took > relayAvoidTime {
			t.Errorf("%s was only asked after %d ms", working, took)
		}
	}
}

// TestRelayThatWorksAgainIsTriedFirst guards against an instance that relays calls and is not asked
// because it failed to relay one a moment before.
func TestRelayThatWorksAgainIsTriedFirst(t *testing.T) {
	for _, err := range []error{cf.ErrRefused, cf.ErrUnavailable} {
		var r relayTable
		r.recordFailure("a", err, 1000)
		r.recordSuccess("a", 1100) // a call that was in progress
		if paths := r.choose([]string{"b", "c", "d"}, 1200); paths[0] != "a" {
			t.Errorf("after error %v the next call asks %v, want a first", err, paths)
		}
	}
}
