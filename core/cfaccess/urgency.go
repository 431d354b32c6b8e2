package cfaccess

import cf "currantford"

// Class tells how urgently the answer of a request is needed, among requests of the same priority.
type Class int

// Classes of requests, the most urgent first.
const (
	// Interactive requests each have a caller that waits for the answer.
	Interactive Class = iota
	// LongItem marks items with long texts: a step is complete only when its longest texts are.
	LongItem
	// ShortItem marks items with short texts, which cost least to preempt when an engine's memory
	// is full.
	ShortItem
	classCount
)

// priorityLevels is the number of priorities that are distinguished at a target. The urgencies of
// all their classes fit the ten values that targets accept.
const priorityLevels = 3

// Urgency returns the urgency of a request at a target, from 0, the most urgent, to 9. It depends
// on the priority, and on the class among requests of the same priority. If the access is not
// ranked, interactive requests get the urgency that targets assume for requests without one, which
// is 5, and items follow them.
func Urgency(a cf.Access, c Class) int {
	if !a.Ranked {
		return defaultUrgency + int(c)
	}
	return min(max(a.Priority, 0), priorityLevels-1)*int(classCount) + int(c)
}

// defaultUrgency is the urgency that targets assume for requests without one.
const defaultUrgency = 5
