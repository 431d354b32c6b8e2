// Package cfmeter reports usage to the platform. Only the instance that holds the coordinator's
// lease does so: its Collector is created for a lease term, acts under this term only, and is
// closed at its end. Package cfusage decides what to report for which window and when; this package
// executes the decisions.
//
// Usage:
//
//	c := cfmeter.New(options)
//	c.Start()
//	defer c.Close()
//	c.Add(report) // an instance's counts
package cfmeter

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfusage"
	"currantford/io/cflog"
)

const (
	// outboxName is the name of the object that stores the reports until they are sent.
	outboxName = "reports"
	// tick is the interval between checks for due windows.
	tick = 100 * time.Millisecond
	// sendTimeout limits the duration of a report call. A report without a response is sent again
	// unchanged.
	sendTimeout = 1500 * time.Millisecond
	// maxLoggedCounts is the maximum number of organisations in a log line. The store has the
	// counts of all organisations until the report is sent.
	maxLoggedCounts = 200
)

type (
	// Options configures a Collector.
	Options struct {
		Lease    cf.LeaseToken
		Store    cf.Store
		Metering cf.Metering
		Timing   cfusage.WindowTiming
		// MayAct reports whether the term allows a call now.
		MayAct func() bool
		// Now returns the time of day.
		Now func() cf.Millis
		// LocalCounts returns the new counts of this instance and marks them as reported.
		LocalCounts func(term cf.Revision) cfusage.MeterReport
		// OnSettled is called with the last window whose report is stored.
		OnSettled func(cf.UsageWindow)
		// Instances are the instances that may have counts.
		Instances []cf.EntryID
		// Inherited is the Snapshot of the previous lease holder.
		Inherited json.RawMessage
		Metrics   *Metrics
		Log       *zap.Logger
	}

	// Collector adds up the counts of all instances and reports them. It is safe for concurrent
	// use. Close stops it and waits for the call in progress.
	Collector struct {
		Options
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		mu         sync.Mutex
		aggregator *cfusage.Aggregator
		reporter   *cfusage.Reporter
	}

	// Metrics holds the collector's metrics.
	Metrics struct {
		Reports *prometheus.CounterVec
		Late    prometheus.Counter
	}
)

// NewMetrics registers the collector's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_usage_reports_total", Help: "Reports of use sent to the platform, by outcome."}, []string{"outcome"}),
		Late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "currantford_usage_late_total", Help: "Requests whose count came after their window was reported."}),
	}
	reg.MustRegister(m.Reports, m.Late)
	return m
}

// New returns a Collector that is not started.
func New(o Options) *Collector {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Collector{Options: o, ctx: ctx, cancel: cancel, aggregator: cfusage.NewAggregator(o.Timing.Length), reporter: cfusage.NewReporter(o.Timing)}
	now := o.Now()
	for _, e := range o.Instances {
		c.aggregator.Expect(e, now)
	}
	if len(o.Inherited) > 0 {
		var base cfusage.Snapshot
		if err := json.Unmarshal(o.Inherited, &base); err != nil {
			o.Log.Error("usage_base_not_read", cflog.Error(err))
		}
		c.aggregator.Restore(base)
		o.Log.Info("usage_restored", zap.Int64("first_window", int64(base.First)), zap.Int("entries", len(base.Sources)), zap.Int("counts", len(base.Rows)))
	}
	return c
}

// Snapshot returns the state that a successor needs if this instance is lost.
func (c *Collector) Snapshot() json.RawMessage {
	c.mu.Lock()
	base := c.aggregator.Snapshot()
	c.mu.Unlock()
	if len(base.Rows) == 0 {
		return nil
	}
	out, err := json.Marshal(base)
	if err != nil {
		c.Log.Error("usage_base_not_kept", cflog.Error(err))
	}
	return out
}

// Start starts the collector.
func (c *Collector) Start() { c.wg.Go(c.loop) }

// Close stops the collector and waits for it to end.
func (c *Collector) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// Add adds an instance's counts. It returns the last window whose report is stored.
func (c *Collector) Add(r cfusage.MeterReport) cf.UsageWindow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, late := range c.aggregator.Add(r) {
		n := int64(0)
		for _, count := range late.Counts {
			n += count
		}
		if n > 0 {
			c.Metrics.Late.Add(float64(n))
			c.Log.Warn("usage_late", zap.String("entry", string(r.Source.Entry)), zap.Int64("window", int64(late.Window)), zap.Int64("requests", n))
		}
	}
	return c.reporter.Settled()
}

func (c *Collector) loop() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		for c.runNext() {
		}
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runNext takes the next step. It returns true if another step may be due.
func (c *Collector) runNext() bool {
	c.Add(c.LocalCounts(c.Lease.Fence))
	if c.ctx.Err() != nil || !c.MayAct() {
		return false
	}
	c.mu.Lock()
	step := c.reporter.Next(c.Now(), c.aggregator)
	c.mu.Unlock()
	switch step.Kind {
	case cfusage.Read:
		return c.load()
	case cfusage.Write:
		return c.save(step)
	case cfusage.Send:
		return c.send(step.Report)
	default:
		return false
	}
}

// load reads the outbox from the store.
func (c *Collector) load() bool {
	r, err := c.Store.Get(c.ctx, cf.KindUsage, outboxName)
	var stored cfusage.Outbox
	if err == nil {
		if err = json.Unmarshal(r.Spec, &stored); err != nil {
			err = eris.Wrapf(cf.ErrInvalid, "%s: %v", outboxName, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, cf.ErrNotFound):
		c.reporter.InitOutbox(c.Now(), c.aggregator)
	case err != nil:
		c.Log.Warn("usage_not_read", cflog.Error(err))
		return false
	default:
		c.reporter.SetOutbox(stored, r.Rev)
	}
	c.markSettled()
	return true
}

// save writes the due reports to the outbox in the store.
func (c *Collector) save(step cfusage.Step) bool {
	var r cf.Record
	var err error
	if step.Rev == 0 {
		r, err = c.Store.Create(c.ctx, cf.KindUsage, outboxName, step.Outbox)
	} else {
		r, err = c.Store.Replace(c.ctx, cf.KindUsage, outboxName, step.Rev, step.Outbox)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || r.Rev == 0 {
		c.reporter.InvalidateOutbox()
		c.Log.Warn("usage_in_doubt", zap.Int64("window", int64(step.Outbox.Settled)), cflog.Error(err))
		return false
	}
	c.reporter.SetOutbox(step.Outbox, r.Rev)
	c.markSettled()
	for _, p := range step.Outbox.Pending {
		c.logSaved(p, r.Rev)
	}
	return true
}

// logSaved logs a stored report, without its counts if there are too many for a log line.
func (c *Collector) logSaved(p cf.UsageReport, rev cf.Revision) {
	counts := zap.Skip()
	if len(p.Counts) <= maxLoggedCounts {
		counts = zap.Any("counts", p.Counts)
	}
	c.Log.Info("usage_kept", zap.Int64("window", int64(p.Window)), zap.Int64("term", int64(c.Lease.Fence)), zap.Int64("revision", int64(rev)),
		zap.Int("organisations", len(p.Counts)), counts)
}

// markSettled tells the aggregator and the instances which windows are stored, so that they may
// discard the counts. c.mu must be held.
func (c *Collector) markSettled() {
	c.aggregator.Settle(c.reporter.Settled())
	c.OnSettled(c.reporter.Settled())
}

// send sends a report to the platform.
func (c *Collector) send(report cf.UsageReport) bool {
	ctx, cancel := context.WithTimeout(c.ctx, sendTimeout)
	defer cancel()
	started := time.Now()
	err := c.Metering.ReportUsage(ctx, c.Lease, report)
	outcome := "taken"
	switch {
	case errors.Is(err, cf.ErrFenced):
		outcome = "fenced"
	case errors.Is(err, cf.ErrUnavailable):
		outcome = "no_answer"
	case err != nil:
		outcome = "refused"
	}
	c.Metrics.Reports.WithLabelValues(outcome).Inc()
	c.Log.Info("usage_sent", zap.Int64("window", int64(report.Window)), zap.Int64("term", int64(c.Lease.Fence)), zap.String("outcome", outcome),
		zap.Int64("took_ms", time.Since(started).Milliseconds()), zap.Int64("after_its_end_ms", int64(c.Now()-report.Window.End(c.Timing.Length))), cflog.Error(err))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.reporter.NotSent(report.Window, c.Now())
		return false
	}
	c.reporter.Sent(report.Window)
	return true
}
