package cfcoord

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfquarantine"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

const (
	// stall is how long an engine may send nothing before a run is resumed
	// at another. Events come every 40 to 200 ms; a load of weights under
	// a run takes about a second.
	stall = 2500 * time.Millisecond
	// runTimeout is the deadline of one run at an engine; the longest items
	// take about 7 s on an engine at normal speed.
	runTimeout cf.Millis = 30000
	// textMost bounds a text: an object of the store, in which it is to be listed, has no
	// more. eventOverhead is what an event takes beside its data.
	textMost      = 1 << 20
	eventOverhead = 16
	// pausesMost bounds the pauses that are known to have been logged; of more that last at
	// once there are no lines.
	pausesMost = 10_000
)

var outcomeNames = map[cfrollout.Outcome]string{
	cfrollout.OutcomeDone: "done", cfrollout.OutcomeFailed: "failed", cfrollout.OutcomePermanentFailure: "never",
	cfrollout.OutcomeNotRun: "not_run", cfrollout.OutcomeBroken: "broken", cfrollout.OutcomeStopped: "stopped",
}

// startRun runs an item at the engine the planner chose.
func (c *Coordinator) startRun(w *cfrollout.Work) {
	e, ok := c.planner.Engine(w.Engine)
	if !ok {
		c.planner.Finished(w, cfrollout.OutcomeNotRun, cf.Uptime())
		c.follow(w, cf.Target{}, runEnd{outcome: cfrollout.OutcomeNotRun})
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.runs[w] = cancel
	item, host, version, class := w.Item, w.Batch.Sub.Host, w.Version, cfaccess.ShortItem
	if c.planner.IsLong(w) {
		class = cfaccess.LongItem
	}
	route := c.StreamRouter.Route(e.Target)
	c.Log.Info("item_placed", zap.String("request_id", string(item.ID.RequestID())), cflog.Batch(w.Batch.Sub.ID),
		zap.String("group_id", string(item.Group)), zap.String("target", string(e.ID)), zap.String("via", string(route.Via)), zap.Int64("version", int64(version)), zap.Int64("resume_after", int64(w.Text.Last)),
		zap.Int("failures", w.Failures), zap.Int("running_there", e.Running), zap.Int("apart", w.IsolationLimit()), zap.Float64("event_ms_there", e.Pace()))
	call := cf.TargetCall{
		ID: item.ID.RequestID(), Method: http.MethodPost, Host: host, Path: item.Path, Header: itemHeader(item), Body: item.Body,
		Urgency: cfaccess.Urgency(w.Terms.Access, class), Ranked: true, Organisation: w.Batch.Sub.ID.Organisation(),
		Timeout: runTimeout, ResumeAfter: w.Text.Last, ExpectVersion: version,
	}
	c.wg.Go(func() {
		defer cancel()
		started := time.Now()
		end := c.run(ctx, route, e.Target, call, w)
		c.Metrics.Runs.WithLabelValues(outcomeNames[end.outcome]).Inc()
		c.Metrics.RunDuration.Observe(time.Since(started).Seconds())
		c.ended(w, e.Target, end)
	})
}

// runEnd is how a run ended.
type runEnd struct {
	outcome cfrollout.Outcome
	reason  string
	// unsent: it did not reach the engine. heard: the engine was heard of after it was
	// sent.
	unsent, heard bool
	// kept is how long the connection is kept for another run.
	kept cf.Millis
}

// ended takes the end of a run back to the planner.
func (c *Coordinator) ended(w *cfrollout.Work, t cf.Target, end runEnd) {
	outcome := end.outcome
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runs, w)
	now := cf.Uptime()
	if c.ctx.Err() != nil {
		c.follow(w, t, runEnd{outcome: cfrollout.OutcomeStopped})
		return // the duty is over; a successor runs the item again
	}
	c.follow(w, t, end)
	c.Log.Info("item_run", zap.String("request_id", string(w.Item.ID.RequestID())), cflog.Batch(w.Batch.Sub.ID),
		zap.String("target", string(t.ID)), zap.String("outcome", outcomeNames[outcome]), zap.String("reason", end.reason),
		zap.Int64("version", int64(w.Version)), zap.Int64("events", int64(w.Text.Last)),
		zap.Int64("took_ms", int64(now-w.Started)))
	if outcome == cfrollout.OutcomeNotRun && !c.planner.IsLoading(t.ID) {
		c.checkReport(t)
	}
	if end.kept > 0 {
		c.planner.ConnectionKept(w, now+end.kept)
	}
	switch ended := c.planner.Finished(w, outcome, now); {
	case ended && outcome == cfrollout.OutcomeDone:
		c.complete(w, now)
	case ended:
		c.giveUp(w, end.reason, now)
	}
	c.Wake()
}

// admit asks the guard whether an item may be sent to an engine; its end is then due to
// the guard.
func (c *Coordinator) admit(w *cfrollout.Work, engine cf.Target, apart bool) cfrollout.Admission {
	v := c.admitOwed(w.Item.ID.RequestID(), cfquarantine.KeyOfItem(&w.Batch.Sub, w.Item), engine, cfquarantine.DeferredWork{Isolated: apart, WaitingSince: w.WaitingSince()})
	return cfrollout.Admission{Allowed: v.Pass, TryOthers: v.OtherTarget, RetryAt: v.RetryAt, MaxRuns: v.MaxRuns}
}

// admitOwed asks the guard whether an item or a reward call may be sent. The planners ask again
// at each look while it may not; each pause is logged once. c.mu is held.
func (c *Coordinator) admitOwed(id cf.RequestID, key cfquarantine.Key, target cf.Target, w cfquarantine.DeferredWork) cfquarantine.Verdict {
	v := c.Guard.AdmitDeferred(key, target, w)
	if v.RetryAt > 0 && c.pauses[id] != v.RetryAt {
		if len(c.pauses) >= pausesMost {
			now := cf.Uptime()
			maps.DeleteFunc(c.pauses, func(_ cf.RequestID, until cf.Millis) bool { return until <= now })
		}
		if len(c.pauses) < pausesMost {
			c.pauses[id] = v.RetryAt
			c.Guard.Paused(id, key, v)
		}
	}
	return v
}

// follow tells the guard how a run ended.
func (c *Coordinator) follow(w *cfrollout.Work, t cf.Target, end runEnd) {
	key := cfquarantine.KeyOfItem(&w.Batch.Sub, w.Item)
	switch {
	case end.outcome == cfrollout.OutcomeDone || end.outcome == cfrollout.OutcomeFailed || end.outcome == cfrollout.OutcomePermanentFailure:
		c.Guard.Answered(key, t, w.Started)
	case end.outcome == cfrollout.OutcomeBroken && !end.unsent:
		c.Guard.Lost(w.Item.ID.RequestID(), key, t, end.heard)
	default:
		c.Guard.Dropped(key, t)
	}
}

// collector gathers an item's text and keeps its watchdog from firing.
type collector struct {
	work     *cfrollout.Work
	watchdog *time.Timer
	size     int // of the text, with what each of its events takes
}

func newCollector(w *cfrollout.Work, watchdog *time.Timer) *collector {
	return &collector{w, watchdog, w.Text.Size() + int(w.Text.Last)*eventOverhead}
}

func (k *collector) Start(cf.TargetAnswer) error { return nil }

// Watermark implements cf.SeenSink.
func (k *collector) Watermark(at cf.Millis) { k.work.Progress.SeenUntil(at) }

func (k *collector) Event(ev cf.StreamEvent) error {
	k.watchdog.Reset(stall)
	at := ev.At
	if at == 0 {
		at = cf.Uptime()
	}
	k.work.Progress.RecordEvent(at)
	k.work.Mu.Lock()
	defer k.work.Mu.Unlock()
	if k.size += len(ev.Data) + eventOverhead; k.size > textMost {
		k.work.Text = cfrollout.Text{} // nobody can go on with it
		return eris.Wrapf(cf.ErrBadAnswer, "a text of over %d bytes", textMost)
	}
	return k.work.Text.Append(ev)
}

// run sends one item to one engine and collects its text after what w holds
// already.
func (c *Coordinator) run(outer context.Context, route cf.StreamRoute, t cf.Target, call cf.TargetCall, w *cfrollout.Work) runEnd {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	watchdog := time.AfterFunc(stall, cancel)
	defer watchdog.Stop()
	answer, err := route.Stream(ctx, t, call, newCollector(w, watchdog))
	if err != nil && outer.Err() != nil {
		return runEnd{outcome: cfrollout.OutcomeStopped, reason: "ended or moved"}
	}
	end := runEnd{unsent: errors.Is(err, cf.ErrNotRun), heard: answer.Alive, kept: answer.KeepAlive}
	end.outcome, end.reason = classify(answer, err)
	return end
}

func itemHeader(item cf.Item) http.Header {
	header := make(http.Header, len(item.Headers)+4)
	for k, v := range item.Headers {
		header.Set(k, v)
	}
	return header
}

// classify maps what came of a run to what the planner knows.
func classify(answer cf.TargetAnswer, err error) (cfrollout.Outcome, string) {
	switch {
	case errors.Is(err, cf.ErrUnavailable):
		// The instance that held the stream is lost, not the target.
		return cfrollout.OutcomeStopped, err.Error()
	case err != nil:
		return cfrollout.OutcomeBroken, err.Error()
	case answer.NotRun:
		return cfrollout.OutcomeNotRun, http.StatusText(answer.Status)
	case answer.Status/100 == 2:
		return cfrollout.OutcomeDone, ""
	case answer.Status == http.StatusUnprocessableEntity:
		return cfrollout.OutcomePermanentFailure, "target says never"
	case answer.Status == http.StatusInternalServerError:
		return cfrollout.OutcomeFailed, "target failed"
	default:
		return cfrollout.OutcomeBroken, http.StatusText(answer.Status)
	}
}

func join(data []string) string { return strings.Join(data, "\n") }
