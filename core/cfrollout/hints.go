package cfrollout

import (
	"math"

	cf "currantford"
)

const (
	// hintClassesPerDoubling is how many classes a doubling of a guess is divided into.
	hintClassesPerDoubling = 2
	// hintClasses is how many there are: guesses of up to a million tokens. They do not
	// depend on the mean guess, which drifts for some hundred texts: a class would first be
	// filled with shorter texts than those that use it later.
	hintClasses = 41
	// hintDecay is what is kept of a class at each text of it, guessPrior the weight of
	// the mean ratio of lengths to guesses in texts of a class.
	hintDecay       = 0.99
	hintPriorWeight = 2
)

// hintCorrection learns how long texts are whose submitters guess a length.
//
// The load it answers: guesses are wrong by a factor of 1.6. Of the texts with the longest
// guesses most are shorter, and of those with the shortest most are longer: taken as they
// are, a step that has run its long texts first looks nearly done while a third is left.
type hintCorrection struct {
	classes [hintClasses]struct{ events, texts float64 }
	hinted  int // texts with a guess
	texts   int // all
}

// class returns the class of a guess; false where there is none.
func (g *hintCorrection) class(it cf.Item) (int, bool) {
	if it.LengthHint <= 0 {
		return 0, false
	}
	c := int(math.Round(hintClassesPerDoubling * math.Log2(float64(it.LengthHint))))
	return min(c, hintClasses-1), true
}

// note takes a text that is complete.
func (g *hintCorrection) note(w *Work) {
	g.texts++
	if i, ok := g.class(w.Item); ok {
		c := &g.classes[i]
		c.events, c.texts = hintDecay*c.events+float64(w.Text.Last), hintDecay*c.texts+1
		g.hinted++
	}
}

// expected returns the events that an item is expected to have.
func (g *hintCorrection) expected(it cf.Item, l *lengths) float64 {
	events := l.expected(it)
	i, ok := g.class(it)
	if !ok {
		return events
	}
	c := g.classes[i]
	return (hintPriorWeight*events + c.events) / (hintPriorWeight + c.texts)
}
