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
		keys  shardedMap[digest, cf.Organisation]
		names shardedMap[cf.Organisation, entry]
		size  int
		// list are the organisations as the configuration lists them.
		list []Organisation
	}

	entry struct {
		Name        cf.Organisation
		priority    int
		hasPriority bool
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
	removed, added := diff(d.list, organisations)
	next, err := d.withChanges(removed, added)
	if err != nil {
		return nil, err
	}
	next.list = organisations
	return next, nil
}

// withChanges returns the directory without some of its organisations and with others. What it
// costs goes by their number alone.
func (d *Directory) withChanges(removed, added []Organisation) (*Directory, error) {
	next := &Directory{salt: d.salt, size: d.size - len(removed) + len(added)}
	keys, names := d.keys.edit(), d.names.edit()
	for _, o := range removed {
		names.remove(shardOfName(o.Name), o.Name)
		for _, key := range o.Keys {
			k := d.digest(key)
			keys.remove(k.shard(), k)
		}
	}
	for i, o := range added {
		if o.Name == "" {
			return nil, eris.Wrapf(cf.ErrInvalid, "organisation %d has no name", i)
		}
		if _, duplicate := names.add(shardOfName(o.Name), o.Name, entry{o.Name, o.Priority, o.HasPriority}); duplicate {
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

// diff returns the organisations of before that are not the same any more, and those
// of after that are new or differ. Both lists are mostly in the same order.
func diff(before, after []Organisation) (removed, added []Organisation) {
	prefix, shorter := 0, min(len(before), len(after))
	for prefix < shorter && equalOrganisations(before[prefix], after[prefix]) {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && equalOrganisations(before[len(before)-1-suffix], after[len(after)-1-suffix]) {
		suffix++
	}
	return before[prefix : len(before)-suffix], after[prefix : len(after)-suffix]
}

func equalOrganisations(a, b Organisation) bool {
	return a.Name == b.Name && a.Priority == b.Priority && a.HasPriority == b.HasPriority && slices.Equal(a.Keys, b.Keys)
}

// Size returns the number of organisations.
func (d *Directory) Size() int { return d.size }

// findByKey returns the organisation that holds a key.
func (d *Directory) findByKey(key cf.APIKey) (entry, bool) {
	k := d.digest(key)
	name, found := d.keys[k.shard()][k]
	if !found {
		return entry{}, false
	}
	return d.byName(name), true
}

func (d *Directory) byName(name cf.Organisation) entry { return d.names[shardOfName(name)][name] }

func (d *Directory) digest(key cf.APIKey) digest {
	salted := append(make([]byte, 0, 2*sha256.Size), d.salt[:]...)
	sum := sha256.Sum256(append(salted, key...))
	return digest(sum[:len(digest{})])
}

func (k digest) shard() int { return int(k[0]) % shardCount }

func shardOfName(o cf.Organisation) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o)) // a hash takes everything
	return int(h.Sum32() % shardCount)
}
