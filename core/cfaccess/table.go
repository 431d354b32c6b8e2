package cfaccess

import "maps"

// shards divides a table: a change copies those parts alone in which it lies.
const shards = 256

type (
	// table is a map in parts, none of which is ever changed.
	table[K comparable, V any] [shards]map[K]V

	// editor makes a table of another.
	editor[K comparable, V any] struct {
		table  table[K, V]
		copied [shards]bool
	}
)

func (t *table[K, V]) edit() *editor[K, V] { return &editor[K, V]{table: *t} }

// part returns a part that may be changed.
func (e *editor[K, V]) part(shard int) map[K]V {
	if !e.copied[shard] {
		e.table[shard], e.copied[shard] = maps.Clone(e.table[shard]), true
	}
	if e.table[shard] == nil {
		e.table[shard] = map[K]V{}
	}
	return e.table[shard]
}

func (e *editor[K, V]) remove(shard int, k K) { delete(e.part(shard), k) }

// add adds a value; it returns the one that is there already, if any.
func (e *editor[K, V]) add(shard int, k K, v V) (V, bool) {
	part := e.part(shard)
	if there, taken := part[k]; taken {
		return there, true
	}
	part[k] = v
	var none V
	return none, false
}
