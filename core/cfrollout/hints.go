package cfrollout

import (
	"math"

	cf "currantford"
)

const (
	// hintClassesPerDoubling is how many classes each doubling of the hint is divided into.
	hintClassesPerDoubling = 2
	// hintClasses is the number of classes, for hints of up to a million tokens. The classes do not
	// depend on the mean hint, which drifts over some hundred texts: a class would first fill with
	// shorter texts than those that use it later.
	hintClasses = 41
	// hintDecay is the factor on a class's sums with each new text. hintPriorWeight is the weight,
	// in texts of a class, of the mean ratio of lengths to hints over all classes.
	hintDecay       = 0.99
	hintPriorWeight = 2
)

// hintCorrection learns the expected length of texts from the length hints of their submitters.
//
// Hints are wrong by a factor of 1.6. Most texts with the longest hints are shorter, and most with
// the shortest hints are longer. With uncorrected hints, a step that has run its long texts first
// looks nearly done while a third of it remains.
type hintCorrection struct {
	classes [hintClasses]struct{ events, texts float64 }
	hinted  int // texts with a hint
	texts   int // all texts
}

// class returns the class of an item's hint, false without a hint.
func (g *hintCorrection) class(it cf.Item) (int, bool) {
	if it.LengthHint <= 0 {
		return 0, false
	}
	c := int(math.Round(hintClassesPerDoubling * math.Log2(float64(it.LengthHint))))
	return min(c, hintClasses-1), true
}

// note records a complete text.
func (g *hintCorrection) note(w *Work) {
	g.texts++
	if i, ok := g.class(w.Item); ok {
		c := &g.classes[i]
		c.events, c.texts = hintDecay*c.events+float64(w.Text.Last), hintDecay*c.texts+1
		g.hinted++
	}
}

// expected returns the expected number of events of an item.
func (g *hintCorrection) expected(it cf.Item, l *lengths) float64 {
	events := l.expected(it)
	i, ok := g.class(it)
	if !ok {
		return events
	}
	c := g.classes[i]
	return (hintPriorWeight*events + c.events) / (hintPriorWeight + c.texts)
}
