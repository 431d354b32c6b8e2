package currantford

import (
	"context"
	"errors"
	"net/http"
)

type (
	// InstanceID names one start of a target; a restart has a new one.
	InstanceID string
	// ServiceName names a group of interchangeable targets.
	ServiceName string
	// ModelName names a model whose weights are versioned.
	ModelName string

	// ModelState is a model as a target holds it.
	ModelState struct {
		Name    ModelName     `cbor:"name"`
		Version WeightVersion `cbor:"version"`
	}

	// Target is one back end as the instance list shows it.
	Target struct {
		ID       InstanceID    `cbor:"id"`
		Service  ServiceName   `cbor:"service"`
		Addr     string        `cbor:"addr"`
		Domain   FailureDomain `cbor:"failure_domain"`
		Slots    int           `cbor:"slots"`
		Draining bool          `cbor:"draining"`
		Models   []ModelState  `cbor:"models,omitempty"`
		// Started is the wall clock's time of the target's start; zero when it
		// does not say. A target may start again under its id: it then holds
		// nothing of before, and counts anew.
		Started Millis `cbor:"born,omitempty"`
		// Spot: the platform may reclaim it; Leaves is how long it stays then, as of its
		// entry, zero when it does not say.
		Spot          bool   `cbor:"spot,omitempty"`
		ReclaimNotice Millis `cbor:"leaves,omitempty"`
	}

	// TargetLoad is what a target says of itself in an answer.
	TargetLoad struct {
		Running int
		Waiting int
		Slots   int
		// Pace is how long work takes there at the moment, in percent of what is
		// usual; zero where the target does not say.
		Pace int
		// At is the Uptime at which the target's word arrived.
		At Millis
	}

	// TargetCall is one request as it is sent to one target.
	TargetCall struct {
		ID      RequestID
		Method  string
		Host    string
		Path    string // path and query, as the caller sent them
		Header  http.Header
		Body    []byte
		Timeout Millis // what is left of the caller's deadline
		// ResumeAfter is the last event already delivered; zero starts anew.
		ResumeAfter EventID
		// ExpectVersion makes a target with other weights refuse.
		ExpectVersion WeightVersion
		// Urgency ranks the call at a target, 0 first, where Ranked is set;
		// a target admits more urgent calls first.
		Urgency int
		Ranked  bool
		// Organisation is whose request it is, as this system has found out.
		Organisation Organisation
		// FreshConnection forbids a kept connection: on one that the target
		// is closing it is unknown whether the request was read.
		FreshConnection bool
		// Room is what the answer takes of the memory before it is read; without one it
		// must be small.
		Room Room
	}

	// TargetAnswer is a target's whole answer to a call.
	TargetAnswer struct {
		Status int
		Header http.Header
		Body   []byte
		// NotRun is the target's word that it did not run the request.
		NotRun bool
		Load   *TargetLoad
		// KeepAlive is how long the connection is kept for another call, zero if it
		// is not.
		KeepAlive Millis
		// Alive says that the target was alive after the call was sent: it took a
		// new connection for it, or has begun to answer. It is set beside an error
		// too.
		Alive bool
		// SentAt is the Uptime at which the call had been sent in full, zero if it was
		// not. It is set beside an error too.
		SentAt Millis
		// Signature is the target's mark on the answer, which proves that
		// the target made it for this request.
		Signature string
	}

	// EventID numbers the events of a stream, from 1.
	EventID int64

	// StreamEvent is one event of a target's stream.
	StreamEvent struct {
		ID      EventID
		Data    string
		Version WeightVersion
		// At is the Uptime at which it arrived, zero where it arrives now.
		At Millis
		// Raw is the event as the target sent it, blank line included.
		Raw []byte
	}

	// StreamSink receives a stream; an error ends the run.
	StreamSink interface {
		// Start is called once, when a success begins.
		Start(TargetAnswer) error
		// Event is called for each whole event, in order.
		Event(StreamEvent) error
	}

	// StreamRoute is how one stream reaches its target: Via names the instance that
	// holds it, and Stream, to be called once, is Targets.Stream by that way.
	StreamRoute struct {
		Via    EntryID
		Stream func(ctx context.Context, t Target, call TargetCall, sink StreamSink) (TargetAnswer, error)
	}

	// WatermarkSink is a StreamSink that learns until when no event was missing, where
	// events are handed on some time after they arrived.
	WatermarkSink interface {
		Watermark(at Millis)
	}

	// WeightOrder tells a target to load a version of a model.
	WeightOrder struct {
		Model   ModelName
		Version WeightVersion
		// KeepRuns lets running streams go on under the new version;
		// without it the target finishes them first.
		KeepRuns bool
		Holder   EntryID
		Fence    Revision
		// ExpectSeq is the target's order counter; a late copy of an order
		// finds another value and is refused.
		ExpectSeq int64
	}

	// TargetReport is a model target's account of its orders and weights.
	TargetReport struct {
		Models []ModelState
		Busy   bool
		Seq    int64
		// Started is the start of the target that reports, as in Target.
		Started Millis
		// Memory is what it can hold of the runs' prompts and texts, zero where
		// it does not say.
		Memory Tokens
		Runs   []TargetRun
	}

	// TargetRun is a run as its target holds it.
	TargetRun struct {
		ID RequestID
		// Tokens are those in memory, of the prompt and of the events made.
		Tokens Tokens
		Events EventID
	}

	// Targets sends work and orders to targets. Errors: ErrNotRun (the
	// request surely did not reach a handler), ErrMaybeRan, ErrBadAnswer.
	Targets interface {
		// Send sends a request and returns the whole answer, or an ErrNoRoom where it
		// can't be held.
		Send(ctx context.Context, t Target, call TargetCall) (TargetAnswer, error)
		// Stream sends a request whose answer is a stream of events. The
		// answer's body is only set when the status is not a success.
		Stream(ctx context.Context, t Target, call TargetCall, sink StreamSink) (TargetAnswer, error)
		Report(ctx context.Context, t Target) (TargetReport, error)
		// Reach says whether a new connection to the target can be had: nil,
		// ErrNoProcess or ErrUnavailable.
		Reach(ctx context.Context, t Target) error
		// Order returns nil when the target accepted the order or the order
		// already held, ErrConflict when the order's counter did not match.
		Order(ctx context.Context, t Target, o WeightOrder) error
	}
)

var (
	// ErrNotRun: the request was certainly not run by the target.
	ErrNotRun = errors.New("request was not run")
	// ErrBadAnswer: the target's answer was cut short, malformed or belongs
	// to another request; the request may have run.
	ErrBadAnswer = errors.New("bad answer from target")
)

// Failed says whether the target answered that it failed.
func (a *TargetAnswer) Failed() bool { return a.Status >= http.StatusInternalServerError }
