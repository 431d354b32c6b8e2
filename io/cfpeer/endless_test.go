package cfpeer

import (
	"context"
	"sync"
	"testing"
	"time"

	"currantford/platform/standin"
)

// TestEndlessHandshakeBoundsMemory guards against running out of memory, when addresses of other
// instances belong to something else by now that answers the handshakes without end.
func TestEndlessHandshakeBoundsMemory(t *testing.T) {
	const peers, most = 8, 16 << 20
	for _, shape := range []standin.EndlessShape{
		standin.EndlessStatus, standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInformational, standin.EndlessBody, standin.EndlessSwitch,
	} {
		t.Run(string(shape), func(t *testing.T) {
			c := NewClient()
			defer func() { _ = c.Close() }()
			var wg sync.WaitGroup
			peak := standin.HeapPeak(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				for range peers {
					e, err := standin.NewEndlessServer(shape, 0)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(e.Close)
					wg.Go(func() {
						if err := c.Call(ctx, e.Addr(), "op", nil, nil); err == nil {
							t.Error("the call was answered")
						}
					})
				}
				wg.Wait()
			})
			t.Logf("the heap grew by %.1f MB", float64(peak)/(1<<20))
			if peak > most {
				t.Errorf("the heap grew by %d bytes, want at most %d", peak, most)
			}
		})
	}
}
