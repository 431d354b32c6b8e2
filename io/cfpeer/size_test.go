package cfpeer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	cf "currantford"
)

// BenchmarkMessageSize reports the encoded sizes that docs/CAPACITY.md uses for its estimates: that
// of a load report, in JSON as sent by engines and in CBOR as in a digest between peers, and that
// of a sample by the length of its text.
func BenchmarkMessageSize(b *testing.B) {
	load := cf.Load{Engine: "forecast-0001", Addr: "10.1.2.3:8000", Domain: "bayan-a", Active: 7, Queued: 3,
		KVUsed: 12000, KVBudget: 60000, Backlog: 850, Weights: 41, Power: 640, Reported: 1796236511601}
	b.Run("load", func(b *testing.B) {
		var j, c []byte
		for b.Loop() {
			j, _ = json.Marshal(load)
			c, _ = cbor.Marshal(load)
		}
		b.ReportMetric(float64(len(j)), "json_bytes")
		b.ReportMetric(float64(len(c)), "cbor_bytes")
	})
	for _, tokens := range []int{16, 256, 1024} {
		b.Run(fmt.Sprintf("sample_tokens=%d", tokens), func(b *testing.B) {
			s := cf.Sample{ID: "forecast/spoilage/123456", Seq: 123456, Group: "forecast/spoilage/g30864-e3",
				Prompt: strings.Repeat("w12 ", 64), Text: strings.Repeat(" w345", tokens), Score: 0.73,
				Weights: []cf.WeightVersion{41, 42}, Engine: "forecast-0001", Created: 1796236511601}
			var c []byte
			for b.Loop() {
				c, _ = cbor.Marshal(s)
			}
			b.ReportMetric(float64(len(c)), "cbor_bytes")
		})
	}
}
