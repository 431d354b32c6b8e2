package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// BenchmarkSwaps measures one choice of the engines to load while a version that
// no engine holds has been named and as many load as may: what each look costs
// until the whole fleet has followed.
func BenchmarkSwaps(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(n, "_engines"), func(b *testing.B) {
			p := cfrollout.New(cfrollout.DefaultLimits)
			names := []cf.ModelName{"a", "b", "c"}
			var held []cf.ModelState
			for _, m := range names {
				held = append(held, cf.ModelState{Name: m, Version: 1})
			}
			p.SetEngines(fleet(n, held...), models(names...))
			for _, m := range names {
				p.SetVersion(m, 2)
			}
			for b.Loop() {
				p.Swaps(0)
			}
		})
	}
}
