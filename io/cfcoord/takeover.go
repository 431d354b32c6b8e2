package cfcoord

// A takeover's next step.
const (
	// takeoverWait: something of the duty before is still to come.
	takeoverWait takeoverStep = iota
	// takeoverReadStored: nobody had texts, and those in the store are to be read.
	takeoverReadStored
	// takeoverDone: the duty may begin to run items.
	takeoverDone
)

type (
	takeoverStep int

	// takeover is what a duty has to learn of the one before. It runs nothing until
	// then: a batch that was ended meanwhile would run on, and a text that is not
	// awaited would be generated once more. The lock of who holds it guards it.
	takeover struct {
		// listed: the batches from before have been listed; current: what has
		// changed since, too; gathered: the texts from before have been taken.
		listed, caughtUp, gathered bool
		// textsLost: nobody had texts, and those in the store have not been read;
		// asked: they are being read.
		textsLost, readingStored bool
		done                     bool
	}
)

// textsGathered notes that the texts of the instances before have come, so many of them.
func (t *takeover) textsGathered(count int) {
	t.gathered = true
	// Without any the instances that held them are lost as well.
	t.textsLost = count == 0
}

// storedTextsRead notes that the texts in the store have been read.
func (t *takeover) storedTextsRead() { t.textsLost = false }

// next returns what is to be done now. reading says that batches from before are still
// being read, stored whether the store may have texts of any.
func (t *takeover) next(loading, stored bool) takeoverStep {
	switch {
	case t.done:
		return takeoverDone
	case !t.caughtUp || !t.gathered || loading:
		return takeoverWait
	case t.textsLost && t.readingStored:
		return takeoverWait // their arrival asks again
	case t.textsLost && stored:
		t.readingStored = true
		return takeoverReadStored
	}
	t.done = true
	return takeoverDone
}
