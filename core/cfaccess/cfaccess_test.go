package cfaccess

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	cf "currantford"
)

var (
	current = ConfigFreshness{Current: true, KeysTrusted: true}
	stale   = ConfigFreshness{KeysTrusted: true} // cut off, but keys are still accepted
	expired = ConfigFreshness{}                  // cut off for too long
)

func org(name string, keys ...cf.APIKey) Organisation {
	return Organisation{Name: cf.Organisation(name), Keys: keys}
}

func directory(t testing.TB, organisations ...Organisation) *Directory {
	t.Helper()
	d, err := NewDirectory(organisations)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestAuthenticate checks the result for the keys that a request carries, the settings of its
// route, and the freshness of the instance's configuration.
func TestAuthenticate(t *testing.T) {
	d := directory(t, org("a", "a1", "a2"), org("b", "b1"), org("none"))
	for _, c := range []struct {
		name         string
		keys         []cf.APIKey
		public       bool
		freshness    ConfigFreshness
		verdict      Verdict
		organisation cf.Organisation
	}{
		{"a key", []cf.APIKey{"a1"}, false, current, Accepted, "a"},
		{"another of its keys", []cf.APIKey{"a2"}, false, current, Accepted, "a"},
		{"none", nil, false, current, Rejected, ""},
		{"an empty key", []cf.APIKey{""}, false, current, Rejected, ""},
		{"not in force", []cf.APIKey{"a3"}, false, current, Rejected, ""},
		{"part of a key", []cf.APIKey{"a"}, false, current, Rejected, ""},
		{"an organisation's name", []cf.APIKey{"none"}, false, current, Rejected, ""},
		{"doubled", []cf.APIKey{"a1", "a1"}, false, current, Rejected, ""},
		{"two organisations' keys", []cf.APIKey{"a1", "b1"}, false, current, Rejected, ""},
		{"public, no key", nil, true, current, Accepted, ""},
		{"public, a key", []cf.APIKey{"b1"}, true, current, Accepted, "b"},
		{"public, not in force", []cf.APIKey{"a3"}, true, current, Accepted, ""},
		{"public, two keys", []cf.APIKey{"a1", "b1"}, true, current, Accepted, ""},
		{"cut off, a key", []cf.APIKey{"a1"}, false, stale, Accepted, "a"},
		{"cut off, an unknown key", []cf.APIKey{"a3"}, false, stale, Undetermined, ""},
		{"cut off, no key", nil, false, stale, Undetermined, ""},
		{"cut off too long, a key", []cf.APIKey{"a1"}, false, expired, Undetermined, ""},
		{"cut off too long, public", nil, true, expired, Accepted, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict, access := d.Authenticate(c.keys, Use{Public: c.public}, c.freshness)
			if verdict != c.verdict || access.Organisation != c.organisation {
				t.Errorf("verdict %d for %q, want %d for %q", verdict, access.Organisation, c.verdict, c.organisation)
			}
		})
	}
	var noDirectory *Directory
	if verdict, access := noDirectory.Authenticate([]cf.APIKey{"a1"}, Use{}, current); verdict != Accepted || access != (cf.Access{}) {
		t.Errorf("without organisations: verdict %d, %+v", verdict, access)
	}
}

func TestOrganisationPriorityOverridesRoute(t *testing.T) {
	first := org("first", "k")
	first.HasPriority = true
	d := directory(t, first, org("other", "l"))
	for _, c := range []struct {
		key     cf.APIKey
		route   int
		class   Class
		urgency int
	}{
		{"k", 2, Interactive, 0}, {"k", 2, ShortItem, 2}, {"l", 2, Interactive, 6}, {"l", 0, LongItem, 1}, {"l", 1, Interactive, 3}, {"l", 9, ShortItem, 8}, {"l", -1, Interactive, 0},
	} {
		_, access := d.Authenticate([]cf.APIKey{c.key}, Use{Priority: c.route}, current)
		if got := Urgency(access, c.class); got != c.urgency {
			t.Errorf("key %q on a route of priority %d, class %d: %d, want %d", string(c.key), c.route, c.class, got, c.urgency)
		}
		if batch := d.Access(access.Organisation, Use{Priority: c.route}); batch != access {
			t.Errorf("access %+v of a batch, %+v of a request", batch, access)
		}
	}
	if got := Urgency(cf.Access{}, Interactive); got != 5 {
		t.Errorf("urgency %d without ranking, want 5", got)
	}
}

// TestSuccessiveDirectories guards against a request that is attributed to an organisation which
// does not own its key, or that is refused with a key in force. In a series of configurations keys
// move, go and come back, names change, and the order changes; the fault would be in the parts that
// a directory shares with the previous one.
func TestSuccessiveDirectories(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		keys := make([]cf.APIKey, 30)
		for i := range keys {
			keys[i] = cf.APIKey(fmt.Sprint("key", i))
		}
		var d *Directory
		for step := range 12 {
			var list []Organisation
			free := slices.Clone(keys)
			r.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
			for n := range 1 + r.IntN(8) {
				o := Organisation{Name: cf.Organisation(fmt.Sprint("o", (n + r.IntN(2)*10))), Priority: r.IntN(2), HasPriority: r.IntN(2) == 0}
				keyCount := r.IntN(4)
				o.Keys, free = free[:keyCount:keyCount], free[keyCount:]
				list = append(list, o)
			}
			if step > 0 && r.IntN(2) == 0 {
				list = slices.Clone(d.list) // only one of them changes
				i := r.IntN(len(list))
				list[i].Keys = list[i].Keys[:r.IntN(len(list[i].Keys)+1)]
			}
			var err error
			previous := d
			if d == nil {
				d, err = NewDirectory(list)
			} else {
				d, err = d.Next(list)
			}
			if err != nil {
				t.Fatal(err)
			}
			checkDirectory(t, d, list, keys)
			if previous != nil {
				checkDirectory(t, previous, previous.list, keys) // requests in flight still use it
			}
		}
	}
}

func checkDirectory(t *testing.T, d *Directory, list []Organisation, keys []cf.APIKey) {
	t.Helper()
	for _, key := range keys {
		want := cf.Organisation("")
		for _, o := range list {
			if slices.Contains(o.Keys, key) {
				want = o.Name
			}
		}
		if got, found := d.findByKey(key); got.Name != want || found != (want != "") {
			t.Fatalf("key %q belongs to %q, want %q", string(key), got.Name, want)
		}
	}
	if d.Size() != len(list) {
		t.Fatalf("%d organisations, want %d", d.Size(), len(list))
	}
}

// TestInvalidDirectoriesAreRejected checks that invalid configurations are rejected as a whole, and
// that the error contains no key.
func TestInvalidDirectoriesAreRejected(t *testing.T) {
	valid := []Organisation{org("a", "secret-a"), org("b", "secret-b")}
	d := directory(t, valid...)
	for name, list := range map[string][]Organisation{
		"a key of two":                        {org("a", "secret-a"), org("b", "secret-a")},
		"a key of two, one of them unchanged": {org("a", "secret-a"), org("b", "secret-b"), org("c", "secret-a")},
		"a key twice":                         {org("a", "secret-a", "secret-a")},
		"an empty key":                        {org("a", "secret-a", "")},
		"no name":                             {org("", "secret-c")},
		"a name twice":                        {org("a", "secret-a"), org("b", "secret-b"), org("a", "secret-c")},
	} {
		next, err := d.Next(list)
		if !errors.Is(err, cf.ErrInvalid) || next != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error shows a key: %v", name, err)
		}
	}
	checkDirectory(t, d, valid, []cf.APIKey{"secret-a", "secret-b", "secret-c", ""})
}

func TestUpdateCopiesOnlyChangedShards(t *testing.T) {
	d := directory(t, manyOrganisations(10_000)...)
	list := slices.Clone(d.list)
	list[5000].Keys = []cf.APIKey{"another"}
	next, err := d.Next(list)
	if err != nil {
		t.Fatal(err)
	}
	copied := 0
	for i := range shardCount {
		if fmt.Sprintf("%p", d.keys[i]) != fmt.Sprintf("%p", next.keys[i]) {
			copied++
		}
	}
	if copied > 3 {
		t.Errorf("%d of %d shards were copied for one organisation", copied, shardCount)
	}
}

func manyOrganisations(n int) []Organisation {
	out := make([]Organisation, n)
	for i := range out {
		out[i] = org(fmt.Sprint("organisation", i), cf.APIKey(fmt.Sprintf("key-%019d-1", i)), cf.APIKey(fmt.Sprintf("key-%019d-2", i)))
	}
	return out
}

var sizes = []int{85, 10_000}

func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := directory(b, manyOrganisations(n)...)
			keys := [][]cf.APIKey{d.list[n/2].Keys[:1]}
			b.ReportAllocs()
			for b.Loop() {
				if verdict, _ := d.Authenticate(keys[0], Use{}, current); verdict != Accepted {
					b.Fatal(verdict)
				}
			}
		})
	}
}

// BenchmarkDirectoryUpdate measures applying a configuration that changes one organisation, from
// the changed entries and from the full list.
func BenchmarkDirectoryUpdate(b *testing.B) {
	for _, n := range sizes {
		d := directory(b, manyOrganisations(n)...)
		list := slices.Clone(d.list)
		list[n/2].Keys = []cf.APIKey{"another"}
		b.Run(fmt.Sprint("change/", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := d.withChanges(d.list[n/2:n/2+1], list[n/2:n/2+1]); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("list/", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := d.Next(list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
