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

	// usageHandoverReserve is how long before a report's time limit a window stops waiting for late
	// instances. It leaves time for a change of the holder, the delay between the calls of two
	// holders, and one call.
	usageHandoverReserve cf.Millis = 6000
	// usageRetryDelay is the delay after a report that was not accepted.
	usageRetryDelay cf.Millis = 400
	// maxUsageMessages is how many immediate messages per second all instances together may send to
	// the holder. Other counts are part of the next feed call.
	maxUsageMessages = 100
	// maxUsageDelay is the longest time for which an instance holds its counts back before it sends
	// them, as its hub does not relay them.
	maxUsageDelay cf.Millis = 1000
	// flushRetryDelay is the delay between the tries of an instance that stops; flushTimeout bounds
	// all of them.
	flushRetryDelay = 50 * time.Millisecond
	flushTimeout    = 800 * time.Millisecond
	// usageTimeout bounds one usage message.
	usageTimeout cf.Millis = 400
)

// usage counts the requests that this instance runs and reports them to the holder. A nil usage
// counts nothing.
type usage struct {
	node    *Node
	meter   *cfusage.Meter
	clock   cfusage.Clock
	metrics *cfmeter.Metrics
	// collector is set while this instance has the reporting duty.
	collector atomic.Pointer[cfmeter.Collector]
	sentAt    atomic.Int64 // Uptime
}

func newUsage(n *Node, metrics *cfmeter.Metrics) *usage {
	source := cfusage.Source{Entry: n.settings.Entry, Start: rand.Uint32()}
	return &usage{node: n, meter: cfusage.NewMeter(source, n.settings.Usage.window()), metrics: metrics}
}

// now returns the current time of day.
func (u *usage) now() cf.Millis { return u.clock.Now(cf.Now(), cf.Uptime()) }

// count records requests of an organisation that started to run at the given uptime.
func (u *usage) count(o cf.Organisation, startedAt cf.Millis, requests int64) {
	if u == nil || o == "" {
		return
	}
	startedWall := u.now() - (cf.Uptime() - startedAt)
	if !u.meter.Count(o, startedWall, requests) {
		u.node.log.Warn("usage_late", zap.String("organisation", string(o)), zap.Int64("began_ms", int64(startedWall)), zap.Int64("requests", requests))
		return
	}
	u.send()
}

// send sends the counts to the holder if the rate limit permits. Counts that have not been sent are
// lost if the instance is lost.
func (u *usage) send() {
	n := u.node
	now, last := cf.Uptime(), u.sentAt.Load()
	if now-cf.Millis(last) < min(cf.Millis(1000*len(n.Live())/maxUsageMessages), maxUsageDelay) || !u.sentAt.CompareAndSwap(last, int64(now)) {
		return
	}
	if u.collector.Load() != nil {
		return // The collector reads this instance's own counts.
	}
	holder, _ := n.candidate.holder()
	n.wg.Go(func() {
		r := u.meter.Report(holder.Term, u.now())
		var taken bool
		// Without an answer the counts are part of the next feed call.
		_ = n.callCoordinator(n.ctx, opUsage, usageTimeout, usageMessage{holder.Term, r}, &taken)
		u.acknowledge(holder.Term, r, taken)
	})
}

// sendPending sends the counts that the holder has not accepted yet, if there are any.
func (u *usage) sendPending() {
	if u == nil {
		return
	}
	holder, _ := u.node.candidate.holder()
	if len(u.meter.Report(holder.Term, u.now()).Windows) > 0 {
		u.send()
	}
}

// usageMessage reports an instance's counts to the holder of a term.
type usageMessage struct {
	Term   cf.Revision         `cbor:"term"`
	Report cfusage.MeterReport `cbor:"report"`
}

func (u *usage) serve(_ context.Context, m usageMessage) (any, error) {
	collector := u.collector.Load()
	if collector == nil || collector.Lease.Fence != m.Term {
		return false, nil
	}
	collector.Add(m.Report)
	return true, nil
}

// report returns the counts to include in a feed call to the holder of a term.
func (u *usage) report(term cf.Revision) *cfusage.MeterReport {
	if u == nil {
		return nil
	}
	r := u.meter.Report(term, u.now())
	return &r
}

// receive handles the counts in an instance's feed call.
func (u *usage) receive(r *cfusage.MeterReport) (taken bool, settled cf.UsageWindow) {
	if u == nil || r == nil {
		return false, 0
	}
	collector := u.collector.Load()
	if collector == nil {
		return false, 0
	}
	return true, collector.Add(*r)
}

// applyAnswer handles the usage fields of an answer to a feed call.
func (u *usage) applyAnswer(a feedAnswer, call feedCall) {
	if u == nil {
		return
	}
	if a.WallTime > 0 {
		u.clock.Adjust(a.WallTime, cf.Now(), cf.Uptime())
	}
	u.meter.Settle(a.UsageSettled)
	if call.Usage != nil && a.Holder.Term == call.Term { // The holder of another term may lack the counts.
		u.acknowledge(call.Term, *call.Usage, a.UsageTaken)
	}
}

// timeOfDay returns the time of day by the clocks of all instances. The coordinator computes it;
// any other instance uses what the coordinator has reported. It returns zero if usage is not
// reported.
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

// acknowledge records that the holder of a term has accepted a report, if taken is set.
func (u *usage) acknowledge(term cf.Revision, r cfusage.MeterReport, taken bool) {
	if taken {
		u.meter.Acknowledge(term, r)
	}
}

// begin starts the reporting duty under the coordinator's term. inherited is the usage that had
// been reported to the previous holder.
func (u *usage) begin(expected []cf.EntryID, inherited json.RawMessage) {
	if u == nil {
		return
	}
	n := u.node
	term, _ := n.candidate.MayOrder()
	earliest := cf.Uptime() + n.settings.Bounds.LeaseMs + handoverMargin
	s := n.settings.Usage
	collector := cfmeter.New(cfmeter.Options{
		Lease: cf.LeaseToken{Holder: n.settings.Entry, Fence: term}, Store: n.adapter.Store, Metering: n.adapter.Metering,
		Timing: cfusage.WindowTiming{Length: s.window(), MaxWait: max(s.maxDelay()-usageHandoverReserve, 0), RetryDelay: usageRetryDelay},
		// A previous holder may have called until its lease expired.
		MayAct: func() bool { return n.candidate.Valid() && cf.Uptime() >= earliest },
		Now:    u.now, LocalCounts: func(term cf.Revision) cfusage.MeterReport { return u.ownReport(term) }, OnSettled: u.meter.Settle, Instances: expected, Inherited: inherited,
		Metrics: u.metrics, Log: n.log,
	})
	u.collector.Store(collector)
	collector.Start()
}

// snapshot returns the reported usage for a successor, or nil while this instance has no reporting
// duty.
func (u *usage) snapshot() json.RawMessage {
	if u == nil {
		return nil
	}
	collector := u.collector.Load()
	if collector == nil {
		return nil
	}
	return collector.Snapshot()
}

// flush sends the last counts of an instance that stops, until they are accepted or ctx ends.
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
		err := u.node.callCoordinator(ctx, opUsage, usageTimeout, usageMessage{holder.Term, r}, &taken)
		u.acknowledge(holder.Term, r, taken)
		if !taken {
			err = u.node.findHolder(ctx) // This instance may have been the holder until now.
		}
		if !taken && !cf.Sleep(ctx, flushRetryDelay) {
			u.node.log.Warn("usage_not_told", zap.Int("windows", len(r.Windows)), cflog.Error(err))
			return
		}
	}
}

// ownReport returns this instance's counts to its own collector.
func (u *usage) ownReport(term cf.Revision) cfusage.MeterReport {
	r := u.meter.Report(term, u.now())
	u.meter.Acknowledge(term, r)
	return r
}

// end stops the duty.
func (u *usage) end() {
	if u == nil {
		return
	}
	if collector := u.collector.Swap(nil); collector != nil {
		_ = collector.Close()
	}
}

func entryIDs(entries []cfmember.Entry) []cf.EntryID {
	ids := make([]cf.EntryID, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	return ids
}
