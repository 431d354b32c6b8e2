package cfmember

import (
	cf "currantford"
)

const (
	// PollWait is how long a call for news is held without any; each call is also the
	// caller's report that it is alive. PollGrace is what an answer may take beyond that.
	PollWait  cf.Millis = 400
	PollGrace cf.Millis = 350
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
	startCalls = 3 * (PollWait + PollGrace)
	// startLate bounds the wait for the lease and for the first answer of the coordinator that
	// it names, where the store is slow.
	startLate = leaveSilent
	// LeaseReadInterval is after how long a starting instance that has no answer from the store
	// reads the lease once more, beside the reads under way. MinLeaseReadInterval spaces them where
	// they fail sooner.
	LeaseReadInterval    cf.Millis = 300
	MinLeaseReadInterval cf.Millis = 200
)

// WatchState is what an instance has heard of how things stand, and when, zero if never.
type WatchState struct {
	// StartedAt is when the instance started, Seen when it first saw the lease, and Heard as
	// of when the last current word is.
	StartedAt, LeaseSeenAt, UpdatedAt cf.Millis
	// UncertainAt is when the coordinator answered last that it knows nothing new, or that a
	// hub is to be asked. Away is when another instance said that it asks the store itself,
	// in vain; Denied when another said that it has current word all the same.
	UncertainAt, OutageConfirmedAt, OutageDeniedAt cf.Millis
	// ListingAt is when the coordinator or a hub answered last that the store's lists are being
	// read there.
	ListingAt cf.Millis
	// HolderNamed says that the lease names a coordinator, Unread that the lease is being read and
	// has never been seen.
	HolderNamed, LeaseUnread bool
	// HubsExist says that there are hubs, Behind that one of them is asked for news, and Scout
	// that this instance is one of the scouts.
	HubsExist, BehindHub, FallbackWatcher bool
}

// IsCurrent says whether an instance relies on the current word that it heard at that moment.
func IsCurrent(heard, now cf.Millis) bool { return now-heard < wordFresh }

// AnswerIsRecent says whether what another answered at that moment still counts.
func AnswerIsRecent(at, now cf.Millis) bool { return now-at < answerShared }

// WatchDelay returns how long after the last current word the instance leaves the store to the
// coordinator and the scouts; zero for a scout.
//
// The load it answers: an outage of the store, the loss of the coordinator, or a start of
// all on machines that are busy, on a deployment of hundreds of instances which would each
// list all targets.
func (w WatchState) WatchDelay(now cf.Millis) cf.Millis {
	switch {
	case w.starting(now):
		return now + 1 // as long as it starts
	case w.FallbackWatcher && !w.BehindHub && w.StartupOver(now):
		return 0
	case AnswerIsRecent(w.UncertainAt, now) && AnswerIsRecent(w.OutageConfirmedAt, now):
		return leaveAlive
	case (w.BehindHub || w.HubsExist) && w.listsElsewhere(now):
		return leaveAlive
	case w.BehindHub || w.HubsExist || now-w.StartedAt < startCalls:
		return leaveHubs
	default:
		return leaveSilent
	}
}

// IsDue says whether the instance must watch the store itself.
func (w WatchState) IsDue(now cf.Millis) bool {
	if now-w.StartedAt < startGrace {
		return false
	}
	leaves := w.WatchDelay(now)
	if !w.HubsExist && AnswerIsRecent(w.UncertainAt, now) && AnswerIsRecent(w.OutageDeniedAt, now) {
		leaves = 0 // there is something to hear, and not from this coordinator
	}
	return now-w.UpdatedAt >= max(leaves, w.relies(now))
}

// relies returns how long the instance relies on the last current word.
func (w WatchState) relies(now cf.Millis) cf.Millis {
	switch {
	case w.HubsExist:
		return wordFreshHub
	case w.FallbackWatcher && w.UncertainAt > w.UpdatedAt && AnswerIsRecent(w.UncertainAt, now):
		return 0 // the coordinator says itself that it can't tell
	default:
		return wordFresh
	}
}

// StartupOver says whether the instance has had the time to learn who else looks after the store.
func (w WatchState) StartupOver(now cf.Millis) bool { return now-w.StartedAt >= startUnsure }

// listsElsewhere says whether the store's lists are being read where this instance asks.
func (w WatchState) listsElsewhere(now cf.Millis) bool { return now-w.ListingAt < listingShared }

// starting says whether the instance has just started, and waits for the lease, or for the
// first word of the coordinator that it names. A store that is slow to show one object is
// slower still to list all targets.
func (w WatchState) starting(now cf.Millis) bool {
	since := now - w.StartedAt
	switch {
	case w.UpdatedAt > 0:
		return false
	case w.LeaseUnread:
		return since < startLate
	case w.HolderNamed && since < min(max(w.LeaseSeenAt-w.StartedAt, 0)+startGrace+PollWait+PollGrace, startLate):
		return true
	case w.listsElsewhere(now) && since < leaveAlive:
		return true
	default:
		return !w.StartupOver(now) && (w.BehindHub || AnswerIsRecent(w.UncertainAt, now))
	}
}
