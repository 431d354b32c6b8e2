package cfmember

import (
	cf "currantford"
)

const (
	// CallWait is how long a call for news is held without any; each call is also the
	// caller's report that it is alive. CallGrace is what an answer may take beyond that.
	CallWait  cf.Millis = 400
	CallGrace cf.Millis = 350
	// wordFresh is how long an instance relies on the last current word before it watches
	// the store itself.
	wordFresh cf.Millis = 900
	// wordFreshHub is the same for a hub: to list what thousands of targets are is left to
	// a new coordinator for a moment.
	wordFreshHub cf.Millis = 1500
	// answerShared is how long an instance believes that the store is away for others
	// too: the coordinator by its own word, and one more that is asked.
	answerShared cf.Millis = 1000
	// leaveSilent is how long an instance that is no scout leaves the store to the others
	// when the coordinator is silent: a configuration is to be in force within two
	// seconds.
	leaveSilent cf.Millis = 1500
	// leaveHubs is the same where hubs are scouts, which list the targets first.
	leaveHubs cf.Millis = 3000
	// listingShared is how long the answer counts that the store's lists are being read: three
	// calls. Whoever reads them began before this instance would, and tells it the result.
	listingShared = startCalls
	// leaveAlive is the same where the coordinator answers and only has nothing new, and
	// another instance asks the store itself in vain: it is away then for both, for the two
	// instances that the coordinator asks and for the scouts, of which one would replace
	// it within 2.2 s. That another has no news says nothing: it follows the same
	// coordinator.
	leaveAlive cf.Millis = 8000
	// startGrace is how long a starting instance waits until the lease names a
	// coordinator; it reads it at once.
	startGrace cf.Millis = 300
	// startUnsure is how long it waits while the coordinator answers that it has no current
	// view yet, or that a hub is to be asked: where all start at once it lists the targets
	// for all.
	startUnsure cf.Millis = 3000
	// startCalls is for how long an instance that has heard a first word takes calls without an
	// answer for those of a coordinator that is busy with a start of all: three calls. It may
	// not know of hubs yet.
	startCalls = 3 * (CallWait + CallGrace)
	// startLate bounds the wait for the lease and for the first answer of the coordinator that
	// it names, where the store is slow.
	startLate = leaveSilent
	// LeaseReadEvery is after how long a starting instance that has no answer from the store
	// reads the lease once more, beside the reads under way. LeaseReadLeast spaces them where
	// they fail sooner.
	LeaseReadEvery cf.Millis = 300
	LeaseReadLeast cf.Millis = 200
)

// Word is what an instance has heard of how things stand, and when, zero if never.
type Word struct {
	// Started is when the instance started, Seen when it first saw the lease, and Heard as
	// of when the last current word is.
	Started, Seen, Heard cf.Millis
	// Unsure is when the coordinator answered last that it knows nothing new, or that a
	// hub is to be asked. Away is when another instance said that it asks the store itself,
	// in vain; Denied when another said that it has current word all the same.
	Unsure, Away, Denied cf.Millis
	// Listing is when the coordinator or a hub answered last that the store's lists are being
	// read there.
	Listing cf.Millis
	// Named says that the lease names a coordinator, Unread that the lease is being read and
	// has never been seen.
	Named, Unread bool
	// Hubs says that there are hubs, Behind that one of them is asked for news, and Scout
	// that this instance is one of the scouts.
	Hubs, Behind, Scout bool
}

// Fresh says whether an instance relies on the current word that it heard at that moment.
func Fresh(heard, now cf.Millis) bool { return now-heard < wordFresh }

// AnswerShared says whether what another answered at that moment still counts.
func AnswerShared(at, now cf.Millis) bool { return now-at < answerShared }

// Leaves returns how long after the last current word the instance leaves the store to the
// coordinator and the scouts; zero for a scout.
//
// The load it answers: an outage of the store, the loss of the coordinator, or a start of
// all on machines that are busy, on a deployment of hundreds of instances which would each
// list all targets.
func (w Word) Leaves(now cf.Millis) cf.Millis {
	switch {
	case w.starting(now):
		return now + 1 // as long as it starts
	case w.Scout && !w.Behind && w.Settled(now):
		return 0
	case AnswerShared(w.Unsure, now) && AnswerShared(w.Away, now):
		return leaveAlive
	case (w.Behind || w.Hubs) && w.listsElsewhere(now):
		return leaveAlive
	case w.Behind || w.Hubs || now-w.Started < startCalls:
		return leaveHubs
	default:
		return leaveSilent
	}
}

// Alone says whether the instance must watch the store itself.
func (w Word) Alone(now cf.Millis) bool {
	if now-w.Started < startGrace {
		return false
	}
	leaves := w.Leaves(now)
	if !w.Hubs && AnswerShared(w.Unsure, now) && AnswerShared(w.Denied, now) {
		leaves = 0 // there is something to hear, and not from this coordinator
	}
	return now-w.Heard >= max(leaves, w.relies(now))
}

// relies returns how long the instance relies on the last current word.
func (w Word) relies(now cf.Millis) cf.Millis {
	switch {
	case w.Hubs:
		return wordFreshHub
	case w.Scout && w.Unsure > w.Heard && AnswerShared(w.Unsure, now):
		return 0 // the coordinator says itself that it can't tell
	default:
		return wordFresh
	}
}

// Settled says whether the instance has had the time to learn who else looks after the store.
func (w Word) Settled(now cf.Millis) bool { return now-w.Started >= startUnsure }

// listsElsewhere says whether the store's lists are being read where this instance asks.
func (w Word) listsElsewhere(now cf.Millis) bool { return now-w.Listing < listingShared }

// starting says whether the instance has just started, and waits for the lease, or for the
// first word of the coordinator that it names. A store that is slow to show one object is
// slower still to list all targets.
func (w Word) starting(now cf.Millis) bool {
	since := now - w.Started
	switch {
	case w.Heard > 0:
		return false
	case w.Unread:
		return since < startLate
	case w.Named && since < min(max(w.Seen-w.Started, 0)+startGrace+CallWait+CallGrace, startLate):
		return true
	case w.listsElsewhere(now) && since < leaveAlive:
		return true
	default:
		return !w.Settled(now) && (w.Behind || AnswerShared(w.Unsure, now))
	}
}
