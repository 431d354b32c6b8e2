package cfquarantine

import (
	"slices"

	cf "currantford"
)

// Answered takes the end of a send that a target answered. It returns what other
// instances must hear of.
func (t *Table) Answered(k Key, target Incarnation, sent, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended(k, target)
	t.good.note(k, now)
	var news []Strike
	if s := t.suspects[k.Content]; s != nil {
		s.answered = now
		news = t.raise(s, now, func(st *strike) Scope {
			if st.Caller == k.Caller {
				return Void
			}
			return SameCaller
		})
	}
	t.alive(target, sent, now)
	return news
}

// alive notes that a target was heard of: it has answered what it was sent after a loss. It
// may still be another start under the same id, which the instance list will tell.
func (t *Table) alive(target Incarnation, sent, now cf.Millis) {
	if t.struck[target] == 0 {
		return
	}
	for _, s := range t.suspects {
		for i := range s.strikes {
			if st := &s.strikes[i]; st.Target == target && st.at < sent && st.heard == 0 && !st.ended {
				st.heard = now
			}
		}
	}
}

// raise raises the standings of a suspect's strikes, and returns those that others must
// hear of. t.mu is held.
func (t *Table) raise(s *suspect, now cf.Millis, standing func(*strike) Scope) []Strike {
	var news []Strike
	changed := false
	for i := range s.strikes {
		st := &s.strikes[i]
		to := standing(st)
		if to <= st.Scope {
			continue
		}
		if to == Void {
			t.unstrike(st.Target)
		}
		st.Scope, changed = to, true
		if st.shared() {
			news = append(news, st.export(now))
		}
	}
	if changed {
		t.refresh(s)
	}
	return news
}

func (t *Table) unstrike(target Incarnation) {
	if t.struck[target]--; t.struck[target] <= 0 {
		delete(t.struck, target)
	}
}

// refresh takes a changed suspect into the sums and wakes who waits. t.mu is held.
func (t *Table) refresh(s *suspect) {
	t.sums.toggle(s.part)
	s.part = Checksums{}
	for i := range s.strikes {
		if s.strikes[i].shared() {
			s.part.All ^= s.strikes[i].sum()
		}
	}
	if s.held() {
		s.part.Held = s.part.All
	}
	t.sums.toggle(s.part)
	t.notify()
}

func (s *Checksums) toggle(part Checksums) {
	s.Held ^= part.Held
	s.All ^= part.All
}

// held says whether the suspect has enough strikes that other instances know to be held
// for some caller.
func (s *suspect) held() bool {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].shared() && s.strikes[i].Scope < Void {
			n++
		}
	}
	return n >= crashesMost
}

// Lost takes the end of a send to which a target gave no answer; alive says that it was
// heard of after it was sent the request. The target is to be checked.
func (t *Table) Lost(k Key, target Incarnation, alive bool, now cf.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(strike{
		Strike: Strike{Content: k.Content, Caller: k.Caller, Target: target, SeenBy: t.self, Served: t.good.knows(k, now)},
		at:     now, doubt: unchecked, alive: alive,
	})
	t.ended(k, target)
}

// add takes a strike that the table does not have, if there is room for it. It is news for
// others only where it displaces none: two tables would else hand each other what each of them
// has dropped. t.mu is held.
func (t *Table) add(st strike) bool {
	s := t.suspects[st.Content]
	if s == nil {
		if len(t.suspects) >= suspectsMost {
			t.evict()
		}
		s = &suspect{}
		t.suspects[st.Content] = s
	}
	if i := s.find(&st.Strike); i >= 0 {
		return false
	}
	full := len(s.strikes) >= strikesMost
	if full && !t.displace(s, &st) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.strikes, st.at, func(x strike, at cf.Millis) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	s.strikes = slices.Insert(s.strikes, at, st)
	if st.Scope < Void {
		t.struck[st.Target]++
	}
	t.refresh(s)
	return !full
}

// displace makes room for a strike: one that does not count goes, or the first, as the latest
// decide how long owed work pauses. Instances see the times of one moment in different orders,
// so those do not displace each other. t.mu is held.
func (t *Table) displace(s *suspect, st *strike) bool {
	i := slices.IndexFunc(s.strikes, func(x strike) bool { return x.Scope == Void || x.doubt >= reached })
	if st.Scope == Void || i < 0 && st.at <= s.strikes[0].at+moment {
		return false
	}
	t.forget(s, max(i, 0))
	return true
}

func (s *suspect) find(st *Strike) int {
	return slices.IndexFunc(s.strikes, func(x strike) bool { return x.is(st) })
}

// forget drops a strike. t.mu is held.
func (t *Table) forget(s *suspect, i int) {
	if s.strikes[i].Scope < Void {
		t.unstrike(s.strikes[i].Target)
	}
	s.strikes = slices.Delete(s.strikes, i, i+1)
}

// Checked takes what a check of a target found: loss is how it is gone, empty if it took
// a connection at checked or later. It returns what other instances must hear of.
func (t *Table) Checked(target Incarnation, checked cf.Millis, loss Loss, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settle(target, now, func(st *strike) bool {
		switch {
		case st.doubt != unchecked:
			return false
		case loss == LossUnreachable && !st.alive:
			// Its machine may have been lost before the request was sent, on a
			// connection that was kept.
			st.doubt = moot
		case loss != "":
			st.doubt, st.Loss = proven, loss
		case st.at <= checked:
			st.doubt = reached
		default:
			return false // it may have gone since
		}
		return true
	})
}

// Replaced takes the word of the instance list that a target is gone, or has started
// again, though it was not draining.
func (t *Table) Replaced(target Incarnation, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.struck[target] == 0 {
		return nil
	}
	return t.settle(target, now, func(st *strike) bool {
		st.heard, st.ended = 0, true
		if st.doubt == proven || st.doubt == moot || now-st.at > replacedWithin {
			return false
		}
		st.doubt, st.Loss = proven, LossReplaced
		return true
	})
}

// settle takes what has become known of the losses at a target. t.mu is held.
func (t *Table) settle(target Incarnation, now cf.Millis, learn func(*strike) bool) []Strike {
	var news []Strike
	for _, s := range t.suspects {
		changed := false
		for i := range s.strikes {
			st := &s.strikes[i]
			if st.Target != target || st.Scope == Void || !learn(st) {
				continue
			}
			changed = true
			if st.shared() {
				news = append(news, st.export(now))
			}
		}
		if changed {
			t.refresh(s)
		}
	}
	return news
}

// NeedsCheck says whether strikes wait for a check of their target.
func (t *Table) NeedsCheck(target Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.struck[target] == 0 {
		return false
	}
	for _, s := range t.suspects {
		if slices.ContainsFunc(s.strikes, func(st strike) bool {
			return st.Target == target && st.doubt == unchecked && st.Scope < Void
		}) {
			return true
		}
	}
	return false
}

// explain voids the strikes that held suspects explain: whoever else ran at a target that
// a held one has crashed was only there. It looks at crashes whose losses have all been
// noted: of two that lost the same three targets neither explains the other. t.mu is held.
func (t *Table) explain(now cf.Millis) []Strike {
	explained := map[Incarnation]bool{}
	for _, s := range t.suspects {
		if !s.held() || now-s.lastAt() < explainAfter {
			continue
		}
		for i := range s.strikes {
			if s.strikes[i].shared() && s.strikes[i].Scope < Void {
				explained[s.strikes[i].Target] = true
			}
		}
	}
	if len(explained) == 0 {
		return nil
	}
	var news []Strike
	for _, s := range t.suspects {
		if s.held() {
			continue
		}
		news = append(news, t.raise(s, now, func(st *strike) Scope {
			if explained[st.Target] && st.doubt != unchecked {
				return Void
			}
			return st.Scope
		})...)
	}
	return news
}

// Release voids all strikes against a content, by hand.
func (t *Table) Release(content Digest, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil {
		return nil
	}
	return t.raise(s, now, func(*strike) Scope { return Void })
}
