// Package cfaccess authenticates callers and decides what their requests may use: which
// organisation a key belongs to under the configuration in force, and how a request with an unknown
// key is handled. It has no sockets and no clock.
//
// It is built for these conditions: keys that are revoked while callers keep using them on open
// connections; two configurations within a second; instances that are cut off and can't tell
// whether their configuration is still in force; and ten thousand organisations, where each change
// of the configuration concerns one of them.
//
// Usage:
//
//	d, err := cfaccess.NewDirectory(organisations) // or previous.Next(organisations)
//	verdict, access := d.Authenticate(keys, use, freshness)
package cfaccess

import (
	cf "currantford"
)

type (
	// Verdict is the result of authenticating a request.
	Verdict int

	// Use holds the access settings of the route of a request.
	Use struct {
		// Public says that the route requires no key.
		Public bool
		// Priority is the priority of the route; 0 is the highest.
		Priority int
	}

	// ConfigFreshness tells how far an instance can rely on its configuration.
	ConfigFreshness struct {
		// Current says that the configuration was known to be the newest a moment ago.
		Current bool
		// KeysTrusted says that keys in the configuration are accepted.
		KeysTrusted bool
	}
)

// Verdicts of Authenticate.
const (
	// Accepted means that the key belongs to an organisation, or that the request needs none.
	Accepted Verdict = iota
	// Rejected means that the request has no key, or one that is not in force.
	Rejected
	// Undetermined means that this instance can't tell whether the key is in force; another
	// instance may be able to.
	Undetermined
)

// Authenticate determines which organisation a request comes from. A request that needs a key and
// carries two is treated as having none, since it is not clear which one counts. An instance that
// can't tell whether its configuration is current does not reject a key, since the key may have
// been added meanwhile; and it accepts the keys that it knows only as long as freshness allows.
func (d *Directory) Authenticate(keys []cf.APIKey, use Use, freshness ConfigFreshness) (Verdict, cf.Access) {
	if d == nil {
		return Accepted, cf.Access{} // the deployment defines no organisations
	}
	o, found := d.lookup(keys)
	switch {
	case found && (freshness.KeysTrusted || use.Public):
		return Accepted, cf.Access{Organisation: o.Name, Priority: effectivePriority(o, use), Ranked: true}
	case use.Public:
		return Accepted, cf.Access{Priority: effectivePriority(entry{}, use), Ranked: true}
	case found || !freshness.Current:
		return Undetermined, cf.Access{}
	default:
		return Rejected, cf.Access{}
	}
}

func (d *Directory) lookup(keys []cf.APIKey) (entry, bool) {
	if len(keys) != 1 || keys[0] == "" {
		return entry{}, false
	}
	return d.findByKey(keys[0])
}

// Access returns the access of an organisation's work on a route. It is for work whose caller was
// authenticated before, such as a batch: revoking a key does not end that work.
func (d *Directory) Access(name cf.Organisation, use Use) cf.Access {
	if d == nil {
		return cf.Access{}
	}
	return cf.Access{Organisation: name, Priority: effectivePriority(d.byName(name), use), Ranked: true}
}

// effectivePriority returns the priority of an organisation's request: that of the organisation
// overrides that of the route.
func effectivePriority(o entry, use Use) int {
	if o.hasPriority {
		return o.priority
	}
	return use.Priority
}
