package cfquarantine

import (
	"cmp"
	"slices"

	cf "currantford"
)

// Merge takes strikes that other instances share. It returns those that were news here,
// which are to be passed on.
func (t *Table) Merge(in []Strike, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Strike
	for _, st := range in {
		// Who has served the request may have seen none of its losses.
		st.Served = st.Served || t.served.contains(Key{st.Content, st.Caller}, now)
		if t.mergeStrike(st, now) {
			updates = append(updates, st)
		}
	}
	return updates
}

// mergeStrike takes one strike; false if it changes nothing. t.mu is held.
func (t *Table) mergeStrike(in Strike, now cf.Millis) bool {
	in.Age, in.Scope = max(in.Age, 0), min(max(in.Scope, AllCallers), Void)
	s := t.suspects[in.Content]
	i := -1
	if s != nil {
		i = s.indexOf(&in)
	}
	if i < 0 {
		return t.addStrike(strike{Strike: in, pos: now - in.Age})
	}
	st := &s.strikes[i]
	changed := false
	if st.state != lossConfirmed {
		st.state, st.Loss, changed = lossConfirmed, in.Loss, true
	}
	if in.Served && !st.Served {
		st.Served, changed = true, true
	}
	if in.Scope > st.Scope {
		if in.Scope == Void {
			t.decrementStrikes(st.Target)
		}
		st.Scope, changed = in.Scope, true
	}
	if changed {
		t.suspectChanged(s)
	}
	return changed
}

// SortHeldFirst returns strikes with those of held contents before the others.
func (t *Table) SortHeldFirst(in []Strike) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := func(st Strike) int {
		if s := t.suspects[st.Content]; s != nil {
			return -s.activeStrikes()
		}
		return 0
	}
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Strike) int { return rank(a) - rank(b) })
	return out
}

// Checksums identify what this instance holds.
func (t *Table) Checksums() Checksums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checksums
}

// HeldStrikes returns the strikes of at most so many held contents, those struck last first,
// and how many contents are held.
func (t *Table) HeldStrikes(limit int, now cf.Millis) ([]Strike, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.suspectsByPriority(true)
	return exportAll(held[:min(limit, len(held))], now), len(held)
}

// StrikesByPriority returns the strikes of at most so many contents after the first few: those that
// are held before others, and of these those struck last.
func (t *Table) StrikesByPriority(offset, limit int, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.suspectsByPriority(false)
	all = all[min(max(offset, 0), len(all)):]
	return exportAll(all[:min(limit, len(all))], now)
}

// suspectsByPriority returns the suspects in the order in which others are to hear of them.
func (t *Table) suspectsByPriority(heldOnly bool) []*suspect {
	var out []*suspect
	held := map[*suspect]int{}
	for _, s := range t.suspects {
		if s.isHeld() {
			held[s] = 1
		}
		if held[s] > 0 || !heldOnly {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(held[b]-held[a], cmp.Compare(b.lastStrikeAt(), a.lastStrikeAt()))
	})
	return out
}

func exportAll(suspects []*suspect, now cf.Millis) []Strike {
	var out []Strike
	for _, s := range suspects {
		out = append(out, s.exportStrikes(now)...)
	}
	return out
}

// ExchangeReply returns what an instance that holds other things must hear: what is foremost
// here after the first few, and what is known of the contents it names.
func (t *Table) ExchangeReply(remote []Strike, offset, limit int, now cf.Millis) []Strike {
	out := t.StrikesByPriority(offset, limit, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	included := map[Digest]bool{}
	for i := range out {
		included[out[i].Content] = true
	}
	for i := range remote {
		s := t.suspects[remote[i].Content]
		if s == nil || included[remote[i].Content] {
			continue
		}
		included[remote[i].Content] = true
		out = append(out, s.exportStrikes(now)...)
	}
	return out
}

// CountContents counts the contents that strikes are against.
func CountContents(strikes []Strike) int {
	seen := map[Digest]bool{}
	for i := range strikes {
		seen[strikes[i].Content] = true
	}
	return len(seen)
}

// exportStrikes returns the strikes that are shared.
func (s *suspect) exportStrikes(now cf.Millis) []Strike {
	var out []Strike
	for i := range s.strikes {
		if s.strikes[i].shareable() {
			out = append(out, s.strikes[i].export(now))
		}
	}
	return out
}

func (s *strike) export(now cf.Millis) Strike {
	out := s.Strike
	out.Age = now - s.pos
	return out
}
