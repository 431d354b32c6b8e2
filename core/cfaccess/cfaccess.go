// Package cfaccess decides who a request comes from and what it may use: which
// organisation a key belongs to under the configuration in force, and what becomes of
// a request whose key is not known. It has no sockets and no clock.
//
// The load it answers: a key that is taken away from callers who go on with it on kept
// connections; two configurations within a second; instances that are cut off and
// can't tell whether what they know is in force; ten thousand organisations of which
// each change concerns one.
//
// Usage:
//
//	d, err := cfaccess.NewDirectory(organisations) // or before.Next(organisations)
//	verdict, access := d.Judge(keys, use, view)
package cfaccess

import (
	cf "currantford"
)

type (
	// Verdict is what becomes of a request.
	Verdict int

	// Use is what a request asks for.
	Use struct {
		// Public: its route asks for no key.
		Public bool
		// Priority is that of its route, 0 first.
		Priority int
	}

	// ConfigFreshness is how far an instance can rely on its configuration.
	ConfigFreshness struct {
		// Current: the configuration was known to be the newest a moment ago.
		Current bool
		// KeysTrusted: keys that it knows are believed.
		KeysTrusted bool
	}
)

// Verdicts.
const (
	// Accepted: the request is its organisation's, or needs none.
	Accepted Verdict = iota
	// Rejected: no key, or one that is not in force.
	Rejected
	// Undetermined: this instance can't tell; another may.
	Undetermined
)

// Authenticate says who a request comes from. A request that needs a key and bears two has
// none: which one counts would be a guess. An instance that can't tell whether its
// configuration is current refuses no key for good, since the key may have been added
// meanwhile; and it believes those that it knows only as long as View says.
func (d *Directory) Authenticate(keys []cf.APIKey, use Use, view ConfigFreshness) (Verdict, cf.Access) {
	if d == nil {
		return Accepted, cf.Access{} // the deployment keeps no organisations
	}
	o, found := d.lookUp(keys)
	switch {
	case found && (view.KeysTrusted || use.Public):
		return Accepted, cf.Access{Organisation: o.Name, Priority: rank(o, use), Ranked: true}
	case use.Public:
		return Accepted, cf.Access{Priority: rank(entry{}, use), Ranked: true}
	case found || !view.Current:
		return Undetermined, cf.Access{}
	default:
		return Rejected, cf.Access{}
	}
}

func (d *Directory) lookUp(keys []cf.APIKey) (entry, bool) {
	if len(keys) != 1 || keys[0] == "" {
		return entry{}, false
	}
	return d.find(keys[0])
}

// Access returns what an organisation's work ranks as on a route, for work whose caller
// was found before, such as a batch: a key that is taken away does not end it.
func (d *Directory) Access(name cf.Organisation, use Use) cf.Access {
	if d == nil {
		return cf.Access{}
	}
	return cf.Access{Organisation: name, Priority: rank(d.named(name), use), Ranked: true}
}

// rank returns the priority of an organisation's request: its own goes before its
// route's.
func rank(o entry, use Use) int {
	if o.ranked {
		return o.priority
	}
	return use.Priority
}
