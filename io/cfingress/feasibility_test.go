package cfingress_test

import (
	"context"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/testbed/cfstandin"
)

type (
	// unheard takes no word of batches, as a coordinator that can't be reached.
	unheard struct{ cfingress.Coordinator }

	// infeasible says that no step can be whole in time, at once or after the time for it.
	infeasible struct{ late bool }
)

func (unheard) Prepare(cf.Submission)          {}
func (unheard) Accepted(cf.BatchID, cf.Millis) {}
func (unheard) Changed(cf.BatchID, bool)       {}
func (f infeasible) Infeasible(ctx context.Context, sub cf.Submission) (cf.Millis, bool) {
	if f.late {
		<-ctx.Done()
	}
	return 3000, true
}

// Guards against refused steps that the store keeps, and against refusals where the store
// has the step or the coordinator's answer comes late.
func TestInfeasibleStepIsRefusedOnlyBeforeItIsWritten(t *testing.T) {
	for _, c := range []struct {
		name          string
		late, written bool
		refused       bool
	}{{"new", false, false, true}, {"late answer", true, false, false}, {"in the store", false, true, false}} {
		store := cfstandin.NewMemStore()
		site := cfsite.New(cfstandin.Codec{})
		route := cfsite.Route{Host: host, Prefix: "/", Kind: cfsite.KindBatch, ResultsSLO: 7500, Split: []cfsite.Share{{Service: "s", Weight: 1}}}
		if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1, Routes: []cfsite.Route{route}})); err != nil {
			t.Fatal(err)
		}
		in := cfingress.New(cfingress.Options{
			Store: store, Members: members{}, Site: site, Coordinator: unheard{}, Feasibility: infeasible{c.late}, ValueBytes: 1 << 20,
			Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
		})
		ctx := context.Background()
		sub := cf.Submission{ID: "b", Host: host, Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1"}}}
		if c.written {
			if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
				t.Fatal(err)
			}
		}
		err := in.Submit(ctx, cf.Credentials{}, sub)
		var refusal *cf.Refusal
		if got := errors.As(err, &refusal) && refusal.RetryAfter == 3000; got != c.refused || !got && err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if _, err := store.Get(ctx, cf.KindBatch, "b"); errors.Is(err, cf.ErrNotFound) != c.refused {
			t.Errorf("%s: the store says %v", c.name, err)
		}
	}
}
