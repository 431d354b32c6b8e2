package cfentry_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
	"currantford/older/cfpool"
	"currantford/testbed/cfstandin"
)

// TestSamplesDeliveredOnceAcrossLeaderChange stops the entry that leads a pool in the middle of a
// trainer's step. The trainer fetches and acknowledges through the other entry, which first
// forwards over the peer link and then takes over the expired lease. A new leader that starts from
// its own memory instead of the cursor in the platform, or an acknowledgement that is not
// idempotent, would make the trainer receive a sample twice or wait for ever.
func TestSamplesDeliveredOnceAcrossLeaderChange(t *testing.T) {
	ts := startSite(t, 2, nil)
	ctx := context.Background()
	var lease struct {
		Entry string `json:"entry"`
	}
	eventually(t, "a pool leader", func() bool {
		_, err := cfplatform.GetJSON(ctx, ts.store, cfpool.KindLease, "pool/forecast", &lease)
		return err == nil && lease.Entry != ""
	})
	leader, survivor := 0, 1
	if lease.Entry == string(ts.site.Entries[1].ID) {
		leader, survivor = 1, 0
	}
	go func() {
		var claim struct {
			Cursor int64 `json:"cursor"`
		}
		for {
			_, err := cfplatform.GetJSON(ctx, ts.store, cfpool.KindClaim, "forecast/spoilage", &claim)
			if err == nil && claim.Cursor >= 8 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		shutdownCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		_ = ts.entries[leader].Shutdown(shutdownCtx)
	}()
	settings := cfconfig.Trainer{Name: "t", Pool: "forecast", Claim: "spoilage", StepSamples: 8, Steps: 5, TrainTime: 50}
	trainerCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	report, err := cfstandin.RunTrainer(trainerCtx, settings, ts.urls[survivor], zap.NewNop())
	if err != nil {
		t.Fatalf("trainer stopped after %d steps: %v", report.Steps, err)
	}
	if report.Duplicates != 0 || report.Unattributed != 0 || report.Samples < 40 {
		t.Fatalf("report %+v, want no duplicates, no unattributed samples and at least 40 samples", report)
	}
}
