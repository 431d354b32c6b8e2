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
	// discardingCoordinator discards reports about batches, like a coordinator that can't be
	// reached.
	discardingCoordinator struct{ cfingress.Coordinator }

	// infeasible reports that no step can be complete in time, either at once or after the timeout.
	infeasible struct{ late, inDoubt bool }
)

func (discardingCoordinator) Prepare(cf.Submission)          {}
func (discardingCoordinator) Accepted(cf.BatchID, cf.Millis) {}
func (discardingCoordinator) Changed(cf.BatchID, bool)       {}
func (f infeasible) CheckBatch(ctx context.Context, _ cf.Submission, _ int64) cfbatch.Admission {
	if f.late {
		<-ctx.Done()
	}
	return cfbatch.Admission{Refused: true, RetryAfter: 3000, InDoubt: f.inDoubt}
}

// TestInfeasibleStepIsRefusedOnlyBeforeItIsWritten guards against refusing steps that are in the
// store, and against refusing a step because of an answer of the coordinator that comes too late.
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
			Store: store, Members: noMembers{}, Site: site, Coordinator: discardingCoordinator{}, Feasibility: infeasible{late: c.late}, ValueBytes: 1 << 20,
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
			t.Errorf("%s: the store returned %v", c.name, err)
		}
	}
}

// TestBatchInDoubtIsNotRefused guards against the promise that a batch will not run which another
// instance may have accepted, and against a batch that is accepted without memory for it.
func TestBatchInDoubtIsNotRefused(t *testing.T) {
	store := cfstandin.NewMemStore()
	site := cfsite.New(cfstandin.Codec{})
	route := cfsite.Route{Host: host, Prefix: "/", Kind: cfsite.KindBatch, Split: []cfsite.Share{{Service: "s", Weight: 1}}}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1, Routes: []cfsite.Route{route}})); err != nil {
		t.Fatal(err)
	}
	in := cfingress.New(cfingress.Options{
		Store: store, Members: noMembers{}, Site: site, Coordinator: discardingCoordinator{}, Feasibility: infeasible{inDoubt: true}, ValueBytes: 1 << 20,
		Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	ctx := context.Background()
	err := in.Submit(ctx, cf.Credentials{}, cf.Submission{ID: "b", Host: host, Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1"}}})
	if !errors.Is(err, cf.ErrUnavailable) || errors.Is(err, cf.ErrRefused) {
		t.Errorf("error %v, want one that promises nothing", err)
	}
	if _, err := store.Get(ctx, cf.KindBatch, "b"); !errors.Is(err, cf.ErrNotFound) {
		t.Errorf("the store returned %v, want no batch", err)
	}
}
