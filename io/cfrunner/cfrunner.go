// Package cfrunner distributes the streams of a coordinator's runs over the other instances. A run
// is one streamed request to an engine. A host is an instance that runs the streams of some
// engines, preferably in its own failure domain, and sends the coordinator the events a few times a
// second. One message then carries all events of that interval; without hosts, each event of each
// stream wakes the coordinator up. The coordinator still makes all decisions, and uses its Pool in
// the same way as the targets themselves.
//
// Failures and how the protocol handles them:
//
//   - A delayed order must not start a run late. Each order contains the host's own clock as of the
//     latest report that the coordinator received, and a host starts nothing for an outdated order.
//   - Engines must not stay busy with runs of a coordinator that no longer exists. A host that is
//     not polled for PollTimeout stops its runs, and so does a host that learns of a later term.
//   - A run must not continue elsewhere while its host still executes it. A Pool waits until the
//     host confirms the end of the run or has certainly stopped it. A poll extends the host's runs
//     as of the time at which it was sent, by the host's own clock.
//   - A lost response must not lose events. Reports are numbered, and sent again until they are
//     acknowledged.
//
// Usage:
//
//	host := cfrunner.NewHost(targets, drain, log) // on every instance
//	report, err := host.Collect(ctx, call)
//
//	pool := cfrunner.NewPool(options) // at the coordinator
//	defer pool.Close()
//	answer, err := pool.Route(target).Stream(ctx, target, call, sink)
package cfrunner

import (
	cf "currantford"
)

// Operations of the peer protocol.
const (
	OpOrders  = "run_orders"
	OpCollect = "run_collect"
)

const (
	// maxOrderAge is the maximum age of the host clock in an order. Reports update that clock
	// several times a second. None of a batch's runs may start later than 3 s after the end of the
	// batch.
	maxOrderAge cf.Millis = 1000
	// reportInterval is how long a host collects events before it reports them. The end of a run is
	// reported immediately, so that it does not delay the end of a training step.
	reportInterval cf.Millis = 150
)

type (
	// RunID is the number of a run; a coordinator assigns increasing numbers.
	RunID uint64

	// SessionID identifies a host's session with a coordinator, which comprises the runs that the
	// host executes for it. A host that has restarted or stopped its runs begins a new session.
	SessionID uint64

	// StartOrder orders a host to execute a run.
	StartOrder struct {
		Run    RunID         `cbor:"run"`
		Target cf.Target     `cbor:"target"`
		Call   cf.TargetCall `cbor:"call"`
	}

	// Incarnation identifies a coordinator process by its term and a random number, since an
	// instance that restarts may keep its term.
	Incarnation struct {
		Term   cf.Revision `cbor:"term"`
		Number uint64      `cbor:"number"`
	}

	// Orders is a request to start and stop runs of a session.
	Orders struct {
		Incarnation Incarnation `cbor:"duty"`
		Session     SessionID   `cbor:"session"`
		// HostClock is the host's clock as of its latest report.
		HostClock cf.Millis    `cbor:"clock"`
		Starts    []StartOrder `cbor:"starts,omitempty"`
		Stops     []RunID      `cbor:"stops,omitempty"`
	}

	// CollectRequest polls a host for a report.
	CollectRequest struct {
		Incarnation Incarnation `cbor:"duty"`
		Session     SessionID   `cbor:"session"`
		// LastReport is the number of the latest report received.
		LastReport int64 `cbor:"got"`
		// HostClock is a lower bound of the host's clock at the time at which the request was sent:
		// the clock of the host's latest report plus the time since that report arrived.
		HostClock cf.Millis `cbor:"clock"`
	}

	// Report contains the events and ended runs of a session since the previous report.
	Report struct {
		Session SessionID `cbor:"session"`
		Number  int64     `cbor:"number"`
		// HostClock is the host's clock at the time of the report; the times of the events refer to
		// the same clock.
		HostClock cf.Millis   `cbor:"clock"`
		Runs      []RunUpdate `cbor:"runs,omitempty"`
	}

	// RunUpdate contains the new events of a run, and its end if it has ended.
	RunUpdate struct {
		Run    RunID   `cbor:"run"`
		Events []Event `cbor:"events,omitempty"`
		End    *RunEnd `cbor:"end,omitempty"`
	}

	// Event is an event of a stream.
	Event struct {
		ID      cf.EventID       `cbor:"id"`
		Data    string           `cbor:"data"`
		Version cf.WeightVersion `cbor:"version"`
		At      cf.Millis        `cbor:"at"`
	}

	// RunEnd is the outcome of a run.
	RunEnd struct {
		Status int    `cbor:"status,omitempty"`
		NotRun bool   `cbor:"not_run,omitempty"`
		Error  string `cbor:"error,omitempty"`
		// NotSent marks Error as one of a request that did not reach the target.
		NotSent bool `cbor:"not_sent,omitempty"`
		// Alive has the value of the target's answer.
		Alive bool `cbor:"heard,omitempty"`
		// Stopping means that the host is stopping and has not executed the run, or not to its end.
		Stopping bool `cbor:"stopping,omitempty"`
		// UnknownRun means that the host does not execute such a run.
		UnknownRun bool `cbor:"not_held,omitempty"`
	}
)
