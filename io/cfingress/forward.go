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
	"currantford/core/cfquarantine"
	"currantford/core/cfsite"
	"currantford/io/cflog"
	"currantford/io/cfroom"
)

const (
	// noTargetRetry is when a caller should come back while a service has
	// no target at all; a target that starts is listed within a heartbeat.
	noTargetRetry cf.Millis = 1000
	// uninformedRetry is the same while it is not known yet which requests are held.
	uninformedRetry cf.Millis = 200
	// stoppingRetry is the same for an instance that stops: others take the request.
	stoppingRetry cf.Millis = 50
)

// attempt is what came of one send.
type attempt struct {
	target cf.Target
	answer cf.TargetAnswer
	err    error
	sent   cf.Millis
	took   cf.Millis
	// left: the caller has gone, which ended the attempt.
	left bool
}

// forwarding is one request on its way through the targets.
type forwarding struct {
	in       *Ingress
	req      *cf.Request
	key      cfquarantine.Key
	access   cf.Access
	route    cfsite.Route
	service  cf.ServiceName
	version  cfsite.ConfigVersion
	attempts *cfbalance.Attempts
	tried    map[cf.InstanceID]bool
	results  chan attempt
	pending  int
	last     *attempt // a failure that a target answered, to be passed on
	// held is until when the request is held, zero if it is not.
	held cf.Millis
	// uninformed: it is not known here yet which requests are held.
	uninformed bool
	use        use
	room       *cfroom.Room
	// noRoom: an answer could not be held. Nothing more is sent, as another would be as large.
	noRoom bool
	// full are the targets that did not run the request.
	full map[cf.InstanceID]bool
	// spent is what the caller had used of its time before the request came here.
	spent cf.Millis
	// refusal is why the request may not be sent, empty if it was not refused here.
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
	// Again, by the same configuration as the route: the body may have taken seconds.
	access, err := in.identify(config, route.Use(), req.Credentials, string(req.ID))
	if err != nil {
		in.deny(w, req, err)
		return
	}
	deadline := req.Received + route.Timeout
	if req.Timeout > 0 && (route.Timeout <= 0 || req.Timeout < route.Timeout) {
		deadline = req.Received + req.Timeout
	}
	f := &forwarding{
		in: in, req: req, key: cfquarantine.KeyOf(req.Method, req.Host, req.Path, cfquarantine.CallerOf(access, req.Credentials), req.Body), access: access,
		route: route, service: route.PickService(rand.Float64()), version: config.Version,
		attempts: cfbalance.NewAttempts(route, deadline), tried: map[cf.InstanceID]bool{}, full: map[cf.InstanceID]bool{}, results: make(chan attempt, 8),
		use: use{count: in.CountRequests, of: access.Organisation}, spent: in.callers.Spent(route.Name, req.Timeout, req.Received),
	}
	ctx, cancel := context.WithTimeout(ctx, f.attempts.Remaining(cf.Uptime()).Duration())
	defer cancel()
	if f.room, ok = f.openRoom(ctx, w); !ok {
		return
	}
	defer f.room.Close()
	if route.Kind == cfsite.KindStream {
		f.stream(ctx, w)
		return
	}
	f.whole(ctx, w)
}

// noRoute answers a request that no route takes.
func (in *Ingress) noRoute(w http.ResponseWriter, req *cf.Request, config *cfsite.Config) {
	b := in.belief()
	in.Log.Info("no_route", zap.String("request_id", string(req.ID)), zap.String("host", req.Host), zap.String("path", req.Route),
		zap.Int64("config_version", int64(config.Version)), zap.Int64("config_age_ms", int64(b.Age)), zap.Bool("current", b.Current))
	in.deny(w, req, in.definite(cf.ErrNotFound))
}

// deny answers a request that may go nowhere, or whose sender is not known.
func (in *Ingress) deny(w http.ResponseWriter, req *cf.Request, err error) {
	var refusal *cf.Refusal
	switch {
	case errors.As(err, &refusal):
		answerRefusal(w, refusal.RetryAfter, refusal.Reason)
		in.count("forward", "unsure", req)
	case errors.Is(err, cf.ErrUnauthenticated):
		http.Error(w, err.Error(), http.StatusUnauthorized)
		in.count("forward", "unauthenticated", req)
	default:
		http.Error(w, "no route", http.StatusNotFound)
		in.count("forward", "no_route", req)
	}
}

// answerRefusal says that a request has not run, and when to come back.
func answerRefusal(w http.ResponseWriter, after cf.Millis, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(after)/1000, 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// whole forwards a request whose answer is passed on once it is whole, so
// that an answer cut short can be asked for again at another target.
func (f *forwarding) whole(ctx context.Context, w http.ResponseWriter) {
	for {
		if f.pending == 0 && f.noRoom {
			f.failNoRoom(w)
			return
		}
		if f.pending == 0 && !f.send(ctx, true) {
			switch { // while it waited
			case callerLeft(ctx):
				f.expire(ctx, w)
			case errors.Is(context.Cause(ctx), cf.ErrStopping) && !f.attempts.MayHaveRun():
				f.refuse(w, stoppingRetry, cf.ErrStopping.Error())
			default:
				f.settle(w)
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
				f.leave(a)
				f.noRoom = true
				continue // a hedged attempt may still answer
			}
			if f.take(a) {
				f.pass(w, a)
				return
			}
		case <-hedge:
			f.send(ctx, false)
		case <-ctx.Done():
			f.expire(ctx, w)
			return
		}
	}
}

// send starts one attempt; false when there is no target or no attempt left. Where wait is
// set it may wait for others of the same content.
func (f *forwarding) send(ctx context.Context, wait bool) bool {
	target, ok := f.choose(ctx, wait)
	if !ok {
		return false
	}
	f.pending++
	now := cf.Uptime()
	f.in.Log.Info("request_sent", zap.String("request_id", string(f.req.ID)), zap.Stringer("request_digest", f.key.Content),
		zap.Stringer("caller_digest", f.key.Caller), zap.String("organisation", string(f.access.Organisation)), zap.String("route", f.route.Name),
		zap.String("target", string(target.ID)), zap.Int("tried", len(f.tried)), zap.Int64("left_ms", int64(f.attempts.Remaining(now))),
		zap.Int64("config_version", int64(f.version)), zap.Int64("config_age_ms", int64(f.in.belief().Age)),
		zap.Int64("targets_revision", int64(f.in.Site.TargetsRevision())))
	call := f.call(now)
	f.use.sent(target.ID, now)
	go func() {
		defer cflog.ExitOnPanic()
		answer, err := f.in.Targets.Send(ctx, target, call)
		f.results <- attempt{target: target, answer: answer, err: err, sent: now, took: cf.Uptime() - now}
	}()
	return true
}

// choose returns the target of the next attempt, which then counts as sent: its end is
// due to the guard. It returns false when there is none, or no attempt left, or the
// request is held.
func (f *forwarding) choose(ctx context.Context, wait bool) (cf.Target, bool) {
	if ctx.Err() != nil || !f.attempts.MaySend(cf.Uptime()) {
		return cf.Target{}, false
	}
	v := cfquarantine.Verdict{Pass: true}
	if wait {
		v = f.in.Guard.Evaluate(ctx, f.req.ID, f.key)
	}
	avoid := maps.Clone(f.tried)
	var place place
	if v.Pass || v.OtherTarget {
		var ok bool
		if place, ok = f.admit(ctx, wait, avoid); !ok {
			return cf.Target{}, false
		}
		defer place.leave()
	}
	for v.Pass || v.OtherTarget {
		now := cf.Uptime() // it may have waited
		target, ok := f.in.balancer.Choose(f.in.Site.Usable(f.service), avoid, rand.Float64(), now)
		if !ok || ctx.Err() != nil || !f.attempts.MaySend(now) {
			return cf.Target{}, false
		}
		if v = f.in.Guard.Admit(f.key, target); v.Pass {
			f.tried[target.ID] = true
			f.attempts.Sent()
			f.in.balancer.Sent(target.ID)
			place.sent(target.ID, now)
			return target, true
		}
		avoid[target.ID] = true
	}
	f.uninformed = v.Unsynced
	if f.held = v.RetryAt; f.held > 0 {
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

// take judges an attempt; true when its answer is the caller's.
func (f *forwarding) take(a attempt) bool {
	outcome, good := f.attempts.Classify(a.answer, a.err)
	if outcome == cfbalance.Failed && a.err == nil {
		f.last = &a
	}
	f.use.ended(a.target.ID, outcome, a.answer.SentAt)
	if outcome == cfbalance.NotRun || outcome == cfbalance.Unreached {
		f.full[a.target.ID] = true
	}
	now := cf.Uptime()
	f.done(a, outcome, now)
	f.in.balancer.ConnectionKept(a.target.ID, now+a.answer.KeepAlive)
	f.follow(a)
	if !good {
		f.in.Log.Warn("attempt_failed", zap.String("request_id", string(f.req.ID)), zap.String("target", string(a.target.ID)),
			zap.Int("status", a.answer.Status), zap.Bool("not_run", outcome == cfbalance.NotRun || outcome == cfbalance.Unreached),
			zap.Int64("took_ms", int64(a.took)), cflog.Error(a.err))
	}
	return good
}

// follow tells the guard how an attempt ended.
func (f *forwarding) follow(a attempt) {
	switch {
	case a.err == nil && !a.answer.NotRun:
		f.in.Guard.Answered(f.key, a.target, a.sent)
	case a.err != nil && !a.left && !errors.Is(a.err, cf.ErrNotRun) && !a.foundNoRoom():
		f.in.Guard.Lost(f.req.ID, f.key, a.target, a.answer.Alive)
	default:
		f.in.Guard.Dropped(f.key, a.target)
	}
}

// abandon gives up what is still under way; its end is noted later. overdue says that it
// should have been answered by now: its target may be gone.
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
			f.use.ended(a.target.ID, outcome, a.answer.SentAt)
			f.done(a, cfbalance.Abandoned, cf.Uptime())
			if a.err == nil || overdue {
				f.follow(a)
			} else {
				f.in.Guard.Dropped(f.key, a.target)
			}
		}
	}()
}

// pass hands a target's answer to the caller.
func (f *forwarding) pass(w http.ResponseWriter, a attempt) {
	f.abandon(false)
	f.dropBody()
	h := w.Header()
	for k, v := range a.answer.Header {
		h[k] = v
	}
	if f.req.Method != http.MethodHead { // else it is the target's
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	w.WriteHeader(a.answer.Status)
	var err error
	if f.req.Method != http.MethodHead {
		_, err = w.Write(a.answer.Body)
	}
	outcome := f.delivered(err)
	f.in.Log.Info("request_answered", zap.String("request_id", string(f.req.ID)), zap.String("target", string(a.target.ID)),
		zap.Int("status", a.answer.Status), zap.String("outcome", outcome), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)))
	f.in.count("forward", outcome, f.req)
}

// settle ends a request for which no attempt is under way or left.
func (f *forwarding) settle(w http.ResponseWriter) {
	switch {
	case f.held > 0 && !f.attempts.MayHaveRun():
		f.refuse(w, f.held-cf.Uptime(), "the request is held: targets crashed under it")
	case f.uninformed && !f.attempts.MayHaveRun():
		f.refuse(w, uninformedRetry, "the instance has just started, and can't tell yet whether the request may run")
	case !f.attempts.MayHaveRun():
		reason := "no target has room"
		if f.refusal.Reason != "" {
			reason = string(f.refusal.Reason)
		}
		f.refuse(w, f.comeBack(), reason)
	case f.last != nil:
		f.pass(w, *f.last)
	default:
		f.fail(w, http.StatusBadGateway, "no target answered")
	}
}

// callerLeft says that a request's context has ended because its caller has gone. That of an
// instance which stops ends as well, and is answered.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), cf.ErrStopping)
}

// expire ends a request whose time is up or whose caller has gone.
func (f *forwarding) expire(ctx context.Context, w http.ResponseWriter) {
	f.abandon(errors.Is(ctx.Err(), context.DeadlineExceeded))
	if callerLeft(ctx) {
		f.in.Log.Info("caller_gone", zap.String("request_id", string(f.req.ID)), zap.Int64("after_ms", int64(cf.Uptime()-f.req.Received)))
		f.in.count("forward", "caller_gone", f.req)
		panic(http.ErrAbortHandler)
	}
	f.failLate(ctx, w)
}

// failLate ends a request that has run out of time, its own or the instance's.
func (f *forwarding) failLate(ctx context.Context, w http.ResponseWriter) {
	reason := "no answer in time"
	if errors.Is(context.Cause(ctx), cf.ErrStopping) {
		reason = cf.ErrStopping.Error()
	}
	f.fail(w, http.StatusGatewayTimeout, reason)
}

// comeBack returns when the caller of a request that found no place should try
// again.
func (f *forwarding) comeBack() cf.Millis {
	if len(f.tried) == 0 && f.refusal.Reason == "" {
		return noTargetRetry
	}
	now := cf.Uptime()
	throughput := f.in.throughput(f.service, now)
	return f.in.returns.RetryAfter(f.service, throughput, len(f.in.Members.Live()), f.attempts.Remaining(now), now)
}

// refuse turns away a request that surely has not run.
func (f *forwarding) refuse(w http.ResponseWriter, after cf.Millis, reason string) {
	f.in.Log.Warn("request_refused", zap.String("request_id", string(f.req.ID)), zap.String("service", string(f.service)),
		zap.String("reason", reason), zap.Int("tried", len(f.tried)), zap.Int64("retry_after_ms", int64(after)),
		zap.String("organisation", string(f.access.Organisation)), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)), zap.Inline(verdict(f.refusal)),
		zap.Int64("config_version", int64(f.version)), zap.Int64("targets_revision", int64(f.in.Site.TargetsRevision())))
	answerRefusal(w, after, reason)
	f.in.count("forward", "refused", f.req)
}

func (f *forwarding) fail(w http.ResponseWriter, status int, reason string) {
	f.in.Log.Warn("request_failed", zap.String("request_id", string(f.req.ID)), zap.Int("status", status), zap.String("reason", reason),
		zap.Int("tried", len(f.tried)), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)))
	http.Error(w, reason, status)
	f.in.count("forward", "failed", f.req)
}

func (in *Ingress) count(call, outcome string, req *cf.Request) {
	in.Metrics.Requests.WithLabelValues(call, outcome).Inc()
	in.Metrics.Duration.WithLabelValues(call).Observe(float64(cf.Uptime()-req.Received) / 1000)
}
