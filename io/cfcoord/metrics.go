package cfcoord

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the coordinator's metrics. They continue over several terms of the same instance.
type Metrics struct {
	Runs        *prometheus.CounterVec
	Orders      *prometheus.CounterVec
	Chunks      *prometheus.CounterVec
	RunDuration prometheus.Histogram
	// Moves counts runs moved to another engine. SlowPeriod and SlowShare are the mean time for
	// which engines stay slow and the share of time for which they are slow, or zero while this is
	// not known.
	Moves      *prometheus.CounterVec
	SlowPeriod prometheus.Gauge
	SlowShare  prometheus.Gauge
	// Stalls counts pauses in which the process did not run.
	Stalls prometheus.Counter
	// RewardCalls and RewardDuration count and time single attempts at reward calls.
	RewardCalls    *prometheus.CounterVec
	RewardDuration prometheus.Histogram
	// StepWait, StaleVersions and StaleSeconds measure the service that trainers receive.
	StepWait      *prometheus.HistogramVec
	StaleVersions *prometheus.HistogramVec
	StaleSeconds  *prometheus.HistogramVec
	// StepGroups is the number of open groups of steps by when they are expected to be complete.
	StepGroups *prometheus.GaugeVec
	// WaitingItems is the number of items that have waited for long although engines have room, by
	// reason.
	WaitingItems *prometheus.GaugeVec
}

// NewMetrics registers the coordinator's metrics and returns them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_item_runs_total", Help: "Runs of batch items at engines by outcome."}, []string{"outcome"}),
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_weight_orders_total", Help: "Weight orders to engines by outcome."}, []string{"outcome"}),
		Chunks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_result_chunks_total", Help: "Chunks of results written to the store by outcome."}, []string{"outcome"}),
		RunDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "currantford_item_run_seconds", Help: "Time of one item's run at an engine.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 9)}),
		Moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_item_moves_total", Help: "Runs of batch items moved to another engine, by reason."}, []string{"reason"}),
		SlowPeriod: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_engine_slow_period_seconds", Help: "Mean time for which an engine stays slow, as observed; zero while not known."}),
		SlowShare: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_engine_slow_share", Help: "Part of the time for which engines are slow, as observed; zero while not known."}),
		Stalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "currantford_coordinator_stalls_total", Help: "Pauses of 15 ms and more in which the coordinator's process did nothing."}),
		RewardCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_reward_calls_total", Help: "Tries of reward calls by outcome."}, []string{"outcome"}),
		RewardDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "currantford_reward_call_seconds", Help: "Time of one try of a reward call.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 9)}),
		StepWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "currantford_step_wait_seconds", Help: "Time from a step's acceptance until the groups that its trainer waits for are whole.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12)}, []string{"model"}),
		StaleVersions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "currantford_sample_staleness_versions", Help: "Versions that a sample's oldest weights are behind the newest named, when it is listed.",
			Buckets: []float64{0, 1, 2, 4}}, []string{"model"}),
		StaleSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "currantford_sample_staleness_seconds", Help: "Time since a sample's oldest weights were superseded, when it is listed.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12)}, []string{"model"}),
		StepGroups: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "currantford_step_groups", Help: "Open groups of steps with a due time, by when they are expected to be whole."}, []string{"class"}),
		WaitingItems: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "currantford_items_waiting", Help: "Items at no engine for 2 s and more, though others of their batches have begun and engines have room, by reason."}, []string{"reason"}),
	}
	reg.MustRegister(m.Runs, m.Orders, m.Chunks, m.RunDuration, m.Moves, m.SlowPeriod, m.SlowShare, m.Stalls, m.RewardCalls, m.RewardDuration, m.StepWait, m.StaleVersions, m.StaleSeconds, m.StepGroups, m.WaitingItems)
	return m
}
