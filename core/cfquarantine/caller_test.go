package cfquarantine

import (
	"testing"

	cf "currantford"
)

// A request that crashes its targets gains no extra attempts through another key of its caller,
// from another machine or in a batch. Requests of another organisation belong to another caller.
func TestOrganisationIsOneCaller(t *testing.T) {
	keyFor := func(o cf.Organisation, machine string, keys ...cf.APIKey) Key {
		return KeyOf("POST", "h", "/p", CallerOf(cf.Access{Organisation: o}, cf.Credentials{Keys: keys, ClientID: machine}), []byte("x"))
	}
	first := keyFor("a", "m1", "k1")
	for name, c := range map[string]struct {
		key  Key
		same bool
	}{
		"another key and machine":                    {keyFor("a", "m2", "k2"), true},
		"another organisation":                       {keyFor("b", "m1", "k1"), false},
		"no organisation, a machine named like it":   {keyFor("", "a"), false},
		"no organisation, a machine":                 {keyFor("", "m1"), false},
		"an item of its batch":                       {KeyOfItem(&cf.Submission{ID: cf.Organisation("a").Batch("b1"), Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), true},
		"an item of a batch of another organisation": {KeyOfItem(&cf.Submission{ID: cf.Organisation("b").Batch("b1"), Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), false},
		"an item of a batch without organisation":    {KeyOfItem(&cf.Submission{ID: "b1", Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), false},
		"an equal key":                               {Key{Content: first.Content, Caller: first.Caller}, true},
	} {
		if same := c.key == first; same != c.same {
			t.Errorf("%s: same request %v, want %v", name, same, c.same)
		}
		if c.key.Content != first.Content {
			t.Errorf("%s: content digests differ", name)
		}
	}
}
