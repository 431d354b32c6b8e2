package currantford

import (
	"errors"
	"net/url"
	"strings"
)

type (
	// Organisation is the name of the organisation that a caller belongs to, as in the
	// configuration. The zero value stands for no organisation: a caller on a public route, or a
	// deployment without organisations.
	Organisation string

	// APIKey authenticates a caller as a member of an organisation. Formatting or encoding it never
	// shows the key, since anyone who reads a key in a log line, an error or a message could use it
	// to act for its organisation.
	APIKey string

	// Credentials holds what a request carries to identify its sender.
	Credentials struct {
		Keys []APIKey
		// ClientID distinguishes callers in deployments without organisations: the Authorization
		// header, or the client's IP address without one.
		ClientID string
	}

	// Access is the identity and priority determined for a request.
	Access struct {
		Organisation Organisation
		// Priority is the rank of the request, 0 being the highest. It is valid only if Ranked is
		// set.
		Priority int
		Ranked   bool
	}
)

// ErrUnauthenticated means that the request requires a valid key and carries none.
var ErrUnauthenticated = errors.New("no key that is in force")

// redactedKey replaces a key wherever it would be printed.
const redactedKey = "(key)"

// String returns a placeholder instead of the key.
func (APIKey) String() string { return redactedKey }

// GoString returns a placeholder instead of the key.
func (APIKey) GoString() string { return redactedKey }

// MarshalText returns a placeholder instead of the key.
func (APIKey) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// scopeSeparator separates the organisation from the rest of an id. It is escaped in organisation
// names, so the first one in an id is always the separator.
const scopeSeparator = "~"

// Inside the system the ids of batches, items and groups are scoped by organisation. Two
// organisations that choose the same id have two separate batches, and neither can find, read or
// take over the texts of the other's batch through any path. An id without an organisation is used
// as its caller chose it, unless it contains the separator.

func scoped(o Organisation, id string) string {
	if o == "" && !strings.Contains(id, scopeSeparator) {
		return id
	}
	return strings.ReplaceAll(url.QueryEscape(string(o)), scopeSeparator, "%7E") + scopeSeparator + id
}

func unscoped(id string) string {
	if _, rest, ok := strings.Cut(id, scopeSeparator); ok {
		return rest
	}
	return id
}

func owner(id string) Organisation {
	name, _, ok := strings.Cut(id, scopeSeparator)
	if !ok {
		return ""
	}
	o, err := url.QueryUnescape(name)
	if err != nil {
		return "" // not an id that this system generated
	}
	return Organisation(o)
}

// Batch returns the scoped id of a batch of the organisation.
func (o Organisation) Batch(id BatchID) BatchID { return BatchID(scoped(o, string(id))) }

// Item returns the scoped id of an item of one of the organisation's batches.
func (o Organisation) Item(id ItemID) ItemID { return ItemID(scoped(o, string(id))) }

// Group returns the scoped id of a group of items of the organisation.
func (o Organisation) Group(id GroupID) GroupID { return GroupID(scoped(o, string(id))) }

// Organisation returns the organisation that the batch belongs to.
func (id BatchID) Organisation() Organisation { return owner(string(id)) }

// Unscoped returns the id as chosen by the caller.
func (id BatchID) Unscoped() string { return unscoped(string(id)) }

// RequestID returns the item's request id at a target, which is the id chosen by the submitter.
func (id ItemID) RequestID() RequestID { return RequestID(unscoped(string(id))) }
