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
	return s.strikes[len(s.strikes)-1].lostAt
}

// Sweep drops expired strikes and suspects. It voids the strikes at targets that are alive, and
// those that a held request accounts for. current is true if the instance list is up to date, so
// that it would show restarted targets. Sweep returns the strikes that other instances must
// receive.
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
			if state := s.strikes[i].state; state == lossInconclusive || state == targetReached && now-s.strikes[i].lostAt > replacementWindow {
				t.removeStrike(s, i)
			}
		}
		keep := suspectTTL
		if n := s.activeStrikes(); n >= maxCrashes {
			keep = 2 * holdDuration(n) // the send on trial may come late
		}
		if len(s.strikes) == 0 || now-s.lastStrikeAt() > keep {
			t.removeSuspect(d, s)
		}
	}
	return updates
}

// activeStrikes counts the strikes that count against at least one caller.
func (s *suspect) activeStrikes() int {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].countsAgainst(s.strikes[i].Caller) {
			n++
		}
	}
	return n
}

// evictSuspect drops the suspect with the fewest strikes and, among equals, the one whose last
// strike is oldest. Requests that crash one target each, such as those of a caller that changes one
// byte each time, must not displace the held ones. t.mu is held.
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

// Empty reports whether there are no strikes against any request.
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
