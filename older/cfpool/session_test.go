package cfpool_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
	"currantford/older/cfpool"
	"currantford/testbed/cfobjects"
)

// fakeBackend is a Backend in memory. Each rollout has the weight version that was loaded last.
type fakeBackend struct {
	mu      sync.Mutex
	version cf.WeightVersion
	n       int
}

func (b *fakeBackend) Generate(_ context.Context, _ cf.Job, prompt string) (cf.Generation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n++
	return cf.Generation{Text: strings.Fields(prompt)[0], Weights: []cf.WeightVersion{b.version}, Engine: "e1"}, nil
}

func (b *fakeBackend) Score(_ context.Context, _, text string) (float64, error) {
	return float64(len(text)) / 10, nil
}

func (b *fakeBackend) LoadWeights(ctx context.Context, v cf.WeightVersion, _ cf.Epoch, check func(context.Context) error) error {
	if err := check(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = v
	return nil
}

// TestPoolSession runs the scripts in testdata on two entries that share a pool: lease takeover,
// delivery by cursor, new weights and staleness, a lost response, and a paused leader that is
// fenced by its successor.
func TestPoolSession(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		srv := httptest.NewServer(cfobjects.NewServer(cfobjects.ServerSettings{}).Handler())
		defer srv.Close()
		store := cfplatform.NewClient(srv.URL)
		settings := cfconfig.Pool{Name: "forecast", GroupSize: 2, MaxTokens: 4, MaxVersionLag: 1, MaxSampleAge: 60000,
			Prompts: []string{"bayan hall", "tuul east"}, Claims: []cfconfig.Claim{{Name: "spoilage", Buffer: 4}}}
		backend := &fakeBackend{}
		pools := map[string]*cfpool.Pool{}
		for _, id := range []string{"a", "b"} {
			p := cfpool.New(settings, cfpool.Options{Store: store, Backend: backend, Entry: cf.EntryID(id), Addr: id,
				Lease: cfconfig.Lease{TTL: 60000, Renew: 1000}})
			defer func() { _ = p.Close() }()
			pools[id] = p
		}
		ctx := context.Background()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var entry string
			if d.HasArg("entry") {
				d.ScanArgs(t, "entry", &entry)
			}
			p := pools[entry]
			switch d.Cmd {
			case "lease":
				p.UpdateLease(ctx)
				leader, _, _ := p.Leader()
				return fmt.Sprintf("leader %s\n", leader)
			case "settle":
				// Wait until the leader's buffer is full. Generation is idle then, which makes the
				// next step of the script deterministic.
				for deadline := time.Now().Add(5 * time.Second); p.Buffered("spoilage") < 4 && time.Now().Before(deadline); {
					time.Sleep(5 * time.Millisecond)
				}
				return fmt.Sprintf("buffered %d\n", p.Buffered("spoilage"))
			case "fetch":
				var limit int
				d.ScanArgs(t, "max", &limit)
				b, err := p.Fetch(ctx, "spoilage", limit, 2*time.Second)
				if err != nil {
					return "error: " + sentinelText(err) + "\n"
				}
				var out strings.Builder
				for _, s := range b.Samples {
					fmt.Fprintf(&out, "%s %s score=%.1f weights=%v\n", s.ID, s.Text, s.Score, s.Weights)
				}
				fmt.Fprintf(&out, "cursor %d pool_weights %d\n", b.Cursor, b.Weights)
				return out.String()
			case "ack":
				var cursor int64
				d.ScanArgs(t, "cursor", &cursor)
				if err := p.Ack(ctx, "spoilage", cursor); err != nil {
					return "error: " + sentinelText(err) + "\n"
				}
				return "ok\n"
			case "weights":
				var v int64
				d.ScanArgs(t, "version", &v)
				if err := p.SetWeights(ctx, cf.WeightVersion(v)); err != nil {
					return "error: " + sentinelText(err) + "\n"
				}
				return "ok\n"
			case "expire":
				// Let the lease expire in the platform while its holder still considers it valid,
				// as if the holder had been paused.
				obj, _ := store.Get(ctx, cfpool.KindLease, "pool/forecast")
				value := strings.Replace(string(obj.Value), `"expires_ms":`, `"expires_ms":0,"was":`, 1)
				if _, err := store.Put(ctx, cfpool.KindLease, "pool/forecast", []byte(value), obj.Version); err != nil {
					return "error: " + err.Error() + "\n"
				}
				return "expired\n"
			case "lose-answers":
				var n int
				d.ScanArgs(t, "n", &n)
				_ = store.InjectFaults(ctx, 0, 0, n)
				return "ok\n"
			case "claim":
				obj, err := store.Get(ctx, cfpool.KindClaim, "forecast/spoilage")
				if err != nil {
					return "error: " + sentinelText(err) + "\n"
				}
				return string(obj.Value) + "\n"
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func sentinelText(err error) string {
	for _, s := range []error{cf.ErrNotLeader, cf.ErrFenced, cf.ErrConflict, cf.ErrUnavailable, cf.ErrInvalid, cf.ErrNotFound} {
		if errors.Is(err, s) {
			return s.Error()
		}
	}
	return err.Error()
}
