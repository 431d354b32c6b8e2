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
	var news []Strike
	for _, st := range in {
		// Who has served the request may have seen none of its losses.
		st.Served = st.Served || t.good.knows(Key{st.Content, st.Caller}, now)
		if t.merge(st, now) {
			news = append(news, st)
		}
	}
	return news
}

// merge takes one strike; false if it changes nothing. t.mu is held.
func (t *Table) merge(in Strike, now cf.Millis) bool {
	in.Age, in.Scope = max(in.Age, 0), min(max(in.Scope, AllCallers), Void)
	s := t.suspects[in.Content]
	i := -1
	if s != nil {
		i = s.find(&in)
	}
	if i < 0 {
		return t.add(strike{Strike: in, at: now - in.Age})
	}
	st := &s.strikes[i]
	changed := false
	if st.doubt != proven {
		st.doubt, st.Loss, changed = proven, in.Loss, true
	}
	if in.Served && !st.Served {
		st.Served, changed = true, true
	}
	if in.Scope > st.Scope {
		if in.Scope == Void {
			t.unstrike(st.Target)
		}
		st.Scope, changed = in.Scope, true
	}
	if changed {
		t.refresh(s)
	}
	return changed
}

// SortHeldFirst returns strikes with those of held contents before the others.
func (t *Table) SortHeldFirst(in []Strike) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := func(st Strike) int {
		if s := t.suspects[st.Content]; s != nil {
			return -s.standing()
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
	return t.sums
}

// HeldStrikes returns the strikes of at most so many held contents, those struck last first,
// and how many contents are held.
func (t *Table) HeldStrikes(most int, now cf.Millis) ([]Strike, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.foremost(true)
	return exportsOf(held[:min(most, len(held))], now), len(held)
}

// StrikesByPriority returns the strikes of at most so many contents after the first few: those that
// are held before others, and of these those struck last.
func (t *Table) StrikesByPriority(after, most int, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.foremost(false)
	all = all[min(max(after, 0), len(all)):]
	return exportsOf(all[:min(most, len(all))], now)
}

// foremost returns the suspects in the order in which others are to hear of them.
func (t *Table) foremost(heldOnly bool) []*suspect {
	var out []*suspect
	held := map[*suspect]int{}
	for _, s := range t.suspects {
		if s.held() {
			held[s] = 1
		}
		if held[s] > 0 || !heldOnly {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(held[b]-held[a], cmp.Compare(b.lastAt(), a.lastAt()))
	})
	return out
}

func exportsOf(suspects []*suspect, now cf.Millis) []Strike {
	var out []Strike
	for _, s := range suspects {
		out = append(out, s.exports(now)...)
	}
	return out
}

// ExchangeReply returns what an instance that holds other things must hear: what is foremost
// here after the first few, and what is known of the contents it names.
func (t *Table) ExchangeReply(theirs []Strike, after, most int, now cf.Millis) []Strike {
	out := t.StrikesByPriority(after, most, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	told := map[Digest]bool{}
	for i := range out {
		told[out[i].Content] = true
	}
	for i := range theirs {
		s := t.suspects[theirs[i].Content]
		if s == nil || told[theirs[i].Content] {
			continue
		}
		told[theirs[i].Content] = true
		out = append(out, s.exports(now)...)
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

// exports returns the strikes that are shared.
func (s *suspect) exports(now cf.Millis) []Strike {
	var out []Strike
	for i := range s.strikes {
		if s.strikes[i].shared() {
			out = append(out, s.strikes[i].export(now))
		}
	}
	return out
}

func (s *strike) export(now cf.Millis) Strike {
	out := s.Strike
	out.Age = now - s.at
	return out
}
