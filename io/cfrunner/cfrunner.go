// Package cfrunner divides the streams of a coordinator's runs among the other
// instances. A host holds the streams of some engines, near them, and sends the
// coordinator what they brought a few times a second: one message for all events of
// that time, where each event of each stream woke the coordinator up before. The
// coordinator still decides everything; its pool looks to it like the targets
// themselves.
//
// What can go wrong, and why it does no harm:
//
//   - An order that was held up on its way must start nothing late. Each names the
//     host's own clock as the coordinator last heard it; a host starts nothing by one
//     that is old.
//   - A coordinator that is gone must not keep engines busy. A host that is not asked
//     for news for Patience stops its runs; so does one that hears of a later term.
//   - A run must not go on elsewhere while its host still holds it. A pool waits for
//     the host's word that it has ended, or until the host must have given it up:
//     questions count as of when they were sent, by the host's own clock.
//   - An answer that is lost must not lose events. Reports are numbered, and given
//     again until they are acknowledged.
//
// Usage:
//
//	host := cfrunner.NewHost(targets, log) // on every instance
//	report, err := host.Collect(ctx, call)
//
//	pool := cfrunner.NewPool(options) // at the coordinator
//	defer pool.Close()
//	answer, err := pool.Route(target).Stream(ctx, target, call, sink)
package cfrunner

import (
	cf "currantford"
)

// Operations of the peer link.
const (
	OpOrders  = "run_orders"
	OpCollect = "run_collect"
)

const (
	// startFresh is how old the host's clock in an order may be. A question for
	// news tells it several times a second; a batch's end must hold within 3 s.
	startFresh cf.Millis = 1000
	// reportEvery is how long a host gathers what its streams bring. A step's end
	// does not wait for it: the end of a run is reported at once.
	reportEvery cf.Millis = 150
)

type (
	// RunID numbers the runs of a coordinator, rising.
	RunID uint64

	// SessionID names what a host holds for one coordinator. A host that has
	// started again, or has stopped its runs, begins another one.
	SessionID uint64

	// StartOrder asks a host to hold the stream of a run.
	StartOrder struct {
		Run    RunID         `cbor:"run"`
		Target cf.Target     `cbor:"target"`
		Call   cf.TargetCall `cbor:"call"`
	}

	// Incarnation names a coordinator's time: its term, and a number of its own, since an
	// instance that starts again may go on with its term.
	Incarnation struct {
		Term   cf.Revision `cbor:"term"`
		Number uint64      `cbor:"number"`
	}

	// Orders start and stop runs of a session.
	Orders struct {
		Incarnation Incarnation `cbor:"duty"`
		Session     SessionID   `cbor:"session"`
		// HostClock is the host's clock as of the latest report.
		HostClock cf.Millis    `cbor:"clock"`
		Starts    []StartOrder `cbor:"starts,omitempty"`
		Stops     []RunID      `cbor:"stops,omitempty"`
	}

	// CollectRequest asks a host for news.
	CollectRequest struct {
		Incarnation Incarnation `cbor:"duty"`
		Session     SessionID   `cbor:"session"`
		// LastReport is the number of the last report that arrived.
		LastReport int64 `cbor:"got"`
		// HostClock is the host's clock when the question was sent, or some time before:
		// by its latest report and the time since that arrived.
		HostClock cf.Millis `cbor:"clock"`
	}

	// Report is what the streams of a session brought since the report before.
	Report struct {
		Session SessionID `cbor:"session"`
		Number  int64     `cbor:"number"`
		// HostClock is the host's clock now; the events' times are by it.
		HostClock cf.Millis   `cbor:"clock"`
		Runs      []RunUpdate `cbor:"runs,omitempty"`
	}

	// RunUpdate is what one run brought.
	RunUpdate struct {
		Run    RunID   `cbor:"run"`
		Events []Event `cbor:"events,omitempty"`
		End    *RunEnd `cbor:"end,omitempty"`
	}

	// Event is one event of a stream.
	Event struct {
		ID      cf.EventID       `cbor:"id"`
		Data    string           `cbor:"data"`
		Version cf.WeightVersion `cbor:"version"`
		At      cf.Millis        `cbor:"at"`
	}

	// RunEnd is how a run ended.
	RunEnd struct {
		Status int    `cbor:"status,omitempty"`
		NotRun bool   `cbor:"not_run,omitempty"`
		Error  string `cbor:"error,omitempty"`
		// NotSent: the error is that the request did not reach the target.
		NotSent bool `cbor:"not_sent,omitempty"`
		// Alive is that of the target's answer.
		Alive bool `cbor:"heard,omitempty"`
		// UnknownRun: the host has no such run.
		UnknownRun bool `cbor:"not_held,omitempty"`
	}
)
