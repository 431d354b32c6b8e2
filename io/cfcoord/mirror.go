package cfcoord

import (
	"cmp"
	"slices"
	"time"

	cf "currantford"
	"currantford/core/cfrollout"
)

const (
	// mirrorInterval is how often the texts under way are copied to a
	// neighbour: a coordinator that dies costs each run this much, and not
	// the seconds that a long text has taken.
	mirrorInterval = 400 * time.Millisecond
	// minMirrorEvents is the least number of events that is worth a copy.
	minMirrorEvents = 8
	// maxMirrorBytes bounds one copy. A link of 60 Mbit/s carries it in 70 ms, so
	// that copies take at most a sixth of it however much has been generated; the
	// longest texts go first, as they cost most to generate again.
	maxMirrorBytes = 512 << 10
	// maxMirrorFailures is how many copies in a row fail before they go elsewhere, where
	// all texts are copied anew: one alone may have met a full link.
	maxMirrorFailures = 2
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

	// copyProgress is how much of which text is known to lie at one place, where texts
	// of fewer than least events are not worth it. What is sent and not
	// acknowledged is sent again with the next part: to begin all texts anew after
	// each part without an answer would send ten times as much over a link that
	// is full already, and so keep it full.
	copyProgress struct {
		minEvents cf.EventID
		texts     map[cf.ItemID]copiedText
	}

	// copiedText is how much of one text was copied.
	copiedText struct {
		origin   uint64
		last     cf.EventID
		complete bool
	}

	// textPart is what is to be copied of a text of a batch.
	textPart struct {
		batch cf.BatchID
		id    cf.ItemID
		text  cfrollout.Text
	}

	// MirrorPeers takes copies of texts.
	MirrorPeers interface {
		// Choose returns where copies go next, empty if there is nobody, and avoid
		// only if there is nobody else.
		Choose(avoid string) string
		// Copy sends a part there. It returns the texts that the neighbour lacks
		// the beginning of.
		Copy(addr string, part Mirror) (missing []cf.ItemID, err error)
	}
)

// mirrorTexts copies what has been generated since the last copy to a neighbour.
func (c *Coordinator) mirrorTexts() {
	ticker := time.NewTicker(mirrorInterval)
	defer ticker.Stop()
	copied := newCopyProgress(minMirrorEvents)
	peer, failures := "", 0
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if peer == "" || failures == maxMirrorFailures {
			previous := peer
			if peer, failures = c.MirrorPeers.Choose(previous), 0; peer != previous {
				copied.reset() // the new one holds nothing
			}
		}
		if peer == "" {
			continue
		}
		part := c.nextMirrorPart(copied)
		if len(part.Texts)+len(part.Ended) == 0 {
			continue
		}
		missing, err := c.MirrorPeers.Copy(peer, part)
		if err != nil {
			failures++
			continue
		}
		failures = 0
		copied.acknowledge(part.Texts, part.Ended)
		copied.forget(missing)
	}
}

// nextMirrorPart returns the texts under way that grew since the last copy that
// arrived, as far as they fit into one part.
func (c *Coordinator) nextMirrorPart(copied *copyProgress) Mirror {
	term, _ := c.Lease.MayOrder()
	part := Mirror{Term: term, Texts: map[cf.ItemID]cfrollout.Text{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	parts, ended := c.uncopiedTexts(copied, maxMirrorBytes, func(cf.BatchID) bool { return true })
	for _, p := range parts {
		part.Texts[p.id] = p.text
	}
	part.Ended = ended
	return part
}

// uncopiedTexts returns what is to be copied of the texts that have grown in the batches
// wanted, the longest first, most bytes in all, and the copied texts that are over.
// c.mu is held.
func (c *Coordinator) uncopiedTexts(copied *copyProgress, maxBytes int, wanted func(cf.BatchID) bool) (parts []textPart, ended []cf.ItemID) {
	current := map[cf.ItemID]bool{}
	c.forEachText(func(batch cf.BatchID, id cf.ItemID, t *cfrollout.Text) {
		current[id] = true
		if !wanted(batch) {
			return
		}
		if next, changed := copied.nextPart(id, t); changed {
			parts = append(parts, textPart{batch, id, next})
		}
	})
	slices.SortFunc(parts, func(a, b textPart) int { return cmp.Compare(b.text.Last, a.text.Last) })
	size := 0
	for i, p := range parts {
		if size += p.text.Size(); i > 0 && size > maxBytes {
			parts = parts[:i]
			break
		}
	}
	return parts, copied.endedTexts(current)
}

// forEachText calls f for the texts of all items that run, or are complete and not
// listed. c.mu is held.
func (c *Coordinator) forEachText(f func(cf.BatchID, cf.ItemID, *cfrollout.Text)) {
	for w := range c.runs {
		w.Mu.Lock()
		f(w.Batch.Sub.ID, w.Item.ID, &w.Text)
		w.Mu.Unlock()
	}
	for id, t := range c.unlisted {
		f(t.batch, id, &t.text)
	}
}

func newCopyProgress(least cf.EventID) *copyProgress {
	return &copyProgress{minEvents: least, texts: map[cf.ItemID]copiedText{}}
}

// nextPart returns what is to be copied of a text, false if there is no news of it.
func (k *copyProgress) nextPart(id cf.ItemID, t *cfrollout.Text) (part cfrollout.Text, changed bool) {
	from := k.texts[id]
	if from.origin != t.Origin {
		from = copiedText{} // the item has begun anew
	}
	// That a text is complete is news too: a successor that does not know would
	// ask an engine for what follows its last event, and only then for its
	// reward.
	if t.Last < k.minEvents || t.Last == from.last && t.Complete == from.complete {
		return cfrollout.Text{}, false
	}
	return t.After(from.last), true
}

// acknowledge notes that the parts of texts have arrived, and word of those that are
// over.
func (k *copyProgress) acknowledge(parts map[cf.ItemID]cfrollout.Text, ended []cf.ItemID) {
	for id, t := range parts {
		k.texts[id] = copiedText{t.Origin, t.Last, t.Complete}
	}
	k.forget(ended)
}

// forget forgets what is known of texts: those that are over, and those of which the
// place lacks the beginning, which are copied from there again.
func (k *copyProgress) forget(ids []cf.ItemID) {
	for _, id := range ids {
		delete(k.texts, id)
	}
}

// endedTexts returns the copied texts that are not held any more.
func (k *copyProgress) endedTexts(current map[cf.ItemID]bool) []cf.ItemID {
	var ended []cf.ItemID
	for id := range k.texts {
		if !current[id] {
			ended = append(ended, id)
		}
	}
	return ended
}

// reset makes all texts be copied from their beginnings again.
func (k *copyProgress) reset() { clear(k.texts) }

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

// Apply adds a part to a mirror. A part of another term replaces what is held, and
// so does a text from its beginning: a later holder of the duty may have resumed
// it before the last event that is held. It returns the texts that the mirror
// lacks the beginning of.
func (m *Mirror) Apply(part Mirror) (missing []cf.ItemID) {
	if part.Term < m.Term {
		return nil // of a holder before, held up on its way
	}
	if m.Texts == nil || part.Term != m.Term {
		*m = Mirror{Term: part.Term, Texts: map[cf.ItemID]cfrollout.Text{}}
	}
	for _, id := range part.Ended {
		delete(m.Texts, id)
	}
	for id, t := range part.Texts {
		if t.FromStart() {
			m.Texts[id] = t
			continue
		}
		joined, ok := m.Texts[id].Join(t)
		if !ok {
			delete(m.Texts, id)
			missing = append(missing, id)
			continue
		}
		m.Texts[id] = joined
	}
	return missing
}
