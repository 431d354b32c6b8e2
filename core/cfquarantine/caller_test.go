package cfquarantine

import (
	"testing"

	cf "currantford"
)

// A request that crashes its targets gets no fresh tries by another key of its caller,
// from another machine or in a batch; another organisation's is another's.
func TestOrganisationIsOneCaller(t *testing.T) {
	keyFor := func(o cf.Organisation, machine string, keys ...cf.APIKey) Key {
		return KeyOf("POST", "h", "/p", CallerOf(cf.Access{Organisation: o}, cf.Credentials{Keys: keys, Machine: machine}), []byte("x"))
	}
	first := keyFor("a", "m1", "k1")
	for name, c := range map[string]struct {
		key  Key
		same bool
	}{
		"another key and machine":            {keyFor("a", "m2", "k2"), true},
		"another organisation":               {keyFor("b", "m1", "k1"), false},
		"none, a machine of the same name":   {keyFor("", "a"), false},
		"none, a machine":                    {keyFor("", "m1"), false},
		"an item of its batch":               {KeyOfItem(&cf.Submission{ID: cf.Organisation("a").Batch("b1"), Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), true},
		"an item of another's batch":         {KeyOfItem(&cf.Submission{ID: cf.Organisation("b").Batch("b1"), Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), false},
		"an item of a batch that has none":   {KeyOfItem(&cf.Submission{ID: "b1", Host: "h"}, cf.Item{Path: "/p", Body: []byte("x")}), false},
		"the same content, whoever sends it": {Key{Content: first.Content, Caller: first.Caller}, true},
	} {
		if same := c.key == first; same != c.same {
			t.Errorf("%s: the same request %v, want %v", name, same, c.same)
		}
		if c.key.Content != first.Content {
			t.Errorf("%s: another content", name)
		}
	}
}
