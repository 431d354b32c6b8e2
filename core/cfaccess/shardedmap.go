package cfaccess

import "maps"

// shardCount is the number of shards of a map: a change copies only the shards that it affects.
const shardCount = 256

type (
	// shardedMap is a map that is divided into shards. Its shards are never modified, so maps can
	// share them.
	shardedMap[K comparable, V any] [shardCount]map[K]V

	// shardEditor builds a modified map from another one. It copies each shard before the first
	// change.
	shardEditor[K comparable, V any] struct {
		table  shardedMap[K, V]
		copied [shardCount]bool
	}
)

func (t *shardedMap[K, V]) edit() *shardEditor[K, V] { return &shardEditor[K, V]{table: *t} }

// writableShard returns a copy of a shard that may be modified.
func (e *shardEditor[K, V]) writableShard(shard int) map[K]V {
	if !e.copied[shard] {
		e.table[shard], e.copied[shard] = maps.Clone(e.table[shard]), true
	}
	if e.table[shard] == nil {
		e.table[shard] = map[K]V{}
	}
	return e.table[shard]
}

func (e *shardEditor[K, V]) remove(shard int, k K) { delete(e.writableShard(shard), k) }

// add adds a value. If the key already exists, it returns the existing value and true.
func (e *shardEditor[K, V]) add(shard int, k K, v V) (V, bool) {
	m := e.writableShard(shard)
	if existing, taken := m[k]; taken {
		return existing, true
	}
	m[k] = v
	var zero V
	return zero, false
}
