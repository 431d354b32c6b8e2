package cfingress_test

import (
	"context"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/testbed/cfstandin"
)

type (
	// unreachableCoordinator is a coordinator that can't be asked.
	unreachableCoordinator struct{ cfingress.Coordinator }

	// failingStore fails its first reads.
	failingStore struct {
		*cfstandin.MemStore
		failures int
		failure  error
		reads    int
	}
)

func (unreachableCoordinator) Results(context.Context, cf.BatchID, int, cf.Millis) (cf.ResultPage, error) {
	return cf.ResultPage{}, cf.ErrNotLeader
}

func (s *failingStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	s.reads++
	if s.reads <= s.failures {
		return cf.Record{}, s.failure
	}
	return s.MemStore.Get(ctx, kind, name)
}

// TestOneLateStoreAnswerRefusesNoReader guards against refusing readers because of one late answer
// of the store, and against readers who wait for a store that is known to be down.
func TestOneLateStoreAnswerRefusesNoReader(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures int
		failure  error
		reads    int
		refused  bool
	}{
		{"answers", 0, nil, 1, false},
		{"one late answer", 1, cf.ErrUnavailable, 2, false},
		{"no answer", 9, cf.ErrUnavailable, 2, true},
		{"refused", 9, cf.ErrRefused, 1, true},
	} {
		site := cfsite.New(cfstandin.Codec{})
		if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1})); err != nil {
			t.Fatal(err)
		}
		store := &failingStore{MemStore: cfstandin.NewMemStore(), failures: c.failures, failure: c.failure}
		in := cfingress.New(cfingress.Options{
			Store: store, Members: noMembers{}, Site: site, Coordinator: unreachableCoordinator{},
			Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
		})
		_, err := in.Results(context.Background(), cf.Credentials{}, "b", 0, 0)
		var refusal *cf.Refusal
		if refused := errors.As(err, &refusal); refused != c.refused || !refused && !errors.Is(err, cf.ErrNotFound) || store.reads != c.reads {
			t.Errorf("%s: %v after %d reads", c.name, err, store.reads)
		}
	}
}
