package cfcoord

// These are the possible next steps of a takeover.
const (
	// takeoverWait means that some of the predecessor's state has not arrived yet.
	takeoverWait takeoverStep = iota
	// takeoverReadStored means that no instance had texts, and that the stored ones are to be read.
	takeoverReadStored
	// takeoverDone means that items may run.
	takeoverDone
)

type (
	takeoverStep int

	// takeover tracks what a new coordinator still has to learn about the time before its term. No
	// item runs before it is complete: otherwise items of a batch that has ended in the meantime
	// would run, and texts that arrive later would be generated again. It is guarded by the lock of
	// its owner.
	takeover struct {
		// listed is set once the batches from before the term have been listed, caughtUp once the
		// changes since that list have been processed too, and gathered once the texts from before
		// the term have arrived.
		listed, caughtUp, gathered bool
		// textsLost is set if no instance had texts and the stored ones have not been read yet.
		// readingStored is set once their read has begun.
		textsLost, readingStored bool
		done                     bool
	}
)

// textsGathered records that the other instances' texts have arrived, and their number.
func (t *takeover) textsGathered(count int) {
	t.gathered = true
	// If there are none, the instances that held them are lost too.
	t.textsLost = count == 0
}

// storedTextsRead records that the stored texts have been read.
func (t *takeover) storedTextsRead() { t.textsLost = false }

// next returns the next step of the takeover. loading is set while batches from before the term are
// being read, and stored if the store may have texts of any of them.
func (t *takeover) next(loading, stored bool) takeoverStep {
	switch {
	case t.done:
		return takeoverDone
	case !t.caughtUp || !t.gathered || loading:
		return takeoverWait
	case t.textsLost && t.readingStored:
		return takeoverWait // next is called again after storedTextsRead
	case t.textsLost && stored:
		t.readingStored = true
		return takeoverReadStored
	}
	t.done = true
	return takeoverDone
}
