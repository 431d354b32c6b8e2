package cfingress_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/testbed/cfstandin"
)

const host = "site.example"

type (
	// noMembers lists no instances.
	noMembers struct{}

	// targets answers by calling its functions.
	targets struct {
		cf.Targets
		send   func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error)
		stream func(cf.Target, cf.TargetCall, cf.StreamSink) (cf.TargetAnswer, error)
	}
)

func (noMembers) Live() []cfmember.Entry { return nil }

func (t targets) Send(_ context.Context, to cf.Target, call cf.TargetCall) (cf.TargetAnswer, error) {
	return t.send(to, call)
}

func (t targets) Stream(_ context.Context, to cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	return t.stream(to, call, sink)
}

// newIngress returns an instance with one route at /x/ and the given targets.
func newIngress(t *testing.T, to cf.Targets, route cfsite.Route, ids ...cf.InstanceID) *cfingress.Ingress {
	t.Helper()
	site := cfsite.New(cfstandin.Codec{})
	route.Host, route.Prefix, route.Split = host, "/x/", []cfsite.Share{{Service: "s", Weight: 1}}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1, Routes: []cfsite.Route{route}})); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		if _, _, err := site.ApplyTarget(cfstandin.Record(string(id), 1, cf.Target{ID: id, Service: "s", Slots: 4}), cf.Uptime()); err != nil {
			t.Fatal(err)
		}
	}
	return cfingress.New(cfingress.Options{
		Members: noMembers{}, Targets: to, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
}

// ask sends one request; aborted is true if the instance aborted the connection.
func ask(in *cfingress.Ingress, req cf.Request) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	req.Method, req.Host, req.Route, req.Path = http.MethodPost, host, "/x/a", "/x/a"
	req.Received = cf.Uptime()
	in.Forward(context.Background(), &req, w)
	return w, false
}
