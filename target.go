package currantford

import (
	"context"
	"errors"
	"net/http"
)

type (
	// InstanceID identifies a target in the instance list. A restarted target usually has a new id;
	// Target.Started distinguishes restarts under the same id.
	InstanceID string
	// ServiceName is the name of a group of interchangeable targets.
	ServiceName string
	// ModelName is the name of a model with versioned weights.
	ModelName string

	// ModelState is a model and the version of it that a target has loaded.
	ModelState struct {
		Name    ModelName     `cbor:"name"`
		Version WeightVersion `cbor:"version"`
	}

	// Target is a back end as shown in the instance list.
	Target struct {
		ID       InstanceID    `cbor:"id"`
		Service  ServiceName   `cbor:"service"`
		Addr     string        `cbor:"addr"`
		Domain   FailureDomain `cbor:"failure_domain"`
		Slots    int           `cbor:"slots"`
		Draining bool          `cbor:"draining"`
		Models   []ModelState  `cbor:"models,omitempty"`
		// Started is the wall-clock time at which the target started, zero if unknown. A target
		// that restarts under the same id has lost all previous state, and its counters start
		// again.
		Started Millis `cbor:"born,omitempty"`
		// Spot marks a target that the platform may reclaim. ReclaimNotice is how long a reclaimed
		// target still runs, as stated in its instance list entry; zero if not stated.
		Spot          bool   `cbor:"spot,omitempty"`
		ReclaimNotice Millis `cbor:"leaves,omitempty"`
	}

	// TargetLoad is the load that a target reports in an answer.
	TargetLoad struct {
		Running int
		Waiting int
		Slots   int
		// Pace is the duration of work at the target as a percentage of the usual duration, zero if
		// the target does not report it.
		Pace int
		// At is the Uptime at which the report arrived.
		At Millis
	}

	// TargetCall is a request as sent to a target.
	TargetCall struct {
		ID      RequestID
		Method  string
		Host    string
		Path    string // path and query, as sent by the caller
		Header  http.Header
		Body    []byte
		Timeout Millis // remaining time until the caller's deadline
		// ResumeAfter is the last event that was already delivered, zero for a stream from the
		// beginning.
		ResumeAfter EventID
		// ExpectVersion makes a target with other weights refuse the call.
		ExpectVersion WeightVersion
		// Urgency is the rank of the call at a target, 0 being the most urgent; targets admit more
		// urgent calls first. It is valid only if Ranked is set.
		Urgency int
		Ranked  bool
		// Organisation is the organisation to which this system attributes the request.
		Organisation Organisation
		// FreshConnection forbids reuse of an idle connection. If the target closes a reused
		// connection, it is unknown whether it has read the request.
		FreshConnection bool
		// Room accounts for the memory of the answer. Memory is reserved before it is read into.
		// Without a Room, only a small answer is accepted.
		Room Room
	}

	// TargetAnswer is a target's complete answer to a call.
	TargetAnswer struct {
		Status int
		Header http.Header
		Body   []byte
		// NotRun is set if the target states that it did not run the request.
		NotRun bool
		Load   *TargetLoad
		// KeepAlive is how long the connection stays open for another call, zero if it is closed.
		KeepAlive Millis
		// Alive reports that the target was alive after the call was sent: it accepted a new
		// connection for the call or began to answer. It is set together with an error, too.
		Alive bool
		// SentAt is the Uptime at which the call had been sent completely, zero if it was not. It
		// is set together with an error, too.
		SentAt Millis
		// Signature is the target's signature of the answer. It proves that the target produced the
		// answer for this request.
		Signature string
	}

	// EventID is the number of an event within a stream, starting at 1.
	EventID int64

	// StreamEvent is an event of a target's stream.
	StreamEvent struct {
		ID      EventID
		Data    string
		Version WeightVersion
		// At is the Uptime at which the event arrived, zero if it has just arrived.
		At Millis
		// Raw is the event's original encoding, including the blank line at its end.
		Raw []byte
	}

	// StreamSink receives the events of a stream. If a method returns an error, the run ends.
	StreamSink interface {
		// Start is called once, at the beginning of a successful answer.
		Start(TargetAnswer) error
		// Event is called for each complete event, in order.
		Event(StreamEvent) error
	}

	// StreamRoute is the path of a stream to its target. Via is the instance that runs the stream.
	// Stream has the effect of Targets.Stream through that instance and may be called once.
	StreamRoute struct {
		Via    EntryID
		Stream func(ctx context.Context, t Target, call TargetCall, sink StreamSink) (TargetAnswer, error)
	}

	// WatermarkSink is implemented by a StreamSink whose events may be delivered some time after
	// they arrived. Watermark reports that all events that arrived up to the Uptime at have been
	// delivered.
	WatermarkSink interface {
		Watermark(at Millis)
	}

	// WeightOrder tells a target to load a version of a model.
	WeightOrder struct {
		Model   ModelName
		Version WeightVersion
		// KeepRuns lets running streams continue with the new version; otherwise the target
		// finishes them first.
		KeepRuns bool
		Holder   EntryID
		Fence    Revision
		// ExpectSeq is the expected value of the target's order counter. The target refuses a
		// delayed duplicate of an order, since its counter has a different value by then.
		ExpectSeq int64
	}

	// TargetReport is a model target's report about its orders, weights and runs.
	TargetReport struct {
		Models []ModelState
		Busy   bool
		Seq    int64
		// Started is the start time of the reporting target, as in Target.
		Started Millis
		// Memory is the number of prompt and output tokens that the target can hold for all its
		// runs, zero if not reported.
		Memory Tokens
		Runs   []TargetRun
	}

	// TargetRun is a run as reported by its target.
	TargetRun struct {
		ID RequestID
		// Tokens is the number of tokens in the target's memory, those of the prompt and those of
		// the events generated so far.
		Tokens Tokens
		Events EventID
	}

	// Targets sends requests and orders to targets. Its methods return ErrNotRun (the request
	// certainly did not reach a handler), ErrMaybeRan or ErrBadAnswer.
	Targets interface {
		// Send sends a request and returns the complete answer, or an ErrNoRoom if there is no
		// memory for the answer.
		Send(ctx context.Context, t Target, call TargetCall) (TargetAnswer, error)
		// Stream sends a request that is answered by a stream of events. The returned answer has a
		// body only if its status is not a success.
		Stream(ctx context.Context, t Target, call TargetCall, sink StreamSink) (TargetAnswer, error)
		Report(ctx context.Context, t Target) (TargetReport, error)
		// Reach reports whether a new connection to the target can be established: it returns nil,
		// ErrNoProcess or ErrUnavailable.
		Reach(ctx context.Context, t Target) error
		// Order returns nil if the target accepted the order or had already executed it, and
		// ErrConflict if the order's counter did not match.
		Order(ctx context.Context, t Target, o WeightOrder) error
	}
)

var (
	// ErrNotRun means that the target certainly did not run the request.
	ErrNotRun = errors.New("request was not run")
	// ErrBadAnswer means that the target's answer was truncated, malformed or belongs to another
	// request. The request may have run.
	ErrBadAnswer = errors.New("bad answer from target")
)

// PromisesNotRun reports whether the status of the answer would promise a caller that the request
// has not run and never will, so that the caller may send it again. A target's own statement is
// NotRun.
func (a *TargetAnswer) PromisesNotRun() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Failed reports whether the target answered with a server error.
func (a *TargetAnswer) Failed() bool { return a.Status >= http.StatusInternalServerError }
