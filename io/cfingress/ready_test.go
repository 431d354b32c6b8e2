package cfingress_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/testbed/cfstandin"
)

// TestInstanceIsReadyOnceItKnowsTargets guards against an instance that refuses its first requests
// after the start although all targets are up: it has read the configuration but not yet the list
// of targets, and the platform treats it as ready and sends callers.
func TestInstanceIsReadyOnceItKnowsTargets(t *testing.T) {
	site := cfsite.New(cfstandin.Codec{})
	in := cfingress.New(cfingress.Options{Members: noMembers{}, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop()})
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1})); err != nil {
		t.Fatal(err)
	}
	if in.Ready() {
		t.Error("ready without the list of targets")
	}
	site.ReplaceTargets([]cf.Target{{ID: "i", Service: "s", Slots: 1}}, 2, 0)
	if !in.Ready() {
		t.Error("not ready with routes and targets")
	}
	in.Stop(cf.Uptime() + 7000)
	if in.Ready() {
		t.Error("ready while stopping")
	}
}
