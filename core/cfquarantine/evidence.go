package cfquarantine

import (
	"slices"

	cf "currantford"
)

// Answered ends a send that the target answered. It returns the strikes that other instances must
// receive.
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

// noteAlive records that a target answered a request that was sent after a loss. The answer may
// still come from another incarnation under the same id, which the instance list will show.
func (t *Table) noteAlive(target Incarnation, sent, now cf.Millis) {
	if t.strikesAt[target] == 0 {
		return
	}
	for _, s := range t.suspects {
		for i := range s.strikes {
			if st := &s.strikes[i]; st.Target == target && st.lostAt < sent && st.aliveAt == 0 && !st.replaced {
				st.aliveAt = now
			}
		}
	}
}

// narrowScopes narrows the scopes of a suspect's strikes, and returns those that other instances
// must receive. t.mu is held.
func (t *Table) narrowScopes(s *suspect, now cf.Millis, scopeOf func(*strike) Scope) []Strike {
	var updates []Strike
	changed := false
	for i := range s.strikes {
		st := &s.strikes[i]
		scope := scopeOf(st)
		if scope <= st.Scope {
			continue
		}
		if scope == Void {
			t.decrementStrikes(st.Target)
		}
		st.Scope, changed = scope, true
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

// suspectChanged updates the checksums after a change of a suspect and wakes waiting requests. t.mu
// is held.
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

func (s *Checksums) xor(other Checksums) {
	s.Held ^= other.Held
	s.All ^= other.All
}

// isHeld reports whether the suspect has enough shared strikes to be held for some caller.
func (s *suspect) isHeld() bool {
	n := 0
	for i := range s.strikes {
		if s.strikes[i].shareable() && s.strikes[i].Scope < Void {
			n++
		}
	}
	return n >= maxCrashes
}

// Lost ends a send to which the target gave no answer. aliveAfterSend is true if the target showed
// activity after the request was sent to it. The target must then be checked, and the result passed
// to Checked.
func (t *Table) Lost(k Key, target Incarnation, aliveAfterSend bool, now cf.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addStrike(strike{
		Strike: Strike{Content: k.Content, Caller: k.Caller, Target: target, SeenBy: t.self, Served: t.served.contains(k, now)},
		lostAt: now, state: lossUnchecked, aliveAfterSend: aliveAfterSend,
	})
	t.endSend(k, target)
}

// addStrike adds a strike that the table does not have, if there is room. It returns true, so that
// the strike is passed on to other instances, only if no strike was evicted for it: otherwise two
// full tables would keep sending each other the strikes that each of them has dropped. t.mu is
// held.
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
	pos, _ := slices.BinarySearchFunc(s.strikes, st.lostAt, func(x strike, pos cf.Millis) int {
		if x.lostAt <= pos {
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

// evictStrike makes room for a strike. It removes a strike that does not count, or else the first
// one, since the latest strikes determine the pause of deferred work. Instances see the losses of
// one crashWindow in different orders, so these do not evict each other. t.mu is held.
func (t *Table) evictStrike(s *suspect, st *strike) bool {
	i := slices.IndexFunc(s.strikes, func(x strike) bool { return x.Scope == Void || x.state >= targetReached })
	if st.Scope == Void || i < 0 && st.lostAt <= s.strikes[0].lostAt+crashWindow {
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

// Checked records the result of checking a target. loss tells how the target is gone; it is empty
// if the target accepted a connection at checkedAt or later. Checked returns the strikes that other
// instances must receive.
func (t *Table) Checked(target Incarnation, checkedAt cf.Millis, loss Loss, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resolveLosses(target, now, func(st *strike) bool {
		switch {
		case st.state != lossUnchecked:
			return false
		case loss == LossUnreachable && !st.aliveAfterSend:
			// The request was sent on an open connection, so the target's machine may have been
			// lost before that.
			st.state = lossInconclusive
		case loss != "":
			st.state, st.Loss = lossConfirmed, loss
		case st.lostAt <= checkedAt:
			st.state = targetReached
		default:
			return false // the target may have gone after the check
		}
		return true
	})
}

// Replaced records that, according to the instance list, a target is gone or has restarted without
// draining. It returns the strikes that other instances must receive.
func (t *Table) Replaced(target Incarnation, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.strikesAt[target] == 0 {
		return nil
	}
	return t.resolveLosses(target, now, func(st *strike) bool {
		st.aliveAt, st.replaced = 0, true
		if st.state == lossConfirmed || st.state == lossInconclusive || now-st.lostAt > replacementWindow {
			return false
		}
		st.state, st.Loss = lossConfirmed, LossReplaced
		return true
	})
}

// resolveLosses applies new information on the losses at a target. t.mu is held.
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

// NeedsCheck reports whether there are strikes at a target that wait for its check.
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

// voidExplained voids the strikes that held suspects account for: any other request that ran at a
// target which a held request crashed was a bystander. It considers crashes only after
// attributionDelay, when all their losses have been recorded. Of two held requests that lost the
// same three targets, neither accounts for the other. t.mu is held.
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

// Release voids all strikes against a content, on an operator's request.
func (t *Table) Release(content Digest, now cf.Millis) []Strike {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil {
		return nil
	}
	return t.narrowScopes(s, now, func(*strike) Scope { return Void })
}
