package cfpatch_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"currantford/core/cfpatch"
)

// document returns a configuration document of n entries like those that operators write; the
// entries in edited have another value.
func document(n int, edited ...int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var out bytes.Buffer
	for i := range n {
		timeout := 800
		for _, e := range edited {
			if e == i {
				timeout = 900
			}
		}
		fmt.Fprintf(&out, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","timeout_ms":%d},`, random.Uint32(), random.Uint32(), random.Uint32(), timeout)
	}
	return out.Bytes()
}

// In a document of thousands of entries of which a few change, the packed size must follow the size
// of the change.
func TestPackedSizeFollowsTheChange(t *testing.T) {
	const maxBytes = 4 << 20
	for _, n := range []int{0, 1, 40, 1400, 10_000} {
		base, updated := document(n), document(n, n/3, n/2)
		full, err := cfpatch.Pack(nil, updated)
		if err != nil {
			t.Fatal(err)
		}
		delta, err := cfpatch.Pack(base, updated)
		if err != nil {
			t.Fatal(err)
		}
		if n >= 40 && (len(full) > len(updated)*2/5 || len(delta) > 300+len(updated)/500) {
			t.Errorf("%d entries, %d bytes: packed to %d bytes, with a base to %d bytes", n, len(updated), len(full), len(delta))
		}
		for name, c := range map[string]struct{ base, packed []byte }{"whole": {nil, full}, "change": {base, delta}} {
			if got, err := cfpatch.Unpack(c.base, c.packed, maxBytes); err != nil || !bytes.Equal(got, updated) {
				t.Errorf("%d entries, %s: %d bytes, %v", n, name, len(got), err)
			}
		}
	}
}

// A document that was packed with another base, cut short, damaged or too large must be reported as
// corrupt.
func TestUnpackDetectsDamage(t *testing.T) {
	base, updated := document(400), document(400, 7)
	packed, err := cfpatch.Pack(base, updated)
	if err != nil {
		t.Fatal(err)
	}
	damaged := bytes.Clone(packed)
	damaged[len(damaged)/2] ^= 1
	for name, c := range map[string]struct {
		base, packed []byte
		maxBytes     int
	}{
		"another base": {document(400, 9), packed, 1 << 20},
		"no base":      {nil, packed, 1 << 20},
		"cut short":    {base, packed[:len(packed)-1], 1 << 20},
		"damaged":      {base, damaged, 1 << 20},
		"too large":    {base, packed, len(updated) - 1},
	} {
		if got, err := cfpatch.Unpack(c.base, c.packed, c.maxBytes); !errors.Is(err, cfpatch.ErrCorrupt) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
	}
}

func BenchmarkPack(b *testing.B) {
	for _, n := range []int{40, 1400} {
		base, updated := document(n), document(n, n/2)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cfpatch.Pack(base, updated); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkUnpack(b *testing.B) {
	for _, n := range []int{40, 1400} {
		base, updated := document(n), document(n, n/2)
		packed, err := cfpatch.Pack(base, updated)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cfpatch.Unpack(base, packed, 1<<20); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func FuzzUnpack(f *testing.F) {
	base := document(40)
	packed, err := cfpatch.Pack(base, document(40, 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, packed []byte) {
		if got, err := cfpatch.Unpack(base, packed, 64<<10); err == nil && len(got) > 64<<10 {
			t.Errorf("%d bytes", len(got))
		}
	})
}
