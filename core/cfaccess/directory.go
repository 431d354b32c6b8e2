package cfaccess

import (
	"crypto/rand"
	"crypto/sha256"
	"hash/fnv"
	"slices"

	"github.com/rotisserie/eris"

	cf "currantford"
)

type (
	// Organisation is one as the configuration has it.
	Organisation struct {
		Name cf.Organisation
		Keys []cf.APIKey
		// Priority goes before the route's, where Ranked says that there is one.
		Priority    int
		HasPriority bool
	}

	// Directory is the organisations of one configuration. It does not change: the
	// next configuration makes another one of it, which shares what is the same.
	Directory struct {
		salt [sha256.Size]byte
		// keys holds the owner of each key, by a digest: how long a look-up takes tells
		// nothing of how much of a key was right.
		keys  table[digest, cf.Organisation]
		names table[cf.Organisation, entry]
		size  int
		// listed are the organisations as the configuration lists them.
		listed []Organisation
	}

	entry struct {
		Name     cf.Organisation
		priority int
		ranked   bool
	}

	digest [sha256.Size / 2]byte
)

// NewDirectory returns the organisations of a first configuration.
func NewDirectory(organisations []Organisation) (*Directory, error) {
	d := &Directory{}
	_, _ = rand.Read(d.salt[:]) // it never fails
	return d.Next(organisations)
}

// Next returns the organisations of the configuration after this one. One that names a
// key twice, an empty key, or an organisation twice or not at all is refused as a whole:
// whose a request is must not hang on which of two is read first.
func (d *Directory) Next(organisations []Organisation) (*Directory, error) {
	gone, come := changes(d.listed, organisations)
	next, err := d.with(gone, come)
	if err != nil {
		return nil, err
	}
	next.listed = organisations
	return next, nil
}

// with returns the directory without some of its organisations and with others. What it
// costs goes by their number alone.
func (d *Directory) with(gone, come []Organisation) (*Directory, error) {
	next := &Directory{salt: d.salt, size: d.size - len(gone) + len(come)}
	keys, names := d.keys.edit(), d.names.edit()
	for _, o := range gone {
		names.remove(shardOfName(o.Name), o.Name)
		for _, key := range o.Keys {
			k := d.digest(key)
			keys.remove(k.shard(), k)
		}
	}
	for i, o := range come {
		if o.Name == "" {
			return nil, eris.Wrapf(cf.ErrInvalid, "organisation %d has no name", i)
		}
		if _, twice := names.add(shardOfName(o.Name), o.Name, entry{o.Name, o.Priority, o.HasPriority}); twice {
			return nil, eris.Wrapf(cf.ErrInvalid, "organisation %s stands twice", o.Name)
		}
		for j, key := range o.Keys {
			if key == "" {
				return nil, eris.Wrapf(cf.ErrInvalid, "key %d of organisation %s is empty", j, o.Name)
			}
			k := d.digest(key)
			if holder, taken := keys.add(k.shard(), k, o.Name); taken {
				return nil, eris.Wrapf(cf.ErrInvalid, "key %d of organisation %s is also one of %s", j, o.Name, holder)
			}
		}
	}
	next.keys, next.names = keys.table, names.table
	return next, nil
}

// changes returns the organisations of before that are not the same any more, and those
// of after that are new or differ. Both lists are mostly in the same order.
func changes(before, after []Organisation) (gone, come []Organisation) {
	head, most := 0, min(len(before), len(after))
	for head < most && same(before[head], after[head]) {
		head++
	}
	tail := 0
	for tail < most-head && same(before[len(before)-1-tail], after[len(after)-1-tail]) {
		tail++
	}
	return before[head : len(before)-tail], after[head : len(after)-tail]
}

func same(a, b Organisation) bool {
	return a.Name == b.Name && a.Priority == b.Priority && a.HasPriority == b.HasPriority && slices.Equal(a.Keys, b.Keys)
}

// Size returns the number of organisations.
func (d *Directory) Size() int { return d.size }

// find returns the organisation that holds a key.
func (d *Directory) find(key cf.APIKey) (entry, bool) {
	k := d.digest(key)
	name, found := d.keys[k.shard()][k]
	if !found {
		return entry{}, false
	}
	return d.named(name), true
}

func (d *Directory) named(name cf.Organisation) entry { return d.names[shardOfName(name)][name] }

func (d *Directory) digest(key cf.APIKey) digest {
	salted := append(make([]byte, 0, 2*sha256.Size), d.salt[:]...)
	sum := sha256.Sum256(append(salted, key...))
	return digest(sum[:len(digest{})])
}

func (k digest) shard() int { return int(k[0]) % shards }

func shardOfName(o cf.Organisation) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o)) // a hash takes everything
	return int(h.Sum32() % shards)
}
