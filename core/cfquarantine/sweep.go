package cfquarantine

import (
	"maps"
	"slices"

	cf "currantford"
)

func (s *suspect) lastAt() cf.Millis {
	if len(s.strikes) == 0 {
		return 0
	}
	return s.strikes[len(s.strikes)-1].at
}

// Sweep forgets what is over, and voids the strikes at targets that live, and those that
// others explain. current says
// that the instance list is: it would show their successors. It returns what other
// instances must hear of.
func (t *Table) Sweep(current bool, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.explain(now)
	for d, s := range t.suspects {
		if current {
			news = append(news, t.raise(s, now, func(st *strike) Scope {
				if st.heard > 0 && now-st.heard > heardFor {
					return Void
				}
				return st.Scope
			})...)
		}
		for i := len(s.strikes) - 1; i >= 0; i-- {
			if d := s.strikes[i].doubt; d == moot || d == reached && now-s.strikes[i].at > replacedWithin {
				t.forget(s, i)
			}
		}
		keep := suspectFor
		if n := s.standing(); n >= crashesMost {
			keep = 2 * holdFor(n) // its trial may come late
		}
		if len(s.strikes) == 0 || now-s.lastAt() > keep {
			t.remove(d, s)
		}
	}
	return news
}

// standing counts the strikes that count for some caller.
func (s *suspect) standing() int {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].counts(s.strikes[i].Caller) {
			n++
		}
	}
	return n
}

// evict drops the suspect with the fewest strikes, of these the one that was struck
// first: requests that each crash one target, as of a caller that changes a byte each
// time, must not push out those that are held. t.mu is held.
func (t *Table) evict() {
	var drop Digest
	var least *suspect
	for d, s := range t.suspects {
		if least == nil || s.standing() < least.standing() || s.standing() == least.standing() && s.lastAt() < least.lastAt() {
			drop, least = d, s
		}
	}
	t.remove(drop, least)
}

func (t *Table) remove(d Digest, s *suspect) {
	t.sums.toggle(s.part)
	for i := range s.strikes {
		if s.strikes[i].Scope < Void {
			t.unstrike(s.strikes[i].Target)
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
	return slices.Collect(maps.Keys(t.struck))
}
