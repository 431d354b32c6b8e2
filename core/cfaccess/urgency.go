package cfaccess

import cf "currantford"

// Class is what a request is to whoever waits for it.
type Class int

// Classes of requests, the most urgent first.
const (
	// Interactive requests have somebody waiting for each.
	Interactive Class = iota
	// LongItem: a step is never whole before its longest texts.
	LongItem
	// ShortItem: a text that costs least when an engine whose memory is full puts it
	// back.
	ShortItem
	classes
)

// ranks is how many priorities are told apart at a target: with the classes of each they
// fill the ten that targets know.
const ranks = 3

// Urgency returns what a request ranks as at a target, 0 first of 0 to 9: by its
// priority, and by its class among those of the same. Where nothing is ranked callers'
// requests say nothing, which targets take for 5, and items follow them.
func Urgency(a cf.Access, c Class) int {
	if !a.Ranked {
		return unranked + int(c)
	}
	return min(max(a.Priority, 0), ranks-1)*int(classes) + int(c)
}

// unranked is what targets take a request for that says nothing.
const unranked = 5
