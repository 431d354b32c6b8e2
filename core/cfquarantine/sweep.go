package cfquarantine

import (
	"maps"
	"slices"

	cf "currantford"
)

func (s *suspect) lastStrikeAt() cf.Millis {
	if len(s.strikes) == 0 {
		return 0
	}
	return s.strikes[len(s.strikes)-1].pos
}

// Sweep forgets what is over, and voids the strikes at targets that live, and those that
// others explain. current says
// that the instance list is: it would show their successors. It returns what other
// instances must hear of.
func (t *Table) Sweep(current bool, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	updates := t.voidExplained(now)
	for d, s := range t.suspects {
		if current {
			updates = append(updates, t.narrowScopes(s, now, func(st *strike) Scope {
				if st.aliveAt > 0 && now-st.aliveAt > restartDetection {
					return Void
				}
				return st.Scope
			})...)
		}
		for i := len(s.strikes) - 1; i >= 0; i-- {
			if state := s.strikes[i].state; state == lossInconclusive || state == targetReached && now-s.strikes[i].pos > replacementWindow {
				t.removeStrike(s, i)
			}
		}
		keep := suspectTTL
		if n := s.activeStrikes(); n >= maxCrashes {
			keep = 2 * holdDuration(n) // its trial may come late
		}
		if len(s.strikes) == 0 || now-s.lastStrikeAt() > keep {
			t.removeSuspect(d, s)
		}
	}
	return updates
}

// activeStrikes counts the strikes that count for some caller.
func (s *suspect) activeStrikes() int {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].countsAgainst(s.strikes[i].Caller) {
			n++
		}
	}
	return n
}

// evictSuspect drops the suspect with the fewest strikes, of these the one that was struck
// first: requests that each crash one target, as of a caller that changes a byte each
// time, must not push out those that are held. t.mu is held.
func (t *Table) evictSuspect() {
	var drop Digest
	var least *suspect
	for d, s := range t.suspects {
		if least == nil || s.activeStrikes() < least.activeStrikes() || s.activeStrikes() == least.activeStrikes() && s.lastStrikeAt() < least.lastStrikeAt() {
			drop, least = d, s
		}
	}
	t.removeSuspect(drop, least)
}

func (t *Table) removeSuspect(d Digest, s *suspect) {
	t.checksums.xor(s.checksums)
	for i := range s.strikes {
		if s.strikes[i].Scope < Void {
			t.decrementStrikes(s.strikes[i].Target)
		}
	}
	delete(t.suspects, d)
}

// Empty says that there is no evidence against anything.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) == 0
}

// StruckTargets returns the targets at which there are strikes.
func (t *Table) StruckTargets() []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.strikesAt))
}
