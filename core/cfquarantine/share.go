package cfquarantine

import (
	"cmp"
	"slices"

	cf "currantford"
)

// Merge adds strikes that other instances have shared. It returns those that changed this table,
// which are to be passed on.
func (t *Table) Merge(in []Strike, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Strike
	for _, st := range in {
		// The instance that has served the request may have seen none of its losses.
		st.Served = st.Served || t.served.contains(Key{st.Content, st.Caller}, now)
		if t.mergeStrike(st, now) {
			updates = append(updates, st)
		}
	}
	return updates
}

// mergeStrike merges one strike; it returns false if that changes nothing. t.mu is held.
func (t *Table) mergeStrike(in Strike, now cf.Millis) bool {
	in.Age, in.Scope = max(in.Age, 0), min(max(in.Scope, AllCallers), Void)
	s := t.suspects[in.Content]
	i := -1
	if s != nil {
		i = s.indexOf(&in)
	}
	if i < 0 {
		return t.addStrike(strike{Strike: in, lostAt: now - in.Age})
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

// SortHeldFirst returns the strikes ordered by the number of strikes that count against their
// content, so that those of held contents come first.
func (t *Table) SortHeldFirst(in []Strike) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	order := func(st Strike) int {
		if s := t.suspects[st.Content]; s != nil {
			return -s.activeStrikes()
		}
		return 0
	}
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Strike) int { return order(a) - order(b) })
	return out
}

// Checksums returns the checksums of the shared strikes of this instance.
func (t *Table) Checksums() Checksums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checksums
}

// HeldStrikes returns the strikes of at most limit held contents, the most recently struck first,
// and the number of all held contents.
func (t *Table) HeldStrikes(limit int, now cf.Millis) ([]Strike, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.suspectsByPriority(true)
	return exportAll(held[:min(limit, len(held))], now), len(held)
}

// StrikesByPriority returns the strikes of at most limit contents after the first offset ones. Held
// contents come before others, and among each the most recently struck come first.
func (t *Table) StrikesByPriority(offset, limit int, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.suspectsByPriority(false)
	all = all[min(max(offset, 0), len(all)):]
	return exportAll(all[:min(limit, len(all))], now)
}

// suspectsByPriority returns the suspects in the order in which they are sent to other instances.
// t.mu is held.
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

// ExchangeReply returns the strikes to send to an instance whose checksums differ: those of at most
// limit contents from offset on, and those of the contents that its strikes name.
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

// CountContents counts the different contents that strikes are against.
func CountContents(strikes []Strike) int {
	seen := map[Digest]bool{}
	for i := range strikes {
		seen[strikes[i].Content] = true
	}
	return len(seen)
}

// exportStrikes returns the strikes that are shared with other instances.
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
	out.Age = now - s.lostAt
	return out
}
