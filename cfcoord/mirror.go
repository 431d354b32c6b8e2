package cfcoord

import (
	"time"

	cf "currantford"
	"currantford/cfrollout"
)

const (
	// mirrorEvery is how often the texts under way are copied to a
	// neighbour: a coordinator that dies costs each run this much, and not
	// the seconds that a long text has taken.
	mirrorEvery = 400 * time.Millisecond
	// mirrorLeast is the least number of events that is worth a copy.
	mirrorLeast = 8
)

type (
	// Mirror is what a neighbour holds of the texts under way. It is a
	// cache: a text that is missing there is generated again.
	Mirror struct {
		Term  cf.Revision                  `cbor:"term"`
		Texts map[cf.ItemID]cfrollout.Text `cbor:"texts"`
		// Ended are the texts that are listed, or given up, since then.
		Ended []cf.ItemID `cbor:"ended,omitempty"`
	}

	// copies is how much of which text was copied to one place, where texts
	// of fewer than least events are not worth it.
	copies struct {
		least cf.EventID
		texts map[cf.ItemID]copiedText
	}

	// copiedText is how much of one text was copied.
	copiedText struct {
		origin   uint64
		last     cf.EventID
		complete bool
	}

	// Neighbour takes copies of texts; it returns false when none was
	// reached.
	Neighbour interface {
		Copy(part Mirror, whole bool) bool
	}
)

// mirror copies what has been generated since the last copy to a neighbour.
func (c *Coordinator) mirror() {
	ticker := time.NewTicker(mirrorEvery)
	defer ticker.Stop()
	copied := newCopies(mirrorLeast)
	whole := true
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		part := c.changedTexts(copied)
		if len(part.Texts)+len(part.Ended) == 0 {
			continue
		}
		// After a failed copy the neighbour, or another one, has gaps.
		whole = !c.Neighbour.Copy(part, whole)
		if whole {
			copied.reset()
		}
	}
}

// changedTexts returns the texts under way that grew since the last copy, and
// notes them as copied. Each is sent from its beginning only once: later parts
// hold what is new.
func (c *Coordinator) changedTexts(copied *copies) Mirror {
	term, _ := c.Duty.MayOrder()
	part := Mirror{Term: term, Texts: map[cf.ItemID]cfrollout.Text{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	held := map[cf.ItemID]bool{}
	c.eachText(func(_ cf.BatchID, id cf.ItemID, t *cfrollout.Text) {
		held[id] = true
		if next, news := copied.next(id, t); news {
			part.Texts[id] = next
		}
	})
	part.Ended = copied.forget(held)
	return part
}

// eachText calls f for the texts of all items that run, or are complete and not
// listed. c.mu is held.
func (c *Coordinator) eachText(f func(cf.BatchID, cf.ItemID, *cfrollout.Text)) {
	for w := range c.runs {
		w.Mu.Lock()
		f(w.Batch.Sub.ID, w.Item.ID, &w.Text)
		w.Mu.Unlock()
	}
	for id, t := range c.finished {
		f(t.batch, id, &t.text)
	}
}

func newCopies(least cf.EventID) *copies {
	return &copies{least: least, texts: map[cf.ItemID]copiedText{}}
}

// next returns what is to be copied of a text, false if there is no news of it.
func (k *copies) next(id cf.ItemID, t *cfrollout.Text) (part cfrollout.Text, news bool) {
	from := k.texts[id]
	if from.origin != t.Origin {
		from = copiedText{} // the item has begun anew
	}
	// That a text is complete is news too: a successor that does not know would
	// ask an engine for what follows its last event, and only then for its
	// reward.
	if t.Last < k.least || t.Last == from.last && t.Complete == from.complete {
		return cfrollout.Text{}, false
	}
	k.texts[id] = copiedText{t.Origin, t.Last, t.Complete}
	return t.After(from.last), true
}

// forget drops the texts that are not held any more, and returns them.
func (k *copies) forget(held map[cf.ItemID]bool) []cf.ItemID {
	var ended []cf.ItemID
	for id := range k.texts {
		if !held[id] {
			delete(k.texts, id)
			ended = append(ended, id)
		}
	}
	return ended
}

// reset makes all texts be copied from their beginnings again.
func (k *copies) reset() { clear(k.texts) }

// Snapshot returns the texts as they are now. They share no memory with the
// mirror: parts that arrive later would otherwise be written over the events
// that whoever took the texts has appended.
func (m *Mirror) Snapshot() map[cf.ItemID]cfrollout.Text {
	out := make(map[cf.ItemID]cfrollout.Text, len(m.Texts))
	for id, t := range m.Texts {
		out[id] = t.Clone()
	}
	return out
}

// Take adds a part to a mirror. A part that does not follow what is held, or
// belongs to another term, replaces it.
func (m *Mirror) Take(part Mirror, whole bool) {
	if whole || m.Texts == nil || part.Term != m.Term {
		*m = Mirror{Term: part.Term, Texts: map[cf.ItemID]cfrollout.Text{}}
	}
	for _, id := range part.Ended {
		delete(m.Texts, id)
	}
	for id, t := range part.Texts {
		joined, ok := m.Texts[id].Join(t)
		switch {
		case ok:
			m.Texts[id] = joined
		case t.FromStart():
			m.Texts[id] = t
		default:
			delete(m.Texts, id)
		}
	}
}
