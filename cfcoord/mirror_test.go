package cfcoord

import (
	"testing"

	cf "currantford"
	"currantford/cfrollout"
)

func text(from, to int) cfrollout.Text {
	t := cfrollout.Text{Last: cf.EventID(to)}
	for range to - from {
		t.Data = append(t.Data, "x")
	}
	return t
}

func part(term cf.Revision, id cf.ItemID, t cfrollout.Text) Mirror {
	return Mirror{Term: term, Texts: map[cf.ItemID]cfrollout.Text{id: t}}
}

// Symptom: a resumed text misses events.
// Sequence: a part of a copy is lost; the next one follows an event that the
// neighbour does not hold.
// Cause guarded against: joining parts that do not follow each other.
func TestMirrorKeepsNoTextWithAGap(t *testing.T) {
	var m Mirror
	m.Take(part(1, "a", text(0, 10)), true)
	m.Take(part(1, "a", text(10, 15)), false)
	if got := m.Texts["a"]; got.Last != 15 || !got.FromStart() {
		t.Errorf("joined text ends at %d with %d events", got.Last, len(got.Data))
	}
	m.Take(part(1, "a", text(18, 20)), false)
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text with a gap is kept")
	}
	m.Take(part(1, "a", text(0, 22)), false)
	if got := m.Texts["a"]; got.Last != 22 {
		t.Errorf("a whole text after the gap ends at %d, want 22", got.Last)
	}
	m.Take(part(2, "b", text(0, 9)), false)
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text of an earlier term is kept")
	}
}
