package cfrollout

import (
	"fmt"
	"math/rand/v2"
	"slices"

	cf "currantford"
)

// reusable says whether text may be part of a sample of a batch.
func reusable(t Text, minVersion cf.WeightVersion, singleVersion bool) bool {
	for _, v := range t.Versions {
		if v < minVersion {
			return false
		}
	}
	return !singleVersion || len(t.Versions) <= 1
}

// Clone returns a copy that shares no memory with t.
func (t *Text) Clone() Text {
	c := *t
	c.Data, c.Versions = slices.Clone(t.Data), slices.Clone(t.Versions)
	return c
}

// After returns what follows event n, as a copy.
func (t *Text) After(n cf.EventID) Text {
	from := int(n) - int(t.Last) + len(t.Data) // Data may begin after event 0
	return Text{
		Origin: t.Origin, Last: t.Last, Data: append([]string(nil), t.Data[max(from, 0):]...),
		Versions: append([]cf.WeightVersion(nil), t.Versions...), Complete: t.Complete,
	}
}

// Size is the bytes of the events that t holds.
func (t Text) Size() int {
	size := 0
	for _, d := range t.Data {
		size += len(d)
	}
	return size
}

// FromStart says whether t holds every event up to its last.
func (t Text) FromStart() bool { return len(t.Data) == int(t.Last) }

// Join returns t, which begins with its first event, with next after it; false
// when an event lies between them or they belong to different runs. They may
// overlap: a part whose acknowledgement was lost is sent again with what is new.
func (t Text) Join(next Text) (Text, bool) {
	first := next.Last - cf.EventID(len(next.Data))
	if first > t.Last || next.Last < t.Last || next.Origin != t.Origin {
		return Text{}, false
	}
	next.Data = slices.Concat(t.Data[:first], next.Data)
	return next, true
}

// Append takes the next event of an item's stream. An event that does not
// follow the last one is refused: two runs' texts would be mixed.
func (t *Text) Append(ev cf.StreamEvent) error {
	if ev.ID != t.Last+1 {
		return fmt.Errorf("%w: event %d after %d", cf.ErrBadAnswer, ev.ID, t.Last)
	}
	if t.Last == 0 {
		t.Origin = rand.Uint64()
	}
	t.Last = ev.ID
	t.Data = append(t.Data, ev.Data)
	if n := len(t.Versions); n == 0 || t.Versions[n-1] != ev.Version {
		t.Versions = append(t.Versions, ev.Version)
	}
	return nil
}

// maxSavedTexts bounds the texts kept for a later step.
const maxSavedTexts = 2000

// KeepText stores the text of an item that is not listed for a later batch with the
// item.
func (p *Planner) KeepText(w *Work) {
	if w.Text.Last == 0 {
		return
	}
	if len(p.savedTexts) >= maxSavedTexts {
		clear(p.savedTexts)
	}
	p.savedTexts[w.Item.ID] = w
}

// keepStoppedText keeps what a run has made so far that is being stopped: a later batch may ask
// for its item before the run's end is known.
func (p *Planner) keepStoppedText(w *Work) {
	w.Mu.Lock()
	text := w.Text.Clone()
	w.Mu.Unlock()
	p.KeepText(&Work{Batch: w.Batch, Item: w.Item, Text: text})
}

// Texts returns what has been generated of items that are not listed. It is
// called when no item runs any more.
func (p *Planner) Texts() map[cf.ItemID]Text {
	out := map[cf.ItemID]Text{}
	add := func(w *Work) {
		if w.Text.Last > 0 {
			out[w.Item.ID] = w.Text
		}
	}
	for _, w := range p.savedTexts {
		add(w)
	}
	for _, o := range p.batches {
		for _, w := range o.waiting {
			add(w)
		}
	}
	p.eachRunning(add)
	return out
}

// AdoptTexts takes the texts of a planner before, for batches added from now on; of
// each the longer one is kept.
func (p *Planner) AdoptTexts(texts map[cf.ItemID]Text) {
	for id, t := range texts {
		if old := p.savedTexts[id]; !t.FromStart() || old != nil && old.Text.Last >= t.Last {
			continue
		}
		p.savedTexts[id] = &Work{Item: cf.Item{ID: id}, Text: t.Clone()}
	}
}
