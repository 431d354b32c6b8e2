// Package cfmeter is the duty of reporting use to the platform. One instance at a time
// has it, with the coordinator's lease: it is given a term, acts under it alone, and ends
// with it. What is reported of which window, and when, is cfusage's decision; this package
// carries it out.
//
// Usage:
//
//	d := cfmeter.New(options)
//	d.Start()
//	defer d.Close()
//	d.Take(report) // of an instance
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
	// reportsName is the object that holds the reports until they are sent.
	reportsName = "reports"
	// tick is how often the duty looks whether a window is due.
	tick = 100 * time.Millisecond
	// sendTimeout bounds a report. One without an answer is sent again, the same.
	sendTimeout = 1500 * time.Millisecond
	// loggedMost bounds the organisations of a log line; the store has them all until the
	// report is sent.
	loggedMost = 200
)

type (
	// Options are what the duty works with.
	Options struct {
		Lease    cf.LeaseToken
		Store    cf.Store
		Metering cf.Metering
		Timing   cfusage.WindowTiming
		// MayAct says whether the term allows a call now.
		MayAct func() bool
		// Now returns the time of day.
		Now func() cf.Millis
		// LocalCounts returns the counts of this instance, Taken that they were taken.
		LocalCounts func(term cf.Revision) cfusage.MeterReport
		// OnSettled tells the last window of which a report lies in the store.
		OnSettled func(cf.UsageWindow)
		// Instances are the instances that may have counts.
		Instances []cf.EntryID
		// Inherited is what the holder before had heard, as Snapshot gave it.
		Inherited json.RawMessage
		Metrics   *Metrics
		Log       *zap.Logger
	}

	// Collector reports use. It is safe for concurrent use. Close ends it and waits for the
	// call under way.
	Collector struct {
		Options
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		mu      sync.Mutex
		account *cfusage.Aggregator
		keeper  *cfusage.Reporter
	}

	// Metrics are the duty's counters.
	Metrics struct {
		Reports *prometheus.CounterVec
		Late    prometheus.Counter
	}
)

// NewMetrics registers the duty's metrics.
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

// New returns a duty that has not started.
func New(o Options) *Collector {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Collector{Options: o, ctx: ctx, cancel: cancel, account: cfusage.NewAggregator(o.Timing.Length), keeper: cfusage.NewReporter(o.Timing)}
	now := o.Now()
	for _, e := range o.Instances {
		d.account.Expect(e, now)
	}
	if len(o.Inherited) > 0 {
		var base cfusage.Snapshot
		if err := json.Unmarshal(o.Inherited, &base); err != nil {
			o.Log.Error("usage_base_not_read", cflog.Error(err))
		}
		d.account.Restore(base)
		o.Log.Info("usage_restored", zap.Int64("first_window", int64(base.First)), zap.Int("entries", len(base.Sources)), zap.Int("counts", len(base.Rows)))
	}
	return d
}

// Snapshot returns what a successor needs if this instance is lost.
func (d *Collector) Snapshot() json.RawMessage {
	d.mu.Lock()
	base := d.account.Snapshot()
	d.mu.Unlock()
	if len(base.Rows) == 0 {
		return nil
	}
	out, err := json.Marshal(base)
	if err != nil {
		d.Log.Error("usage_base_not_kept", cflog.Error(err))
	}
	return out
}

// Start begins the duty.
func (d *Collector) Start() { d.wg.Go(d.loop) }

// Close ends the duty.
func (d *Collector) Close() error {
	d.cancel()
	d.wg.Wait()
	return nil
}

// Add takes what an instance has counted. It returns the last window of which there is a
// report.
func (d *Collector) Add(r cfusage.MeterReport) cf.UsageWindow {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, late := range d.account.Add(r) {
		n := int64(0)
		for _, count := range late.Counts {
			n += count
		}
		if n > 0 {
			d.Metrics.Late.Add(float64(n))
			d.Log.Warn("usage_late", zap.String("entry", string(r.Source.Entry)), zap.Int64("window", int64(late.Window)), zap.Int64("requests", n))
		}
	}
	return d.keeper.Settled()
}

func (d *Collector) loop() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		for d.step() {
		}
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step does what is due; it returns true if more may be.
func (d *Collector) step() bool {
	d.Add(d.LocalCounts(d.Lease.Fence))
	if d.ctx.Err() != nil || !d.MayAct() {
		return false
	}
	d.mu.Lock()
	step := d.keeper.Next(d.Now(), d.account)
	d.mu.Unlock()
	switch step.Kind {
	case cfusage.Read:
		return d.read()
	case cfusage.Write:
		return d.keep(step)
	case cfusage.Send:
		return d.send(step.Report)
	default:
		return false
	}
}

// read reads what lies in the store.
func (d *Collector) read() bool {
	r, err := d.Store.Get(d.ctx, cf.KindUsage, reportsName)
	var kept cfusage.Outbox
	if err == nil {
		if err = json.Unmarshal(r.Spec, &kept); err != nil {
			err = eris.Wrapf(cf.ErrInvalid, "%s: %v", reportsName, err)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case errors.Is(err, cf.ErrNotFound):
		d.keeper.InitOutbox(d.Now(), d.account)
	case err != nil:
		d.Log.Warn("usage_not_read", cflog.Error(err))
		return false
	default:
		d.keeper.SetOutbox(kept, r.Rev)
	}
	d.settle()
	return true
}

// keep writes the reports that are due.
func (d *Collector) keep(step cfusage.Step) bool {
	var r cf.Record
	var err error
	if step.Rev == 0 {
		r, err = d.Store.Create(d.ctx, cf.KindUsage, reportsName, step.Outbox)
	} else {
		r, err = d.Store.Replace(d.ctx, cf.KindUsage, reportsName, step.Rev, step.Outbox)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || r.Rev == 0 {
		d.keeper.InvalidateOutbox()
		d.Log.Warn("usage_in_doubt", zap.Int64("window", int64(step.Outbox.Settled)), cflog.Error(err))
		return false
	}
	d.keeper.SetOutbox(step.Outbox, r.Rev)
	d.settle()
	for _, p := range step.Outbox.Pending {
		d.logKept(p, r.Rev)
	}
	return true
}

// logKept logs a report as it lies in the store, as far as a line can hold it.
func (d *Collector) logKept(p cf.UsageReport, rev cf.Revision) {
	counts := zap.Skip()
	if len(p.Counts) <= loggedMost {
		counts = zap.Any("counts", p.Counts)
	}
	d.Log.Info("usage_kept", zap.Int64("window", int64(p.Window)), zap.Int64("term", int64(d.Lease.Fence)), zap.Int64("revision", int64(rev)),
		zap.Int("organisations", len(p.Counts)), counts)
}

// settle lets the instances forget what is kept. d.mu is held.
func (d *Collector) settle() {
	d.account.Settle(d.keeper.Settled())
	d.OnSettled(d.keeper.Settled())
}

// send sends a report.
func (d *Collector) send(report cf.UsageReport) bool {
	ctx, cancel := context.WithTimeout(d.ctx, sendTimeout)
	defer cancel()
	began := time.Now()
	err := d.Metering.ReportUsage(ctx, d.Lease, report)
	outcome := "taken"
	switch {
	case errors.Is(err, cf.ErrFenced):
		outcome = "fenced"
	case errors.Is(err, cf.ErrUnavailable):
		outcome = "no_answer"
	case err != nil:
		outcome = "refused"
	}
	d.Metrics.Reports.WithLabelValues(outcome).Inc()
	d.Log.Info("usage_sent", zap.Int64("window", int64(report.Window)), zap.Int64("term", int64(d.Lease.Fence)), zap.String("outcome", outcome),
		zap.Int64("took_ms", time.Since(began).Milliseconds()), zap.Int64("after_its_end_ms", int64(d.Now()-report.Window.End(d.Timing.Length))), cflog.Error(err))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.keeper.NotSent(report.Window, d.Now())
		return false
	}
	d.keeper.Sent(report.Window)
	return true
}
