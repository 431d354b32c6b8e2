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
	sure = ConfigFreshness{Current: true, KeysTrusted: true}
	cut  = ConfigFreshness{KeysTrusted: true} // cut off, and its keys are believed still
	lost = ConfigFreshness{}                  // cut off for too long
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

// Who a request comes from, by what it bears, what its route asks for, and how far the
// instance can rely on its configuration.
func TestWhoARequestComesFrom(t *testing.T) {
	d := directory(t, org("a", "a1", "a2"), org("b", "b1"), org("none"))
	for _, c := range []struct {
		name    string
		keys    []cf.APIKey
		public  bool
		view    ConfigFreshness
		verdict Verdict
		who     cf.Organisation
	}{
		{"a key", []cf.APIKey{"a1"}, false, sure, Accepted, "a"},
		{"another of its keys", []cf.APIKey{"a2"}, false, sure, Accepted, "a"},
		{"none", nil, false, sure, Rejected, ""},
		{"an empty one", []cf.APIKey{""}, false, sure, Rejected, ""},
		{"not in force", []cf.APIKey{"a3"}, false, sure, Rejected, ""},
		{"part of one", []cf.APIKey{"a"}, false, sure, Rejected, ""},
		{"an organisation's name", []cf.APIKey{"none"}, false, sure, Rejected, ""},
		{"doubled", []cf.APIKey{"a1", "a1"}, false, sure, Rejected, ""},
		{"two organisations' keys", []cf.APIKey{"a1", "b1"}, false, sure, Rejected, ""},
		{"public, none", nil, true, sure, Accepted, ""},
		{"public, a key", []cf.APIKey{"b1"}, true, sure, Accepted, "b"},
		{"public, not in force", []cf.APIKey{"a3"}, true, sure, Accepted, ""},
		{"public, doubled", []cf.APIKey{"a1", "b1"}, true, sure, Accepted, ""},
		{"cut off, a key", []cf.APIKey{"a1"}, false, cut, Accepted, "a"},
		{"cut off, not known here", []cf.APIKey{"a3"}, false, cut, Undetermined, ""},
		{"cut off, none", nil, false, cut, Undetermined, ""},
		{"cut off for long, a key", []cf.APIKey{"a1"}, false, lost, Undetermined, ""},
		{"cut off for long, public", nil, true, lost, Accepted, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict, access := d.Authenticate(c.keys, Use{Public: c.public}, c.view)
			if verdict != c.verdict || access.Organisation != c.who {
				t.Errorf("verdict %d for %q, want %d for %q", verdict, access.Organisation, c.verdict, c.who)
			}
		})
	}
	var none *Directory
	if verdict, access := none.Authenticate([]cf.APIKey{"a1"}, Use{}, sure); verdict != Accepted || access != (cf.Access{}) {
		t.Errorf("without organisations: verdict %d, %+v", verdict, access)
	}
}

func TestAnOrganisationsPriorityGoesFirst(t *testing.T) {
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
		_, access := d.Authenticate([]cf.APIKey{c.key}, Use{Priority: c.route}, sure)
		if got := Urgency(access, c.class); got != c.urgency {
			t.Errorf("key %q on a route of priority %d, class %d: %d, want %d", string(c.key), c.route, c.class, got, c.urgency)
		}
		if batch := d.Access(access.Organisation, Use{Priority: c.route}); batch != access {
			t.Errorf("its batch ranks as %+v, a request as %+v", batch, access)
		}
	}
	if got := Urgency(cf.Access{}, Interactive); got != 5 {
		t.Errorf("nothing is ranked: %d", got)
	}
}

// Symptom: a request counts for an organisation that does not hold its key, or is refused
// with a key in force. Sequence: configurations that follow each other change some
// organisations: keys move, go and come back, names change, the order changes.
// Cause it looks for: what is shared with the configuration before is not the same.
func TestConfigurationsThatFollowEachOther(t *testing.T) {
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
				take := r.IntN(4)
				o.Keys, free = free[:take:take], free[take:]
				list = append(list, o)
			}
			if step > 0 && r.IntN(2) == 0 {
				list = slices.Clone(d.listed) // one of them alone changes
				i := r.IntN(len(list))
				list[i].Keys = list[i].Keys[:r.IntN(len(list[i].Keys)+1)]
			}
			var err error
			before := d
			if d == nil {
				d, err = NewDirectory(list)
			} else {
				d, err = d.Next(list)
			}
			if err != nil {
				t.Fatal(err)
			}
			checkAgainst(t, d, list, keys)
			if before != nil {
				checkAgainst(t, before, before.listed, keys) // requests under way use it
			}
		}
	}
}

func checkAgainst(t *testing.T, d *Directory, list []Organisation, keys []cf.APIKey) {
	t.Helper()
	for _, key := range keys {
		want := cf.Organisation("")
		for _, o := range list {
			if slices.Contains(o.Keys, key) {
				want = o.Name
			}
		}
		if got, found := d.find(key); got.Name != want || found != (want != "") {
			t.Fatalf("%q is of %q, want %q", string(key), got.Name, want)
		}
	}
	if d.Size() != len(list) {
		t.Fatalf("%d organisations, want %d", d.Size(), len(list))
	}
}

// What is refused is refused as a whole, and the error shows no key.
func TestRefusedConfigurations(t *testing.T) {
	good := []Organisation{org("a", "secret-a"), org("b", "secret-b")}
	d := directory(t, good...)
	for name, list := range map[string][]Organisation{
		"a key of two":             {org("a", "secret-a"), org("b", "secret-a")},
		"a key of two, one is old": {org("a", "secret-a"), org("b", "secret-b"), org("c", "secret-a")},
		"a key twice":              {org("a", "secret-a", "secret-a")},
		"an empty key":             {org("a", "secret-a", "")},
		"no name":                  {org("", "secret-c")},
		"a name twice":             {org("a", "secret-a"), org("b", "secret-b"), org("a", "secret-c")},
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
	checkAgainst(t, d, good, []cf.APIKey{"secret-a", "secret-b", "secret-c", ""})
}

func TestTablesCostByTheirChanges(t *testing.T) {
	d := directory(t, many(10_000)...)
	list := slices.Clone(d.listed)
	list[5000].Keys = []cf.APIKey{"another"}
	next, err := d.Next(list)
	if err != nil {
		t.Fatal(err)
	}
	copied := 0
	for i := range shards {
		if fmt.Sprintf("%p", d.keys[i]) != fmt.Sprintf("%p", next.keys[i]) {
			copied++
		}
	}
	if copied > 3 {
		t.Errorf("%d of %d parts were copied for one organisation", copied, shards)
	}
}

func many(n int) []Organisation {
	out := make([]Organisation, n)
	for i := range out {
		out[i] = org(fmt.Sprint("organisation", i), cf.APIKey(fmt.Sprintf("key-%019d-1", i)), cf.APIKey(fmt.Sprintf("key-%019d-2", i)))
	}
	return out
}

var sizes = []int{85, 10_000}

func BenchmarkLookUp(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := directory(b, many(n)...)
			keys := [][]cf.APIKey{d.listed[n/2].Keys[:1]}
			b.ReportAllocs()
			for b.Loop() {
				if verdict, _ := d.Authenticate(keys[0], Use{}, sure); verdict != Accepted {
					b.Fatal(verdict)
				}
			}
		})
	}
}

// BenchmarkChange takes a configuration over that changes one organisation: as a change,
// and as a whole list.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		d := directory(b, many(n)...)
		list := slices.Clone(d.listed)
		list[n/2].Keys = []cf.APIKey{"another"}
		b.Run(fmt.Sprint("change/", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := d.with(d.listed[n/2:n/2+1], list[n/2:n/2+1]); err != nil {
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
