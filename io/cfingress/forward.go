package cfingress

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfadmission"
	"currantford/core/cfbalance"
	"currantford/core/cfdrain"
	"currantford/core/cfquarantine"
	"currantford/core/cfsite"
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// noTargetRetry is the retry delay for a caller whose service has no target at all. A target
	// that starts is listed within one heartbeat.
	noTargetRetry cf.Millis = 1000
	// unsyncedRetry is the retry delay while this instance does not know yet which requests are
	// held.
	unsyncedRetry cf.Millis = 200
)

// attempt is the result of sending a request to a target once.
type attempt struct {
	target cf.Target
	answer cf.TargetAnswer
	err    error
	sentAt cf.Millis
	took   cf.Millis
	// callerGone is true if the caller's disconnection ended the attempt.
	callerGone bool
}

// forwarding is the state of a request that is being forwarded.
type forwarding struct {
	in          *Ingress
	req         *cf.Request
	key         cfquarantine.Key
	access      cf.Access
	route       cfsite.Route
	service     cf.ServiceName
	version     cfsite.ConfigVersion
	attempts    *cfbalance.Attempts
	tried       map[cf.InstanceID]bool
	results     chan attempt
	pending     int
	lastFailure *attempt // a failure reported by a target, which is returned to the caller if no attempt succeeds
	// heldUntil is when a held request may be sent again, zero if the request is not held. A
	// request is held after targets crashed while they ran it.
	heldUntil cf.Millis
	// unsynced is true if this instance does not know yet which requests are held.
	unsynced bool
	// began is when the request was ready to be sent.
	began cf.Millis
	// drain is the latest decision of a stop on the request. stopping is true if it was not sent
	// because of that decision.
	drain    cfdrain.Verdict
	stopping bool
	usage    requestUsage
	room     *cfroom.Room
	// noRoom is true if there was no memory for an answer. The request is not sent again, since
	// another answer would be as large.
	noRoom bool
	// notRun contains the targets that did not run the request.
	notRun map[cf.InstanceID]bool
	// spent is the part of its time that the caller had used before the request arrived.
	spent cf.Millis
	// refusal is the decision by which admission control refused to send the request; its Reason is
	// empty if there was none.
	refusal cfadmission.Decision
}

// Forward answers a request by sending it to a target of its route.
func (in *Ingress) Forward(ctx context.Context, req *cf.Request, w http.ResponseWriter) {
	config := in.Site.Config()
	route, ok := config.Match(req.Host, req.Route)
	if !ok {
		in.noRoute(w, req, config)
		return
	}
	// The caller is identified again by the configuration of the route, since receiving the body
	// may have taken seconds.
	access, err := in.identify(config, route.Use(), req.Credentials, string(req.ID))
	if err != nil {
		in.reject(w, req, err)
		return
	}
	deadline := req.Received + route.Timeout
	if req.Timeout > 0 && (route.Timeout <= 0 || req.Timeout < route.Timeout) {
		deadline = req.Received + req.Timeout
	}
	f := &forwarding{
		in: in, req: req, began: cf.Uptime(), key: cfquarantine.KeyOf(req.Method, req.Host, req.Path, cfquarantine.CallerOf(access, req.Credentials), req.Body), access: access,
		route: route, service: route.PickService(rand.Float64()), version: config.Version,
		attempts: cfbalance.NewAttempts(route, deadline), tried: map[cf.InstanceID]bool{}, notRun: map[cf.InstanceID]bool{}, results: make(chan attempt, 8),
		usage: requestUsage{count: in.CountRequests, organisation: access.Organisation}, spent: in.deadlines.Spent(route.Name, req.Timeout, req.Received),
	}
	ctx, cancel := context.WithTimeout(ctx, f.attempts.Remaining(cf.Uptime()).Duration())
	defer cancel()
	if f.room, ok = f.openRoom(ctx, w); !ok {
		return
	}
	defer f.room.Close()
	if route.Kind == cfsite.KindStream {
		f.forwardStream(ctx, w)
		return
	}
	f.forwardBuffered(ctx, w)
}

// noRoute answers a request that matches no route.
func (in *Ingress) noRoute(w http.ResponseWriter, req *cf.Request, config *cfsite.Config) {
	status := in.configStatus()
	in.Log.Info("no_route", zap.String("request_id", string(req.ID)), zap.String("host", req.Host), zap.String("path", req.Route),
		zap.Int64("config_version", int64(config.Version)), zap.Int64("config_age_ms", int64(status.Age)), zap.Bool("current", status.Current))
	in.reject(w, req, in.unlessStale(cf.ErrNotFound))
}

// reject answers a request without a route, or with a caller that is not identified.
func (in *Ingress) reject(w http.ResponseWriter, req *cf.Request, err error) {
	var refusal *cf.Refusal
	switch {
	case errors.As(err, &refusal):
		writeRefusal(w, refusal.RetryAfter, refusal.Reason)
		in.countRequest("forward", "unsure", req)
	case errors.Is(err, cf.ErrUnauthenticated):
		http.Error(w, err.Error(), http.StatusUnauthorized)
		in.countRequest("forward", "unauthenticated", req)
	default:
		http.Error(w, "no route", http.StatusNotFound)
		in.countRequest("forward", "no_route", req)
	}
}

// writeRefusal answers that a request has not run, and when the caller should retry.
func writeRefusal(w http.ResponseWriter, after cf.Millis, reason string) {
	w.Header().Set("Retry-After", after.FormatSeconds())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// forwardBuffered forwards a request whose answer is returned to the caller once it is complete. If
// an answer is cut short, the request can be sent to another target.
func (f *forwarding) forwardBuffered(ctx context.Context, w http.ResponseWriter) {
	for {
		if f.pending == 0 && f.noRoom {
			f.failNoRoom(w)
			return
		}
		if f.pending == 0 && !f.send(ctx, true) {
			switch { // the state when the wait in send ended
			case callerLeft(ctx):
				f.giveUp(ctx, w)
			case f.refusedByStop(ctx):
				f.refuseStopping(w)
			default:
				f.conclude(w)
			}
			return
		}
		var hedge <-chan time.Time
		if after, ok := f.attempts.HedgeAfter(); ok && f.pending == 1 && !f.noRoom {
			hedge = time.After(after.Duration())
		}
		select {
		case a := <-f.results:
			f.pending--
			if a.foundNoRoom() {
				f.discard(a)
				f.noRoom = true
				continue // a hedged attempt may still be answered
			}
			if f.evaluate(a) {
				f.writeAnswer(w, a)
				return
			}
		case <-hedge:
			f.send(ctx, false)
		case <-ctx.Done():
			f.giveUp(ctx, w)
			return
		}
	}
}

// send starts an attempt. It returns false if no target or no attempt is left. If wait is true, it
// may wait for admission and for other requests with the same content.
func (f *forwarding) send(ctx context.Context, wait bool) bool {
	target, ok := f.chooseTarget(ctx, wait)
	if !ok {
		return false
	}
	f.pending++
	now := cf.Uptime()
	f.in.Log.Info("request_sent", zap.String("request_id", string(f.req.ID)), zap.Stringer("request_digest", f.key.Content),
		zap.Stringer("caller_digest", f.key.Caller), zap.String("organisation", string(f.access.Organisation)), zap.String("route", f.route.Name),
		zap.String("target", string(target.ID)), zap.Int("tried", len(f.tried)), zap.Int64("left_ms", int64(f.attempts.Remaining(now))),
		zap.Int64("config_version", int64(f.version)), zap.Int64("config_age_ms", int64(f.in.configStatus().Age)),
		zap.Int64("targets_revision", int64(f.in.Site.TargetsRevision())))
	call := f.call(now)
	f.usage.sent(target.ID, now)
	go func() {
		defer cflog.ExitOnPanic()
		answer, err := f.in.Targets.Send(ctx, target, call)
		f.results <- attempt{target: target, answer: answer, err: err, sentAt: now, took: cf.Uptime() - now}
	}()
	return true
}

// chooseTarget returns the target of the next attempt and records the send; the guard must be told
// how the attempt ends. It returns false if no target or no attempt is left, or if the request is
// held.
func (f *forwarding) chooseTarget(ctx context.Context, wait bool) (cf.Target, bool) {
	if !f.maySend(ctx, cf.Uptime()) {
		return cf.Target{}, false
	}
	v := cfquarantine.Verdict{Pass: true}
	if wait {
		v = f.in.Guard.Evaluate(ctx, f.req.ID, f.key)
	}
	avoid := maps.Clone(f.tried)
	var adm admission
	if v.Pass || v.OtherTarget {
		var ok bool
		if adm, ok = f.admit(ctx, wait, avoid); !ok {
			return cf.Target{}, false
		}
		defer adm.cancel()
	}
	for v.Pass || v.OtherTarget {
		now := cf.Uptime() // admission may have waited
		target, ok := f.in.balancer.Choose(f.in.Site.Usable(f.service), avoid, rand.Float64(), now)
		if !ok || !f.maySend(ctx, now) {
			return cf.Target{}, false
		}
		if v = f.in.Guard.Admit(f.key, target); v.Pass {
			f.tried[target.ID] = true
			f.attempts.Sent()
			f.in.balancer.Sent(target.ID)
			adm.sent(target.ID, now)
			return target, true
		}
		avoid[target.ID] = true
	}
	f.unsynced = v.Unsynced
	if f.heldUntil = v.RetryAt; f.heldUntil > 0 {
		f.in.Guard.Refused(f.req.ID, f.key, v)
	}
	return cf.Target{}, false
}

func (f *forwarding) call(now cf.Millis) cf.TargetCall {
	return cf.TargetCall{
		ID: f.req.ID, Method: f.req.Method, Host: f.req.Host, Path: f.req.Path, Header: f.req.Header, Body: f.req.Body,
		Timeout: f.attempts.Remaining(now), FreshConnection: !f.route.Idempotent(), Room: f.room,
		Organisation: f.access.Organisation, Ranked: f.access.Ranked, Urgency: cfaccess.Urgency(f.access, cfaccess.Interactive),
	}
}

// evaluate records the result of an attempt, and returns true if its answer is to be returned to
// the caller.
func (f *forwarding) evaluate(a attempt) bool {
	outcome, good := f.attempts.Classify(a.answer, a.err)
	if outcome == cfbalance.Failed && a.err == nil {
		f.lastFailure = &a
	}
	f.usage.ended(a.target.ID, outcome, a.answer.SentAt)
	if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
		f.notRun[a.target.ID] = true
	}
	now := cf.Uptime()
	f.recordDone(a, outcome, now)
	f.in.balancer.ConnectionKept(a.target.ID, now+a.answer.KeepAlive)
	f.notifyGuard(a)
	if !good {
		f.in.Log.Warn("attempt_failed", zap.String("request_id", string(f.req.ID)), zap.String("target", string(a.target.ID)),
			zap.Int("status", a.answer.Status), zap.Bool("not_run", outcome == cfbalance.NotRun || outcome == cfbalance.Unreached),
			zap.Int64("took_ms", int64(a.took)), cflog.Error(a.err))
	}
	return good
}

// notifyGuard tells the guard how an attempt ended.
func (f *forwarding) notifyGuard(a attempt) {
	switch {
	case a.err == nil && !a.answer.NotRun:
		f.in.Guard.Answered(f.key, a.target, a.sentAt)
	case a.err != nil && !a.callerGone && !errors.Is(a.err, cf.ErrNotRun) && !a.foundNoRoom():
		f.in.Guard.Lost(f.req.ID, f.key, a.target, a.answer.Alive)
	default:
		f.in.Guard.Dropped(f.key, a.target)
	}
}

// abandon gives up the pending attempts; a goroutine records their results as they end. overdue is
// true if they should have ended by now, so that their targets may be gone.
func (f *forwarding) abandon(overdue bool) {
	if f.pending == 0 {
		return
	}
	n := f.pending
	go func() {
		defer cflog.ExitOnPanic()
		for range n {
			a := <-f.results
			outcome := cfbalance.Abandoned
			if a.answer.NotRun || errors.Is(a.err, cf.ErrNotRun) {
				outcome = cfbalance.NotRun
			}
			f.usage.ended(a.target.ID, outcome, a.answer.SentAt)
			f.recordDone(a, cfbalance.Abandoned, cf.Uptime())
			if a.err == nil || overdue {
				f.notifyGuard(a)
			} else {
				f.in.Guard.Dropped(f.key, a.target)
			}
		}
	}()
}

// writeAnswer returns a target's answer to the caller.
func (f *forwarding) writeAnswer(w http.ResponseWriter, a attempt) {
	f.abandon(false)
	f.releaseBody()
	h := w.Header()
	for k, v := range a.answer.Header {
		h[k] = v
	}
	if f.req.Method != http.MethodHead { // an answer to HEAD keeps the length that the target stated
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	w.WriteHeader(a.answer.Status)
	var err error
	if f.req.Method != http.MethodHead {
		_, err = w.Write(a.answer.Body)
	}
	f.observe()
	outcome := f.deliveryOutcome(err)
	f.in.Log.Info("request_answered", zap.String("request_id", string(f.req.ID)), zap.String("target", string(a.target.ID)),
		zap.Int("status", a.answer.Status), zap.String("outcome", outcome), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)))
	f.in.countRequest("forward", outcome, f.req)
}

// conclude ends a request that has no attempt pending or left.
func (f *forwarding) conclude(w http.ResponseWriter) {
	switch {
	case f.heldUntil > 0 && !f.attempts.MayHaveRun():
		f.refuse(w, f.heldUntil-cf.Uptime(), "the request is held: targets crashed under it")
	case f.unsynced && !f.attempts.MayHaveRun():
		f.refuse(w, unsyncedRetry, "the instance has just started, and can't tell yet whether the request may run")
	case !f.attempts.MayHaveRun():
		reason := "no target has room"
		if f.refusal.Reason != "" {
			reason = string(f.refusal.Reason)
		}
		f.refuse(w, f.retryAfter(), reason)
	case f.lastFailure != nil && !f.attempts.MayForward(f.lastFailure.answer):
		f.fail(w, http.StatusBadGateway, "a target failed, and may have run the request")
	case f.lastFailure != nil:
		f.writeAnswer(w, *f.lastFailure)
	default:
		f.fail(w, http.StatusBadGateway, "no target answered")
	}
}

// callerLeft reports whether a request's context ended because the caller disconnected. The context
// also ends when the instance stops, but then the request is answered.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), cf.ErrStopping)
}

// giveUp ends a request whose time is up or whose caller has disconnected.
func (f *forwarding) giveUp(ctx context.Context, w http.ResponseWriter) {
	f.abandon(errors.Is(ctx.Err(), context.DeadlineExceeded))
	if callerLeft(ctx) {
		f.in.Log.Info("caller_gone", zap.String("request_id", string(f.req.ID)), zap.Int64("after_ms", int64(cf.Uptime()-f.req.Received)))
		f.in.countRequest("forward", "caller_gone", f.req)
		panic(http.ErrAbortHandler)
	}
	f.failTimeout(ctx, w)
}

// failTimeout ends a request that has run out of time, or whose instance is stopping.
func (f *forwarding) failTimeout(ctx context.Context, w http.ResponseWriter) {
	reason := "no answer in time"
	if errors.Is(context.Cause(ctx), cf.ErrStopping) {
		reason = cf.ErrStopping.Error()
	}
	f.fail(w, http.StatusGatewayTimeout, reason)
}

// retryAfter returns the retry delay for the caller of a request that no target had capacity for.
func (f *forwarding) retryAfter() cf.Millis {
	if len(f.tried) == 0 && f.refusal.Reason == "" {
		return noTargetRetry
	}
	now := cf.Uptime()
	throughput := f.in.throughput(f.service, now)
	return f.in.retries.RetryAfter(f.service, throughput, len(f.in.Members.Live()), f.attempts.Remaining(now), now)
}

// refuse refuses a request that certainly has not run.
func (f *forwarding) refuse(w http.ResponseWriter, after cf.Millis, reason string) {
	f.in.Log.Warn("request_refused", zap.String("request_id", string(f.req.ID)), zap.String("service", string(f.service)),
		zap.String("reason", reason), zap.Int("tried", len(f.tried)), zap.Int64("retry_after_ms", int64(after)),
		zap.String("organisation", string(f.access.Organisation)), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)), zap.Inline(decisionFields(f.refusal)), zap.Inline(drainFields(f.drain)),
		zap.Int64("config_version", int64(f.version)), zap.Int64("targets_revision", int64(f.in.Site.TargetsRevision())))
	writeRefusal(w, after, reason)
	f.in.countRequest("forward", "refused", f.req)
}

func (f *forwarding) fail(w http.ResponseWriter, status int, reason string) {
	f.in.Log.Warn("request_failed", zap.String("request_id", string(f.req.ID)), zap.Int("status", status), zap.String("reason", reason),
		zap.Int("tried", len(f.tried)), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)))
	http.Error(w, reason, status)
	f.observe()
	f.in.countRequest("forward", "failed", f.req)
}

func (in *Ingress) countRequest(call, outcome string, req *cf.Request) {
	in.Metrics.Requests.WithLabelValues(call, outcome).Inc()
	in.Metrics.Duration.WithLabelValues(call).Observe(float64(cf.Uptime()-req.Received) / 1000)
}
