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
	// Organisation is an organisation as the configuration defines it.
	Organisation struct {
		Name cf.Organisation
		Keys []cf.APIKey
		// Priority overrides the route's priority if HasPriority is set.
		Priority    int
		HasPriority bool
	}

	// Directory contains the organisations of one configuration. It is immutable: Next creates the
	// directory of the next configuration, which shares the unchanged parts.
	Directory struct {
		salt [sha256.Size]byte
		// keys maps a digest of each key to its owner. It uses digests so that the time of a lookup
		// reveals nothing about how much of a guessed key is right.
		keys  shardedMap[digest, cf.Organisation]
		names shardedMap[cf.Organisation, entry]
		size  int
		// list holds the organisations in the order of the configuration.
		list []Organisation
	}

	entry struct {
		Name        cf.Organisation
		priority    int
		hasPriority bool
	}

	digest [sha256.Size / 2]byte
)

// NewDirectory returns the directory of a first configuration.
func NewDirectory(organisations []Organisation) (*Directory, error) {
	d := &Directory{}
	_, _ = rand.Read(d.salt[:]) // crypto/rand.Read never returns an error
	return d.Next(organisations)
}

// Next returns the directory of the configuration that follows this one. A configuration with a
// duplicate key, an empty key, a duplicate organisation or one without a name is rejected as a
// whole: the organisation of a request must not depend on which of two entries is read first.
func (d *Directory) Next(organisations []Organisation) (*Directory, error) {
	removed, added := diff(d.list, organisations)
	next, err := d.withChanges(removed, added)
	if err != nil {
		return nil, err
	}
	next.list = organisations
	return next, nil
}

// withChanges returns the directory without the removed organisations and with the added ones. Its
// cost depends only on the number of these.
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
			return nil, eris.Wrapf(cf.ErrInvalid, "organisation %s is listed twice", o.Name)
		}
		for j, key := range o.Keys {
			if key == "" {
				return nil, eris.Wrapf(cf.ErrInvalid, "key %d of organisation %s is empty", j, o.Name)
			}
			k := d.digest(key)
			if owner, taken := keys.add(k.shard(), k, o.Name); taken {
				return nil, eris.Wrapf(cf.ErrInvalid, "key %d of organisation %s also belongs to %s", j, o.Name, owner)
			}
		}
	}
	next.keys, next.names = keys.table, names.table
	return next, nil
}

// diff returns the organisations of before that have changed or are gone, and those of after that
// have changed or are new. It relies on both lists being mostly in the same order.
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

// findByKey returns the organisation that owns a key.
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
	_, _ = h.Write([]byte(o)) // hash.Hash.Write never returns an error
	return int(h.Sum32() % shardCount)
}
