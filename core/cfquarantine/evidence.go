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
	t.endSend(k, target)
	t.served.add(k, now)
	var updates []Strike
	if s := t.suspects[k.Content]; s != nil {
		s.lastCompleted = now
		updates = t.narrowScopes(s, now, func(st *strike) Scope {
			if st.Caller == k.Caller {
				return Void
			}
			return SameCaller
		})
	}
	t.noteAlive(target, sent, now)
	return updates
}

// noteAlive notes that a target was heard of: it has answered what it was sent after a loss. It
// may still be another start under the same id, which the instance list will tell.
func (t *Table) noteAlive(target Incarnation, sent, now cf.Millis) {
	if t.strikesAt[target] == 0 {
		return
	}
	for _, s := range t.suspects {
		for i := range s.strikes {
			if st := &s.strikes[i]; st.Target == target && st.pos < sent && st.aliveAt == 0 && !st.replaced {
				st.aliveAt = now
			}
		}
	}
}

// narrowScopes raises the standings of a suspect's strikes, and returns those that others must
// hear of. t.mu is held.
func (t *Table) narrowScopes(s *suspect, now cf.Millis, scopeOf func(*strike) Scope) []Strike {
	var updates []Strike
	changed := false
	for i := range s.strikes {
		st := &s.strikes[i]
		to := scopeOf(st)
		if to <= st.Scope {
			continue
		}
		if to == Void {
			t.decrementStrikes(st.Target)
		}
		st.Scope, changed = to, true
		if st.shareable() {
			updates = append(updates, st.export(now))
		}
	}
	if changed {
		t.suspectChanged(s)
	}
	return updates
}

func (t *Table) decrementStrikes(target Incarnation) {
	if t.strikesAt[target]--; t.strikesAt[target] <= 0 {
		delete(t.strikesAt, target)
	}
}

// suspectChanged takes a changed suspect into the sums and wakes who waits. t.mu is held.
func (t *Table) suspectChanged(s *suspect) {
	t.checksums.xor(s.checksums)
	s.checksums = Checksums{}
	for i := range s.strikes {
		if s.strikes[i].shareable() {
			s.checksums.All ^= s.strikes[i].checksum()
		}
	}
	if s.isHeld() {
		s.checksums.Held = s.checksums.All
	}
	t.checksums.xor(s.checksums)
	t.notify()
}

func (s *Checksums) xor(part Checksums) {
	s.Held ^= part.Held
	s.All ^= part.All
}

// isHeld says whether the suspect has enough strikes that other instances know to be held
// for some caller.
func (s *suspect) isHeld() bool {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].shareable() && s.strikes[i].Scope < Void {
			n++
		}
	}
	return n >= maxCrashes
}

// Lost takes the end of a send to which a target gave no answer; alive says that it was
// heard of after it was sent the request. The target is to be checked.
func (t *Table) Lost(k Key, target Incarnation, aliveAfterSend bool, now cf.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addStrike(strike{
		Strike: Strike{Content: k.Content, Caller: k.Caller, Target: target, SeenBy: t.self, Served: t.served.contains(k, now)},
		pos:    now, state: lossUnchecked, aliveAfterSend: aliveAfterSend,
	})
	t.endSend(k, target)
}

// addStrike takes a strike that the table does not have, if there is room for it. It is news for
// others only where it displaces none: two tables would else hand each other what each of them
// has dropped. t.mu is held.
func (t *Table) addStrike(st strike) bool {
	s := t.suspects[st.Content]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.evictSuspect()
		}
		s = &suspect{}
		t.suspects[st.Content] = s
	}
	if i := s.indexOf(&st.Strike); i >= 0 {
		return false
	}
	full := len(s.strikes) >= maxStrikes
	if full && !t.evictStrike(s, &st) {
		return false
	}
	pos, _ := slices.BinarySearchFunc(s.strikes, st.pos, func(x strike, pos cf.Millis) int {
		if x.pos <= pos {
			return -1
		}
		return 1
	})
	s.strikes = slices.Insert(s.strikes, pos, st)
	if st.Scope < Void {
		t.strikesAt[st.Target]++
	}
	t.suspectChanged(s)
	return !full
}

// evictStrike makes room for a strike: one that does not count goes, or the first, as the latest
// decide how long owed work pauses. Instances see the times of one moment in different orders,
// so those do not displace each other. t.mu is held.
func (t *Table) evictStrike(s *suspect, st *strike) bool {
	i := slices.IndexFunc(s.strikes, func(x strike) bool { return x.Scope == Void || x.state >= targetReached })
	if st.Scope == Void || i < 0 && st.pos <= s.strikes[0].pos+crashWindow {
		return false
	}
	t.removeStrike(s, max(i, 0))
	return true
}

func (s *suspect) indexOf(st *Strike) int {
	return slices.IndexFunc(s.strikes, func(x strike) bool { return x.sameLoss(st) })
}

// removeStrike drops a strike. t.mu is held.
func (t *Table) removeStrike(s *suspect, i int) {
	if s.strikes[i].Scope < Void {
		t.decrementStrikes(s.strikes[i].Target)
	}
	s.strikes = slices.Delete(s.strikes, i, i+1)
}

// Checked takes what a check of a target found: loss is how it is gone, empty if it took
// a connection at checked or later. It returns what other instances must hear of.
func (t *Table) Checked(target Incarnation, checkedAt cf.Millis, loss Loss, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resolveLosses(target, now, func(st *strike) bool {
		switch {
		case st.state != lossUnchecked:
			return false
		case loss == LossUnreachable && !st.aliveAfterSend:
			// Its machine may have been lost before the request was sent, on a
			// connection that was kept.
			st.state = lossInconclusive
		case loss != "":
			st.state, st.Loss = lossConfirmed, loss
		case st.pos <= checkedAt:
			st.state = targetReached
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
	if t.strikesAt[target] == 0 {
		return nil
	}
	return t.resolveLosses(target, now, func(st *strike) bool {
		st.aliveAt, st.replaced = 0, true
		if st.state == lossConfirmed || st.state == lossInconclusive || now-st.pos > replacementWindow {
			return false
		}
		st.state, st.Loss = lossConfirmed, LossReplaced
		return true
	})
}

// resolveLosses takes what has become known of the losses at a target. t.mu is held.
func (t *Table) resolveLosses(target Incarnation, now cf.Millis, update func(*strike) bool) []Strike {
	var updates []Strike
	for _, s := range t.suspects {
		changed := false
		for i := range s.strikes {
			st := &s.strikes[i]
			if st.Target != target || st.Scope == Void || !update(st) {
				continue
			}
			changed = true
			if st.shareable() {
				updates = append(updates, st.export(now))
			}
		}
		if changed {
			t.suspectChanged(s)
		}
	}
	return updates
}

// NeedsCheck says whether strikes wait for a check of their target.
func (t *Table) NeedsCheck(target Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.strikesAt[target] == 0 {
		return false
	}
	for _, s := range t.suspects {
		if slices.ContainsFunc(s.strikes, func(st strike) bool {
			return st.Target == target && st.state == lossUnchecked && st.Scope < Void
		}) {
			return true
		}
	}
	return false
}

// voidExplained voids the strikes that held suspects explain: whoever else ran at a target that
// a held one has crashed was only there. It looks at crashes whose losses have all been
// noted: of two that lost the same three targets neither explains the other. t.mu is held.
func (t *Table) voidExplained(now cf.Millis) []Strike {
	explained := map[Incarnation]bool{}
	for _, s := range t.suspects {
		if !s.isHeld() || now-s.lastStrikeAt() < attributionDelay {
			continue
		}
		for i := range s.strikes {
			if s.strikes[i].shareable() && s.strikes[i].Scope < Void {
				explained[s.strikes[i].Target] = true
			}
		}
	}
	if len(explained) == 0 {
		return nil
	}
	var updates []Strike
	for _, s := range t.suspects {
		if s.isHeld() {
			continue
		}
		updates = append(updates, t.narrowScopes(s, now, func(st *strike) Scope {
			if explained[st.Target] && st.state != lossUnchecked {
				return Void
			}
			return st.Scope
		})...)
	}
	return updates
}

// Release voids all strikes against a content, by hand.
func (t *Table) Release(content Digest, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil {
		return nil
	}
	return t.narrowScopes(s, now, func(*strike) Scope { return Void })
}
