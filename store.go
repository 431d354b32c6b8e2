package currantford

import (
	"context"
	"encoding/json"
	"errors"
)

type (
	// Revision is the platform store's counter; every change raises it.
	Revision int64

	// Record is one object of the platform's store. The operator, a trainer
	// or a target writes Spec; whoever acts on the object writes Status.
	Record struct {
		Name    string          `cbor:"name"`
		Rev     Revision        `cbor:"rev"`
		Spec    json.RawMessage `cbor:"spec,omitempty"`
		Status  json.RawMessage `cbor:"status,omitempty"`
		Deleted bool            `cbor:"deleted,omitempty"`
	}

	// Records is the answer of a list or a watch: the objects, and the
	// store's revision from which the next watch goes on.
	Records struct {
		Items []Record `cbor:"items"`
		Rev   Revision `cbor:"at"`
	}

	// Store is the platform's object store. Reads are linearizable. Errors:
	// ErrNotFound, ErrConflict (Create and Replace then return the current
	// object), ErrHistoryGone, ErrRefused (nothing was done) and
	// ErrUnavailable (no answer: the call may have taken effect, or may yet).
	Store interface {
		Get(ctx context.Context, kind, name string) (Record, error)
		// List returns every object of kind.
		List(ctx context.Context, kind string) (Records, error)
		// Watch returns the changes of kind after revision since, or none
		// when wait has passed.
		Watch(ctx context.Context, kind string, since Revision, wait Millis) (Records, error)
		// Create writes a new object. Of a large one the record that it returns is
		// empty.
		Create(ctx context.Context, kind, name string, spec any) (Record, error)
		// Replace writes spec if the object is still at rev.
		Replace(ctx context.Context, kind, name string, rev Revision, spec any) (Record, error)
		SetStatus(ctx context.Context, kind, name string, status any) error
		Delete(ctx context.Context, kind, name string) error
	}

	// Relay passes calls to the store through other instances; the adapter
	// knows their form.
	Relay interface {
		// SetRelay sets how a call reaches another instance, there to be
		// answered by the store within timeout; watch tells that the call waits
		// for changes.
		SetRelay(call func(ctx context.Context, timeout Millis, watch bool, body, answer any) error)
		// HandleRelayed carries out a call that another instance passed on.
		HandleRelayed(ctx context.Context, body []byte) (any, error)
	}
)

// Kinds of the store that the product itself creates.
const (
	// KindLease holds the lease of each duty.
	KindLease = "currantford-leases"
	// KindBatch holds accepted batches, one object each.
	KindBatch = "currantford-batches"
	// KindQuarantine holds what is known of requests that crash targets.
	KindQuarantine = "currantford-quarantine"
	// KindUsage holds the reports of use before they are sent.
	KindUsage = "currantford-usage"
	// KindScaling holds the engines that are wanted, before they are ordered.
	KindScaling = "currantford-scaling"
	// kindParts is the head of the kind that holds one batch's items, where
	// they do not fit into its object.
	kindParts = "currantford-parts-"
	// kindResults is the head of the kind that holds one batch's results.
	kindResults = "currantford-results-"
	// kindTexts is the head of the kind that holds one batch's texts under way.
	kindTexts = "currantford-texts-"
)

var (
	// ErrRefused: the call was turned away and nothing was done.
	ErrRefused = errors.New("refused, nothing was done")
	// ErrHistoryGone: a watch asked for changes that the store has dropped;
	// the caller lists again.
	ErrHistoryGone = errors.New("watch history is gone")
)

// KindParts is the kind under which the items of a large batch are kept.
func KindParts(id BatchID) string { return kindParts + string(id) }

// KindTexts is the kind under which long texts of a batch are kept while they are
// generated.
func KindTexts(id BatchID) string { return kindTexts + string(id) }

// KindResults is the kind under which the results of a batch are kept, one
// object per chunk. A kind of its own lets one list call read a batch.
func KindResults(id BatchID) string { return kindResults + string(id) }
