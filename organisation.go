package currantford

import (
	"errors"
	"net/url"
	"strings"
)

type (
	// Organisation names who a caller belongs to, as the configuration does. The
	// zero value is nobody: a caller on a public route, or a deployment that keeps no
	// organisations.
	Organisation string

	// APIKey proves that a caller belongs to an organisation. However it is printed,
	// it does not show: a key in a log line, an error or a message lets whoever reads
	// it act for its organisation.
	APIKey string

	// Credentials are what a request bears of who sends it.
	Credentials struct {
		Keys []APIKey
		// ClientID tells callers apart where there are no organisations.
		ClientID string
	}

	// Access is who a request was found to come from.
	Access struct {
		Organisation Organisation
		// Priority ranks the request, 0 first, where Ranked is set.
		Priority int
		Ranked   bool
	}
)

// ErrUnauthenticated: the request bears no key that is in force, and needs one.
var ErrUnauthenticated = errors.New("no key that is in force")

// keyShown stands wherever a key would be printed.
const keyShown = "(key)"

// String hides the key.
func (APIKey) String() string { return keyShown }

// GoString hides the key.
func (APIKey) GoString() string { return keyShown }

// MarshalText hides the key.
func (APIKey) MarshalText() ([]byte, error) { return []byte(keyShown), nil }

// scopeMark ends the organisation in an id. Names are escaped so that it stands in none.
const scopeMark = "~"

// Within the system the ids of batches, items and groups belong to their
// organisation: two that choose the same id have two batches, and none reaches, learns
// of, or takes the texts of another's, whichever path asks for it. An id without an
// organisation is as its caller chose it.

func scoped(o Organisation, id string) string {
	if o == "" && !strings.Contains(id, scopeMark) {
		return id
	}
	return strings.ReplaceAll(url.QueryEscape(string(o)), scopeMark, "%7E") + scopeMark + id
}

func bare(id string) string {
	if _, rest, ok := strings.Cut(id, scopeMark); ok {
		return rest
	}
	return id
}

func owner(id string) Organisation {
	name, _, ok := strings.Cut(id, scopeMark)
	if !ok {
		return ""
	}
	o, err := url.QueryUnescape(name)
	if err != nil {
		return "" // no id of this system
	}
	return Organisation(o)
}

// Batch returns the id of an organisation's batch.
func (o Organisation) Batch(id BatchID) BatchID { return BatchID(scoped(o, string(id))) }

// Item returns the id of an item of an organisation's batch.
func (o Organisation) Item(id ItemID) ItemID { return ItemID(scoped(o, string(id))) }

// Group returns the id of a group of an organisation's items.
func (o Organisation) Group(id GroupID) GroupID { return GroupID(scoped(o, string(id))) }

// Organisation returns whose batch it is.
func (id BatchID) Organisation() Organisation { return owner(string(id)) }

// Unscoped returns the id as the caller chose it.
func (id BatchID) Unscoped() string { return bare(string(id)) }

// RequestID returns the id that the item bears at a target, as its submitter chose it.
func (id ItemID) RequestID() RequestID { return RequestID(bare(string(id))) }
