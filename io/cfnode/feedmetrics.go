package cfnode

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	cf "currantford"
)

// feedMetrics counts the feed calls of an instance and the bytes of configurations that it sends.
type feedMetrics struct {
	calls       *prometheus.CounterVec
	configBytes *prometheus.CounterVec
}

func newFeedMetrics(reg prometheus.Registerer, n *Node) feedMetrics {
	m := feedMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_feed_calls_total", Help: "Calls for news to the coordinator or a hub, by outcome.",
		}, []string{"outcome"}),
		configBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_config_told_bytes_total", Help: "Bytes of configurations told to other instances, by what was told.",
		}, []string{"part"}),
	}
	reg.MustRegister(m.calls, m.configBytes,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "currantford_instance_restarts_total", Help: "Starts of other instances' processes after the first, as the coordinator here heard of them.",
		}, func() float64 { return float64(n.members.Restarts()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "currantford_config_version", Help: "Version of the configuration in force here.",
		}, func() float64 {
			if c := n.site.Config(); c != nil {
				return float64(c.Version)
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "currantford_config_age_seconds", Help: "Time since the configuration here was last known to be the newest.",
		}, func() float64 { return float64(n.configStatus().Age) / 1000 }),
	)
	return m
}

// countCall counts a feed call; timedOut reports that it exceeded its time limit.
func (m feedMetrics) countCall(a feedAnswer, err error, timedOut bool) {
	m.calls.WithLabelValues(feedOutcome(a, err, timedOut)).Inc()
}

func feedOutcome(a feedAnswer, err error, timedOut bool) string {
	switch {
	case err == nil && a.Hub != nil:
		return "hub_named"
	case err == nil && a.Fresh:
		return "current"
	case err == nil:
		return "not_current"
	case errors.Is(err, cf.ErrNotLeader):
		return "not_holder"
	case errors.Is(err, cf.ErrNoProcess):
		return "no_process"
	case timedOut:
		return "late"
	default:
		return "no_answer"
	}
}
