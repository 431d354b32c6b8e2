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
	// stallTimeout is how long an engine may send nothing before a run is resumed at another one.
	// Events arrive every 40 to 200 ms; a load of weights during a run takes about a second.
	stallTimeout = 2500 * time.Millisecond
	// runTimeout is the deadline of one run at an engine. The longest items take about 7 s at an
	// engine of normal speed.
	runTimeout cf.Millis = 30000
	// maxTextBytes is the maximum size of a text. A text is listed in an object of the store, which
	// cannot hold more. eventOverhead is the size that each event adds to that of its data.
	maxTextBytes  = 1 << 20
	eventOverhead = 16
	// maxLoggedPauses limits the number of pauses that are remembered as logged. Any further pauses
	// at the same time are not logged.
	maxLoggedPauses = 10_000
)

var outcomeNames = map[cfrollout.Outcome]string{
	cfrollout.OutcomeDone: "done", cfrollout.OutcomeFailed: "failed", cfrollout.OutcomePermanentFailure: "never",
	cfrollout.OutcomeNotRun: "not_run", cfrollout.OutcomeBroken: "broken", cfrollout.OutcomeStopped: "stopped",
}

// startRun runs an item at the engine that the planner chose.
func (c *Coordinator) startRun(w *cfrollout.Work) {
	e, ok := c.planner.Engine(w.Engine)
	if !ok {
		c.planner.Finished(w, cfrollout.OutcomeNotRun, cf.Uptime())
		c.reportRun(w, cf.Target{}, runResult{outcome: cfrollout.OutcomeNotRun})
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
		end := c.runItem(ctx, route, e.Target, call, w)
		c.Metrics.Runs.WithLabelValues(outcomeNames[end.outcome]).Inc()
		c.Metrics.RunDuration.Observe(time.Since(started).Seconds())
		c.runEnded(w, e.Target, end)
	})
}

// runResult describes how a run ended.
type runResult struct {
	outcome cfrollout.Outcome
	reason  string
	// unsent is set if the request did not reach the engine. alive is set if the engine sent
	// anything after receiving the request.
	unsent, alive bool
	// keepAlive is how long the connection is kept open for another run.
	keepAlive cf.Millis
}

// runEnded records the end of a run and passes it to the planner.
func (c *Coordinator) runEnded(w *cfrollout.Work, t cf.Target, end runResult) {
	outcome := end.outcome
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runs, w)
	now := cf.Uptime()
	if c.ctx.Err() != nil {
		c.reportRun(w, t, runResult{outcome: cfrollout.OutcomeStopped})
		return // the term has ended; a successor runs the item again
	}
	c.reportRun(w, t, end)
	c.Log.Info("item_run", zap.String("request_id", string(w.Item.ID.RequestID())), cflog.Batch(w.Batch.Sub.ID),
		zap.String("target", string(t.ID)), zap.String("outcome", outcomeNames[outcome]), zap.String("reason", end.reason),
		zap.Int64("version", int64(w.Version)), zap.Int64("events", int64(w.Text.Last)),
		zap.Int64("took_ms", int64(now-w.Started)))
	if outcome == cfrollout.OutcomeNotRun && !c.planner.IsLoading(t.ID) {
		c.queryEngine(t)
	}
	if end.keepAlive > 0 {
		c.planner.ConnectionKept(w, now+end.keepAlive)
	}
	switch ended := c.planner.Finished(w, outcome, now); {
	case ended && outcome == cfrollout.OutcomeDone:
		c.complete(w, now)
	case ended:
		c.giveUp(w, end.reason, now)
	}
	c.Wake()
}

// admit asks the guard whether an item may be sent to an engine. If so, the guard must be told of
// the end of the run.
func (c *Coordinator) admit(w *cfrollout.Work, engine cf.Target, isolated bool) cfrollout.Admission {
	v := c.admitDeferred(w.Item.ID.RequestID(), cfquarantine.KeyOfItem(&w.Batch.Sub, w.Item), engine, cfquarantine.DeferredWork{Isolated: isolated, WaitingSince: w.WaitingSince()})
	return cfrollout.Admission{Allowed: v.Pass, TryOthers: v.OtherTarget, RetryAt: v.RetryAt, MaxRuns: v.MaxRuns}
}

// admitDeferred asks the guard whether an item or a reward call may be sent. The planners repeat
// the question in each pass while the answer is no, but each pause is logged only once. c.mu is
// held.
func (c *Coordinator) admitDeferred(id cf.RequestID, key cfquarantine.Key, target cf.Target, w cfquarantine.DeferredWork) cfquarantine.Verdict {
	v := c.Guard.AdmitDeferred(key, target, w)
	if v.RetryAt > 0 && c.loggedPauses[id] != v.RetryAt {
		if len(c.loggedPauses) >= maxLoggedPauses {
			now := cf.Uptime()
			maps.DeleteFunc(c.loggedPauses, func(_ cf.RequestID, until cf.Millis) bool { return until <= now })
		}
		if len(c.loggedPauses) < maxLoggedPauses {
			c.loggedPauses[id] = v.RetryAt
			c.Guard.Paused(id, key, v)
		}
	}
	return v
}

// reportRun tells the guard how a run ended.
func (c *Coordinator) reportRun(w *cfrollout.Work, t cf.Target, end runResult) {
	key := cfquarantine.KeyOfItem(&w.Batch.Sub, w.Item)
	switch {
	case end.outcome == cfrollout.OutcomeDone || end.outcome == cfrollout.OutcomeFailed || end.outcome == cfrollout.OutcomePermanentFailure:
		c.Guard.Answered(key, t, w.Started)
	case end.outcome == cfrollout.OutcomeBroken && !end.unsent:
		c.Guard.Lost(w.Item.ID.RequestID(), key, t, end.alive)
	default:
		c.Guard.Dropped(key, t)
	}
}

// textCollector appends a stream's events to an item's text and resets the watchdog of the run.
type textCollector struct {
	work     *cfrollout.Work
	watchdog *time.Timer
	size     int // size of the text, including the overhead of its events
}

func newTextCollector(w *cfrollout.Work, watchdog *time.Timer) *textCollector {
	return &textCollector{w, watchdog, w.Text.Size() + int(w.Text.Last)*eventOverhead}
}

func (k *textCollector) Start(cf.TargetAnswer) error { return nil }

// Watermark implements cf.WatermarkSink.
func (k *textCollector) Watermark(at cf.Millis) { k.work.Progress.SeenUntil(at) }

func (k *textCollector) Event(ev cf.StreamEvent) error {
	k.watchdog.Reset(stallTimeout)
	at := ev.At
	if at == 0 {
		at = cf.Uptime()
	}
	k.work.Progress.RecordEvent(at)
	k.work.Mu.Lock()
	defer k.work.Mu.Unlock()
	if k.size += len(ev.Data) + eventOverhead; k.size > maxTextBytes {
		k.work.Text = cfrollout.Text{} // a text of this size cannot be resumed
		return eris.Wrapf(cf.ErrBadAnswer, "a text of over %d bytes", maxTextBytes)
	}
	return k.work.Text.Append(ev)
}

// runItem sends an item to an engine and collects the part of its text that follows the one in w.
func (c *Coordinator) runItem(outer context.Context, route cf.StreamRoute, t cf.Target, call cf.TargetCall, w *cfrollout.Work) runResult {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	watchdog := time.AfterFunc(stallTimeout, cancel)
	defer watchdog.Stop()
	answer, err := route.Stream(ctx, t, call, newTextCollector(w, watchdog))
	if err != nil && outer.Err() != nil {
		return runResult{outcome: cfrollout.OutcomeStopped, reason: "batch ended or run moved"}
	}
	end := runResult{unsent: errors.Is(err, cf.ErrNotRun), alive: answer.Alive, keepAlive: answer.KeepAlive}
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

// classify maps the result of a run to the planner's outcome and a reason for the log.
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
		return cfrollout.OutcomePermanentFailure, "target reported a permanent failure"
	case answer.Status == http.StatusInternalServerError:
		return cfrollout.OutcomeFailed, "target failed"
	default:
		return cfrollout.OutcomeBroken, http.StatusText(answer.Status)
	}
}

func joinData(data []string) string { return strings.Join(data, "\n") }
