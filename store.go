package currantford

import (
	"context"
	"encoding/json"
	"errors"
)

type (
	// Revision is the change counter of the platform's store; every change increases it.
	Revision int64

	// Record is an object of the platform's store. The operator, a trainer or a target writes Spec;
	// the component that processes the object writes Status.
	Record struct {
		Name    string          `cbor:"name"`
		Rev     Revision        `cbor:"rev"`
		Spec    json.RawMessage `cbor:"spec,omitempty"`
		Status  json.RawMessage `cbor:"status,omitempty"`
		Deleted bool            `cbor:"deleted,omitempty"`
	}

	// Records is the result of a list or watch call: the objects, and the store's revision to pass
	// to the next watch.
	Records struct {
		Items []Record `cbor:"items"`
		Rev   Revision `cbor:"at"`
	}

	// Store is the platform's object store. Reads are linearizable. Its methods return ErrNotFound,
	// ErrConflict (with which Create and Replace return the current object), ErrHistoryGone,
	// ErrRefused (nothing was done) or ErrUnavailable (no answer; the call may have taken effect or
	// may still do so).
	Store interface {
		Get(ctx context.Context, kind, name string) (Record, error)
		// List returns all objects of kind.
		List(ctx context.Context, kind string) (Records, error)
		// Watch returns the changes of kind after revision since, or none if there are none within
		// wait.
		Watch(ctx context.Context, kind string, since Revision, wait Millis) (Records, error)
		// Create writes a new object. If the object is large, the returned record is empty.
		Create(ctx context.Context, kind, name string, spec any) (Record, error)
		// Replace writes spec if the object is still at revision rev.
		Replace(ctx context.Context, kind, name string, rev Revision, spec any) (Record, error)
		SetStatus(ctx context.Context, kind, name string, status any) error
		Delete(ctx context.Context, kind, name string) error
	}

	// Relay forwards calls to the store through other instances. The adapter defines the encoding
	// of such a call.
	Relay interface {
		// SetRelay sets the function that sends a call to another instance, whose store is to
		// answer it within timeout. watch marks a call that waits for changes.
		SetRelay(call func(ctx context.Context, timeout Millis, watch bool, body, answer any) error)
		// HandleRelayed executes a call that another instance has forwarded.
		HandleRelayed(ctx context.Context, body []byte) (any, error)
	}
)

// Kinds of objects that this system creates in the store.
const (
	// KindLease is the kind of the leases, one object per elected role.
	KindLease = "currantford-leases"
	// KindBatch is the kind of accepted batches, one object each.
	KindBatch = "currantford-batches"
	// KindQuarantine is the kind of the records about requests that crash targets.
	KindQuarantine = "currantford-quarantine"
	// KindUsage is the kind of usage reports that are not yet sent.
	KindUsage = "currantford-usage"
	// KindScaling is the kind of the desired engine counts, which are stored before engines are
	// ordered.
	KindScaling = "currantford-scaling"
	// kindPartsPrefix is the prefix of the kind that holds the items of one batch, if they do not
	// fit into the batch's object.
	kindPartsPrefix = "currantford-parts-"
	// kindResultsPrefix is the prefix of the kind that holds the results of one batch.
	kindResultsPrefix = "currantford-results-"
	// kindTextsPrefix is the prefix of the kind that holds the incomplete texts of one batch.
	kindTextsPrefix = "currantford-texts-"
)

var (
	// ErrRefused means that the call was rejected and nothing was done.
	ErrRefused = errors.New("refused, nothing was done")
	// ErrHistoryGone means that a watch asked for changes that the store no longer keeps. The
	// caller has to list again.
	ErrHistoryGone = errors.New("watch history is gone")
)

// KindParts returns the kind of the objects that hold the items of a large batch.
func KindParts(id BatchID) string { return kindPartsPrefix + string(id) }

// KindTexts returns the kind of the objects that hold a batch's long texts while they are
// generated.
func KindTexts(id BatchID) string { return kindTextsPrefix + string(id) }

// KindResults returns the kind of the objects that hold the results of a batch, one object per
// chunk. The kind is specific to the batch so that one list call reads all of its results.
func KindResults(id BatchID) string { return kindResultsPrefix + string(id) }
