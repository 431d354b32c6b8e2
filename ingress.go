package currantford

import (
	"context"
	"fmt"
	"net/http"
)

type (
	// Refusal is the error of a request that was rejected and certainly not run. It is an
	// ErrRefused that also states when to retry.
	Refusal struct {
		RetryAfter Millis
		Reason     string
	}

	// RequestMemory accounts for the memory that a request takes until it is answered.
	RequestMemory interface {
		// Reserve reserves n more bytes. It returns a Refusal if there is not enough memory.
		Reserve(n int64) error
		// Release returns n bytes.
		Release(n int64)
	}

	// CallerLimits holds the limits on what a caller may send.
	CallerLimits struct {
		BodyBytes int64
	}

	// Ingress is the interface that an entry instance offers to callers. The adapter translates the
	// callers' protocol to it.
	Ingress interface {
		// Ready reports whether callers may be sent to this instance.
		Ready() bool
		// Resolve returns the addresses of the entry instances that serve callers, those in the
		// caller's failure domain first.
		Resolve(domain FailureDomain) (addrs []string, ttl Millis)
		// Limits returns the limits for callers. It returns false until a configuration is known.
		Limits() (CallerLimits, bool)
		// RequestMemory returns the memory accounting of the request of a context.
		RequestMemory(ctx context.Context) RequestMemory
		// BodyTimeout returns how long the body of a request to host and path may take whose
		// caller waits for at most timeout (zero if unknown), or zero without a limit.
		BodyTimeout(host, path string, timeout Millis) Millis
		// OpenRoom returns the memory accounting of an answer to a caller about the batch id.
		OpenRoom(ctx context.Context, who Credentials, id BatchID) Room
		// AcceptsBatches reports whether requests to host and path submit batches.
		AcceptsBatches(host, path string) bool
		// Authenticate reports whether a request may proceed before its body is read. It returns an
		// ErrRefused or ErrUnauthenticated if not.
		Authenticate(host, path string, who Credentials) error
		// Forward sends a request to a target and writes the target's answer to w.
		Forward(ctx context.Context, req *Request, w http.ResponseWriter)
		// Submit accepts a batch durably. Otherwise it returns an ErrRefused, ErrUnauthenticated or
		// ErrNotFound, or ErrUnavailable if it is unknown whether the batch was accepted. The
		// methods below find only batches of the caller's organisation.
		Submit(ctx context.Context, who Credentials, sub Submission) error
		// Results returns a page of a batch's results from position after on. It waits up to wait
		// for a result.
		Results(ctx context.Context, who Credentials, id BatchID, after int, wait Millis) (ResultPage, error)
		// ItemBody returns the body of an item.
		ItemBody(ctx context.Context, who Credentials, id BatchID, item ItemID) ([]byte, error)
		// End ends a batch: no further items of it are started.
		End(ctx context.Context, who Credentials, id BatchID) error
	}
)

// Error returns the reason and the time after which the caller may retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, come back in %d ms", r.Reason, r.RetryAfter)
}

// Is reports a Refusal as an ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }
