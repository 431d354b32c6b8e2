package cfnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfusage"
	"currantford/io/cflog"
	"currantford/io/cfmeter"
)

const (
	opUsage = "usage"

	// usageReserve is what is left of the time for a report when it is kept at the
	// latest: a change of the holder, the time between two holders' calls, and a call.
	usageReserve cf.Millis = 6000
	// usageRetry is the pause after a report that was not taken.
	usageRetry cf.Millis = 400
	// tellTimes is how often a second instances together may tell the holder at once of
	// what they have counted; what is not told at once comes with the next report of
	// life.
	tellTimes = 100
	// tellMost is the longest time until an instance tells what it has counted: its hub
	// passes no counts on.
	tellMost cf.Millis = 1000
	// flushRetry is the pause between the tries of an instance that stops; flushBudget
	// bounds them all.
	flushRetry  = 50 * time.Millisecond
	flushBudget = 800 * time.Millisecond
	// usageTimeout bounds such a message.
	usageTimeout cf.Millis = 400
)

// usage is an instance's part in counting use. A nil one counts nothing.
type usage struct {
	node    *Node
	meter   *cfusage.Meter
	clock   cfusage.Clock
	metrics *cfmeter.Metrics
	// duty is set while this instance reports.
	duty   atomic.Pointer[cfmeter.Collector]
	toldAt atomic.Int64 // Uptime
}

func newUsage(n *Node, metrics *cfmeter.Metrics) *usage {
	source := cfusage.Source{Entry: n.settings.Entry, Start: rand.Uint32()}
	return &usage{node: n, meter: cfusage.NewMeter(source, n.settings.Usage.length()), metrics: metrics}
}

// now returns the time of day.
func (u *usage) now() cf.Millis { return u.clock.Now(cf.Now(), cf.Uptime()) }

// count notes requests of an organisation that began to run at an Uptime.
func (u *usage) count(o cf.Organisation, began cf.Millis, requests int64) {
	if u == nil || o == "" {
		return
	}
	at := u.now() - (cf.Uptime() - began)
	if !u.meter.Count(o, at, requests) {
		u.node.log.Warn("usage_late", zap.String("organisation", string(o)), zap.Int64("began_ms", int64(at)), zap.Int64("requests", requests))
		return
	}
	u.tell()
}

// tell tells the holder what was counted, if it is this instance's turn: with an instance
// that is lost, what it has not told is lost.
func (u *usage) tell() {
	n := u.node
	now, last := cf.Uptime(), u.toldAt.Load()
	if now-cf.Millis(last) < min(cf.Millis(1000*len(n.Live())/tellTimes), tellMost) || !u.toldAt.CompareAndSwap(last, int64(now)) {
		return
	}
	if u.duty.Load() != nil {
		return // it takes its own
	}
	holder, _ := n.candidate.holder()
	n.wg.Go(func() {
		r := u.meter.Report(holder.Term, u.now())
		var taken bool
		// Without an answer it goes with the next report of life.
		_ = n.ask(n.ctx, opUsage, usageTimeout, usageMessage{holder.Term, r}, &taken)
		u.took(holder.Term, r, taken)
	})
}

// tellCounted tells the holder what it has not taken yet, if there is anything.
func (u *usage) tellCounted() {
	if u == nil {
		return
	}
	holder, _ := u.node.candidate.holder()
	if len(u.meter.Report(holder.Term, u.now()).Windows) > 0 {
		u.tell()
	}
}

// usageMessage tells the holder of a term what an instance has counted.
type usageMessage struct {
	Term   cf.Revision         `cbor:"term"`
	Report cfusage.MeterReport `cbor:"report"`
}

func (u *usage) serve(_ context.Context, m usageMessage) (any, error) {
	d := u.duty.Load()
	if d == nil || d.Lease.Fence != m.Term {
		return false, nil
	}
	d.Add(m.Report)
	return true, nil
}

// report returns what goes with a report of life to the holder of a term.
func (u *usage) report(term cf.Revision) *cfusage.MeterReport {
	if u == nil {
		return nil
	}
	r := u.meter.Report(term, u.now())
	return &r
}

// hear takes what came with an instance's report of life.
func (u *usage) hear(r *cfusage.MeterReport) (taken bool, settled cf.UsageWindow) {
	if u == nil || r == nil {
		return false, 0
	}
	d := u.duty.Load()
	if d == nil {
		return false, 0
	}
	return true, d.Add(*r)
}

// heard takes the answer to a report of life.
func (u *usage) heard(a feedAnswer, call feedCall) {
	if u == nil {
		return
	}
	if a.Wall > 0 {
		u.clock.Adjust(a.Wall, cf.Now(), cf.Uptime())
	}
	u.meter.Settle(a.UsageSettled)
	if call.Usage != nil && a.Holder.Term == call.Term { // another holder may lack what this one had
		u.took(call.Term, *call.Usage, a.UsageTaken)
	}
}

// timeOfDay returns the time of day by the clocks of all instances, zero where nobody
// needs it: as the coordinator, or as that one has told.
func (n *Node) timeOfDay(holds bool) cf.Millis {
	if n.usage == nil {
		return 0
	}
	if !holds {
		return n.usage.now()
	}
	n.clockMu.Lock()
	defer n.clockMu.Unlock()
	wall, uptime := cf.Now(), cf.Uptime()
	now := n.clocks.Now(wall, uptime)
	n.usage.clock.Adjust(now, wall, uptime)
	return now
}

// took notes that the holder of a term has taken a report.
func (u *usage) took(term cf.Revision, r cfusage.MeterReport, taken bool) {
	if taken {
		u.meter.Acknowledge(term, r)
	}
}

// begin begins the duty of reporting, under the coordinator's term. base is what the holder
// before had heard.
func (u *usage) begin(expect []cf.EntryID, base json.RawMessage) {
	if u == nil {
		return
	}
	n := u.node
	term, _ := n.candidate.MayOrder()
	from := cf.Uptime() + n.settings.Bounds.LeaseMs + handoverSlack
	s := n.settings.Usage
	d := cfmeter.New(cfmeter.Options{
		Lease: cf.LeaseToken{Holder: n.settings.Entry, Fence: term}, Store: n.adapter.Store, Metering: n.adapter.Metering,
		Timing: cfusage.WindowTiming{Length: s.length(), MaxWait: max(s.late()-usageReserve, 0), RetryDelay: usageRetry},
		// A holder before may have called until its lease ran out.
		MayAct: func() bool { return n.candidate.Valid() && cf.Uptime() >= from },
		Now:    u.now, LocalCounts: func(term cf.Revision) cfusage.MeterReport { return u.own(term) }, OnSettled: u.meter.Settle, Instances: expect, Inherited: base,
		Metrics: u.metrics, Log: n.log,
	})
	u.duty.Store(d)
	d.Start()
}

// base returns what a successor needs, nothing while this instance does not report.
func (u *usage) base() json.RawMessage {
	if u == nil {
		return nil
	}
	d := u.duty.Load()
	if d == nil {
		return nil
	}
	return d.Snapshot()
}

// flush tells the holder the last counts of an instance that stops, until they are taken
// or ctx ends.
func (u *usage) flush(ctx context.Context) {
	if u == nil {
		return
	}
	for {
		holder, _ := u.node.candidate.holder()
		r := u.meter.Report(holder.Term, u.now())
		if len(r.Windows) == 0 {
			return
		}
		var taken bool
		err := u.node.ask(ctx, opUsage, usageTimeout, usageMessage{holder.Term, r}, &taken)
		u.took(holder.Term, r, taken)
		if !taken {
			err = u.node.findHolder(ctx) // it may have been this instance until now
		}
		if !taken && !cf.Sleep(ctx, flushRetry) {
			u.node.log.Warn("usage_not_told", zap.Int("windows", len(r.Windows)), cflog.Error(err))
			return
		}
	}
}

// own hands this instance's counts to its own duty.
func (u *usage) own(term cf.Revision) cfusage.MeterReport {
	r := u.meter.Report(term, u.now())
	u.meter.Acknowledge(term, r)
	return r
}

// end ends the duty.
func (u *usage) end() {
	if u == nil {
		return
	}
	if d := u.duty.Swap(nil); d != nil {
		_ = d.Close()
	}
}

func entryIDs(entries []cfmember.Entry) []cf.EntryID {
	ids := make([]cf.EntryID, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	return ids
}
