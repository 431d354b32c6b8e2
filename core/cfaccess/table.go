package cfaccess

import "maps"

// shardCount divides a table: a change copies those parts alone in which it lies.
const shardCount = 256

type (
	// shardedMap is a map in parts, none of which is ever changed.
	shardedMap[K comparable, V any] [shardCount]map[K]V

	// shardEditor makes a table of another.
	shardEditor[K comparable, V any] struct {
		table  shardedMap[K, V]
		copied [shardCount]bool
	}
)

func (t *shardedMap[K, V]) edit() *shardEditor[K, V] { return &shardEditor[K, V]{table: *t} }

// writableShard returns a part that may be changed.
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

// add adds a value; it returns the one that is there already, if any.
func (e *shardEditor[K, V]) add(shard int, k K, v V) (V, bool) {
	m := e.writableShard(shard)
	if existing, taken := m[k]; taken {
		return existing, true
	}
	m[k] = v
	var zero V
	return zero, false
}
