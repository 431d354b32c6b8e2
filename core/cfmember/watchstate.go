package cfmember

import (
	cf "currantford"
)

const (
	// PollWait is how long the upstream holds a poll for updates while there are none; each poll
	// also reports that the caller is alive. PollGrace is the additional time allowed for the
	// answer.
	PollWait  cf.Millis = 400
	PollGrace cf.Millis = 350
	// maxUpdateAge is the age of the last current update beyond which an instance no longer relies
	// on it and may have to watch the store itself.
	maxUpdateAge cf.Millis = 900
	// maxUpdateAgeWithHubs replaces maxUpdateAge where there are hubs: a new coordinator gets a
	// little longer to list the thousands of targets of such a deployment.
	maxUpdateAgeWithHubs cf.Millis = 1500
	// answerLifetime is how long an answer of another instance that bears on a store outage counts:
	// the coordinator's answer that it has no current view, and the answer of one more instance on
	// whether it reaches the store.
	answerLifetime cf.Millis = 1000
	// silentDelay is how long an instance that is not a fallback watcher leaves the store to the
	// others while the coordinator does not answer. The limit is that a new configuration must be
	// in force within two seconds.
	silentDelay cf.Millis = 1500
	// hubDelay replaces silentDelay where hubs are the fallback watchers, which list the targets
	// first.
	hubDelay cf.Millis = 3000
	// listingLifetime is how long an answer counts that says that the upstream is listing the
	// objects in the store: three polls. The upstream started to list before this instance would,
	// and passes on the result.
	listingLifetime = startupPolls
	// outageDelay replaces silentDelay while the coordinator answers that it has no current view,
	// and another instance confirms that it watches the store itself and does not reach it. The
	// store is then unreachable for both of them, for the two instances that the coordinator asks,
	// and for the fallback watchers, one of which would otherwise replace the coordinator within
	// 2.2 s. An instance that merely has no updates confirms nothing, because it follows the same
	// coordinator.
	outageDelay cf.Millis = 8000
	// startupGrace is how long a starting instance waits for the lease to name a coordinator; it
	// reads the lease immediately.
	startupGrace cf.Millis = 300
	// startupLimit is how long a starting instance waits while the coordinator answers that it has
	// no current view yet, or names a hub to poll. When all instances start at once, the
	// coordinator lists the targets for all of them.
	startupLimit cf.Millis = 3000
	// startupPolls is the time after the start during which an instance that has received a first
	// update attributes unanswered polls to a coordinator that is busy because all instances are
	// starting: three polls. Such an instance may not know of any hubs yet.
	startupPolls = 3 * (PollWait + PollGrace)
	// startupSlowStore limits how long a starting instance waits for the lease, and for the first
	// answer of the coordinator that the lease names, if the store is slow.
	startupSlowStore = silentDelay
	// LeaseReadInterval is the time after which a starting instance without an answer from the
	// store reads the lease again, in parallel with the pending reads. MinLeaseReadInterval is the
	// minimum interval between reads that fail earlier.
	LeaseReadInterval    cf.Millis = 300
	MinLeaseReadInterval cf.Millis = 200
)

// WatchState is what an instance knows about the state of its upstream and the store. It determines
// whether the instance must watch the store itself. All times are zero if the event has not
// occurred.
type WatchState struct {
	// StartedAt is when the instance started, LeaseSeenAt when it first read the lease, and
	// UpdatedAt the time as of which its view was last current.
	StartedAt, LeaseSeenAt, UpdatedAt cf.Millis
	// UncertainAt is when the coordinator last answered that it has no current view, or named a hub
	// to poll instead. OutageConfirmedAt is when another instance last answered that it watches the
	// store itself and does not reach it, OutageDeniedAt when another instance last answered that
	// it has a current view.
	UncertainAt, OutageConfirmedAt, OutageDeniedAt cf.Millis
	// ListingAt is when the coordinator or a hub last answered that it is listing the objects in
	// the store.
	ListingAt cf.Millis
	// HolderNamed says that the lease names a coordinator, LeaseUnread that the lease is being read
	// and has not been read before.
	HolderNamed, LeaseUnread bool
	// HubsExist says that the deployment has hubs, BehindHub that this instance polls one of them,
	// and FallbackWatcher that this instance is a fallback watcher.
	HubsExist, BehindHub, FallbackWatcher bool
}

// IsCurrent reports whether a view that was last current at updatedAt is still recent enough to
// rely on.
func IsCurrent(updatedAt, now cf.Millis) bool { return now-updatedAt < maxUpdateAge }

// AnswerIsRecent reports whether an answer that another instance gave at answeredAt still counts.
func AnswerIsRecent(answeredAt, now cf.Millis) bool { return now-answeredAt < answerLifetime }

// WatchDelay returns how long after its last current update the instance leaves the store to the
// coordinator and the fallback watchers. It is zero for a fallback watcher that polls the
// coordinator itself, once startup is over.
//
// The delay protects the store in a deployment of hundreds of instances, each of which would
// otherwise list all targets during a store outage, after the loss of the coordinator, or when all
// instances start at once on busy machines.
func (w WatchState) WatchDelay(now cf.Millis) cf.Millis {
	switch {
	case w.starting(now):
		return now + 1 // The delay does not end before startup does.
	case w.FallbackWatcher && !w.BehindHub && w.StartupOver(now):
		return 0
	case AnswerIsRecent(w.UncertainAt, now) && AnswerIsRecent(w.OutageConfirmedAt, now):
		return outageDelay
	case (w.BehindHub || w.HubsExist) && w.listedElsewhere(now):
		return outageDelay
	case w.BehindHub || w.HubsExist || now-w.StartedAt < startupPolls:
		return hubDelay
	default:
		return silentDelay
	}
}

// IsDue reports whether the instance must watch the store itself.
func (w WatchState) IsDue(now cf.Millis) bool {
	if now-w.StartedAt < startupGrace {
		return false
	}
	delay := w.WatchDelay(now)
	if !w.HubsExist && AnswerIsRecent(w.UncertainAt, now) && AnswerIsRecent(w.OutageDeniedAt, now) {
		delay = 0 // There are updates, but this coordinator does not have them.
	}
	return now-w.UpdatedAt >= max(delay, w.maxAge(now))
}

// maxAge returns the maximum age of an update that the instance relies on.
func (w WatchState) maxAge(now cf.Millis) cf.Millis {
	switch {
	case w.HubsExist:
		return maxUpdateAgeWithHubs
	case w.FallbackWatcher && w.UncertainAt > w.UpdatedAt && AnswerIsRecent(w.UncertainAt, now):
		return 0 // The coordinator itself answered that it has no current view.
	default:
		return maxUpdateAge
	}
}

// StartupOver reports whether the instance has had enough time to learn which instances watch the
// store.
func (w WatchState) StartupOver(now cf.Millis) bool { return now-w.StartedAt >= startupLimit }

// listedElsewhere reports whether the upstream is listing the objects in the store.
func (w WatchState) listedElsewhere(now cf.Millis) bool { return now-w.ListingAt < listingLifetime }

// starting reports whether the instance has just started and is waiting for the lease, or for the
// first update from the coordinator that the lease names. A store that is slow to return one object
// is slower still to list all targets.
func (w WatchState) starting(now cf.Millis) bool {
	elapsed := now - w.StartedAt
	switch {
	case w.UpdatedAt > 0:
		return false
	case w.LeaseUnread:
		return elapsed < startupSlowStore
	case w.HolderNamed && elapsed < min(max(w.LeaseSeenAt-w.StartedAt, 0)+startupGrace+PollWait+PollGrace, startupSlowStore):
		return true
	case w.listedElsewhere(now) && elapsed < outageDelay:
		return true
	default:
		return !w.StartupOver(now) && (w.BehindHub || AnswerIsRecent(w.UncertainAt, now))
	}
}
