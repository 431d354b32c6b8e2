package cfrollout

import (
	"fmt"
	"math/rand/v2"
	"slices"

	cf "currantford"
)

// reusable says whether a text may be part of a sample of a batch with the given requirements.
func reusable(t Text, minVersion cf.WeightVersion, singleVersion bool) bool {
	for _, v := range t.Versions {
		if v < minVersion {
			return false
		}
	}
	return !singleVersion || len(t.Versions) <= 1
}

// Clone returns a deep copy.
func (t *Text) Clone() Text {
	c := *t
	c.Data, c.Versions = slices.Clone(t.Data), slices.Clone(t.Versions)
	return c
}

// After returns a copy of the text after event n.
func (t *Text) After(n cf.EventID) Text {
	from := int(n) - int(t.Last) + len(t.Data) // Data may begin after event 0
	return Text{
		Origin: t.Origin, Last: t.Last, Data: append([]string(nil), t.Data[max(from, 0):]...),
		Versions: append([]cf.WeightVersion(nil), t.Versions...), Complete: t.Complete,
	}
}

// Size returns the number of bytes of the events in t.
func (t Text) Size() int {
	size := 0
	for _, d := range t.Data {
		size += len(d)
	}
	return size
}

// FromStart says whether t holds every event up to its last.
func (t Text) FromStart() bool { return len(t.Data) == int(t.Last) }

// Join returns t, which must begin with its first event, followed by next. It returns false if
// events between them are missing or they belong to different runs. They may overlap, because a
// part whose acknowledgement was lost is sent again together with new events.
func (t Text) Join(next Text) (Text, bool) {
	first := next.Last - cf.EventID(len(next.Data))
	if first > t.Last || next.Last < t.Last || next.Origin != t.Origin {
		return Text{}, false
	}
	next.Data = slices.Concat(t.Data[:first], next.Data)
	return next, true
}

// Append adds the next event of an item's stream. It refuses an event that does not follow the last
// one, which would mix the texts of two runs.
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

// maxSavedTexts bounds the texts kept for later steps.
const maxSavedTexts = 2000

// KeepText keeps the text of an unlisted item for a later batch that contains the item.
func (p *Planner) KeepText(w *Work) {
	if w.Text.Last == 0 {
		return
	}
	if len(p.savedTexts) >= maxSavedTexts {
		clear(p.savedTexts)
	}
	p.savedTexts[w.Item.ID] = w
}

// keepStoppedText keeps the current text of a run that is being stopped, because a later batch may
// contain the item before the run has ended.
func (p *Planner) keepStoppedText(w *Work) {
	w.Mu.Lock()
	text := w.Text.Clone()
	w.Mu.Unlock()
	p.KeepText(&Work{Batch: w.Batch, Item: w.Item, Text: text})
}

// Texts returns the texts of all items that are not listed. It must be called only when no item
// runs.
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

// AdoptTexts takes over the texts of a previous planner for batches added later. If there are two
// texts of an item, the longer one is kept.
func (p *Planner) AdoptTexts(texts map[cf.ItemID]Text) {
	for id, t := range texts {
		if old := p.savedTexts[id]; !t.FromStart() || old != nil && old.Text.Last >= t.Last {
			continue
		}
		p.savedTexts[id] = &Work{Item: cf.Item{ID: id}, Text: t.Clone()}
	}
}
