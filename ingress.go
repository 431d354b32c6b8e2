package currantford

import (
	"context"
	"fmt"
	"net/http"
)

type (
	// Refusal turns a request away that surely has not run. It is an
	// ErrRefused that says when to come back.
	Refusal struct {
		RetryAfter Millis
		Reason     string
	}

	// CallerLimits bound what a caller may send.
	CallerLimits struct {
		BodyBytes int64
	}

	// Ingress is what an entry instance offers to callers; the adapter
	// translates their protocol into it.
	Ingress interface {
		// Ready says whether callers may be sent to this instance.
		Ready() bool
		// Resolve returns the addresses of the entry instances that take
		// callers, those of the caller's failure domain first.
		Resolve(domain FailureDomain) (addrs []string, ttl Millis)
		// Limits returns false before any configuration is known.
		Limits() (CallerLimits, bool)
		// ReserveBody takes room in memory for a body of n bytes, -1 if its
		// length is not said, until release is called.
		ReserveBody(n int64) (release func(), err error)
		// OpenRoom begins the account of what an answer to a caller about a batch takes of
		// the memory.
		OpenRoom(ctx context.Context, who Credentials, id BatchID) Room
		// AcceptsBatches says whether a request is the submission of a batch.
		AcceptsBatches(host, path string) bool
		// Authenticate says whether a request may go on that is not read yet. It
		// returns an ErrRefused or ErrUnauthenticated.
		Authenticate(host, path string, who Credentials) error
		// Forward answers a request by sending it to a target.
		Forward(ctx context.Context, req *Request, w http.ResponseWriter)
		// Submit accepts a batch for good, or returns an ErrRefused,
		// ErrUnauthenticated, ErrNotFound, or ErrUnavailable when it is not known
		// which. The calls below find only batches of the caller's organisation.
		Submit(ctx context.Context, who Credentials, sub Submission) error
		// Results reads a batch from a position on, waiting for one result.
		Results(ctx context.Context, who Credentials, id BatchID, after int, wait Millis) (ResultPage, error)
		// ItemBody returns the body of an item.
		ItemBody(ctx context.Context, who Credentials, id BatchID, item ItemID) ([]byte, error)
		// End ends a batch: none of its items is started any more.
		End(ctx context.Context, who Credentials, id BatchID) error
	}
)

// Error says why and until when.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, come back in %d ms", r.Reason, r.RetryAfter)
}

// Is makes a Refusal an ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }
