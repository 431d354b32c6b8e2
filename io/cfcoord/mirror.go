package cfcoord

import (
	"cmp"
	"slices"
	"time"

	cf "currantford"
	"currantford/core/cfrollout"
)

const (
	// mirrorInterval is the time between copies of the growing texts to a peer. If the coordinator
	// fails, each run loses the events of this time, rather than the seconds that a long text has
	// taken so far.
	mirrorInterval = 400 * time.Millisecond
	// minMirrorEvents is the minimum number of events of a text that is copied.
	minMirrorEvents = 8
	// maxMirrorBytes is the maximum size of one copy. A link of 60 Mbit/s transfers it in 70 ms, so
	// copies use at most a sixth of the link however much is generated. The longest texts are sent
	// first, as they are the most expensive to generate again.
	maxMirrorBytes = 512 << 10
	// maxMirrorFailures is the number of consecutive failures after which copies go to another
	// peer, to which all texts have to be copied from their beginnings. A single failure may only
	// mean that the link was congested.
	maxMirrorFailures = 2
)

type (
	// Mirror holds a peer's copies of the texts that are being generated; it is also the message
	// that updates them. It is a cache: a text that is missing in it is generated again.
	Mirror struct {
		Term  cf.Revision                  `cbor:"term"`
		Texts map[cf.ItemID]cfrollout.Text `cbor:"texts"`
		// Ended lists the texts that have been listed or given up since the last update.
		Ended []cf.ItemID `cbor:"ended,omitempty"`
	}

	// copyProgress tracks how much of each text is known to be stored at one place. Texts with
	// fewer than minEvents events are not copied. A part that is not acknowledged is sent again as
	// a portion of the next one. If all texts were copied from their beginnings again after each
	// unacknowledged part, ten times as much would be sent over a link that is already congested,
	// which would keep it congested.
	copyProgress struct {
		minEvents cf.EventID
		texts     map[cf.ItemID]copiedText
	}

	// copiedText is the progress of the copy of one text.
	copiedText struct {
		origin   uint64
		last     cf.EventID
		complete bool
	}

	// textPart is the part of a batch's text that is to be copied next.
	textPart struct {
		batch cf.BatchID
		id    cf.ItemID
		text  cfrollout.Text
	}

	// MirrorPeers chooses the peer that holds the mirror and sends updates to it.
	MirrorPeers interface {
		// Choose returns the address of the peer for the next updates, or an empty string if there
		// is no peer. It returns avoid only if there is no other peer.
		Choose(avoid string) string
		// Copy sends a part to a peer. It returns the texts whose beginnings the peer does not
		// have.
		Copy(addr string, part Mirror) (missing []cf.ItemID, err error)
	}
)

// mirrorTexts copies new events of the texts to a peer at each mirrorInterval.
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
				copied.reset() // the new peer has no texts yet
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

// nextMirrorPart returns the new events of all texts since the last acknowledged part, up to
// maxMirrorBytes.
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

// uncopiedTexts returns the new parts of texts in the wanted batches, up to about maxBytes with the
// longest texts first, and the copied texts that do not exist any more. c.mu is held.
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

// forEachText calls f for the text of each item that runs, or that is complete and not listed. c.mu
// is held.
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

func newCopyProgress(minEvents cf.EventID) *copyProgress {
	return &copyProgress{minEvents: minEvents, texts: map[cf.ItemID]copiedText{}}
}

// nextPart returns the part of a text that is to be copied, or false if nothing of it has changed.
func (k *copyProgress) nextPart(id cf.ItemID, t *cfrollout.Text) (part cfrollout.Text, changed bool) {
	from := k.texts[id]
	if from.origin != t.Origin {
		from = copiedText{} // the item has been restarted
	}
	// A change of Complete alone is also copied: a successor without it would request the events
	// after the last one from an engine first, and only then the reward.
	if t.Last < k.minEvents || t.Last == from.last && t.Complete == from.complete {
		return cfrollout.Text{}, false
	}
	return t.After(from.last), true
}

// acknowledge records that the parts of texts and the list of ended texts have been received.
func (k *copyProgress) acknowledge(parts map[cf.ItemID]cfrollout.Text, ended []cf.ItemID) {
	for id, t := range parts {
		k.texts[id] = copiedText{t.Origin, t.Last, t.Complete}
	}
	k.forget(ended)
}

// forget removes the progress of texts: those that have ended, and those that are copied from their
// beginnings again because the receiver lacks them.
func (k *copyProgress) forget(ids []cf.ItemID) {
	for _, id := range ids {
		delete(k.texts, id)
	}
}

// endedTexts returns the copied texts that are not in current.
func (k *copyProgress) endedTexts(current map[cf.ItemID]bool) []cf.ItemID {
	var ended []cf.ItemID
	for id := range k.texts {
		if !current[id] {
			ended = append(ended, id)
		}
	}
	return ended
}

// reset causes all texts to be copied from their beginnings again.
func (k *copyProgress) reset() { clear(k.texts) }

// Snapshot returns the present texts. They share no memory with the mirror: otherwise parts that
// arrive later would overwrite the events that the caller has appended to the texts.
func (m *Mirror) Snapshot() map[cf.ItemID]cfrollout.Text {
	out := make(map[cf.ItemID]cfrollout.Text, len(m.Texts))
	for id, t := range m.Texts {
		out[id] = t.Clone()
	}
	return out
}

// Apply adds a part to the mirror. A part of a later term replaces the whole mirror, and a part
// that begins with the first event of a text replaces that text: a later coordinator may have
// resumed the text before the last event in the mirror. Apply returns the texts whose beginnings
// the mirror does not have.
func (m *Mirror) Apply(part Mirror) (missing []cf.ItemID) {
	if part.Term < m.Term {
		return nil // delayed part of an earlier coordinator
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
