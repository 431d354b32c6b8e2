package cfingress

import (
	"context"
	"maps"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	cf "currantford"
	"currantford/core/cfadmission"
	"currantford/core/cfbalance"
	"currantford/core/cfsite"
)

type (
	// admission is the ticket of a request that waits to be sent to a target of its service. The
	// zero value belongs to a request that is not subject to admission control.
	admission struct {
		in     *Ingress
		ticket *cfadmission.Ticket
		// used is true once the request has been sent.
		used bool
	}

	// decisionFields logs the figures behind an admission decision.
	decisionFields cfadmission.Decision
)

// admissionOutcomes are the values of the metric's label for requests that were not sent.
var admissionOutcomes = map[cfadmission.Reason]string{
	cfadmission.NoCapacity: "no_room", cfadmission.OverShare: "over_share", cfadmission.TooLate: "too_late",
	cfadmission.QueueFull: "queue_full", cfadmission.TargetsRefused: "targets_refused", cfadmission.NoRetryBudget: "no_budget",
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It writes nothing if no limit was applied.
func (d decisionFields) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	if d.Reason == "" {
		return nil
	}
	enc.AddInt("waiting", d.Waiting)
	enc.AddFloat64("limit_per_s", d.SendPerS)
	enc.AddFloat64("organisation_asks_per_s", d.DemandPerS)
	enc.AddFloat64("organisation_share_per_s", d.SharePerS)
	return nil
}

// objective returns the response time objective, zero for a request that is not subject to
// admission control: a stream whose route has no objective may take any time.
func (f *forwarding) objective() cf.Millis {
	if f.route.SLO > 0 || f.route.Kind == cfsite.KindStream {
		return f.route.SLO
	}
	return f.route.Timeout
}

// admit waits until the request may be sent to a target of its service, and adds the targets to
// which it must not be sent to avoid. It returns false if the request may not be sent. A hedge does
// not wait: if it would have to, admit returns false at once.
func (f *forwarding) admit(ctx context.Context, wait bool, avoid map[cf.InstanceID]bool) (admission, bool) {
	candidates, objective := f.in.Site.Usable(f.service), f.objective()
	if f.in.NoAdmission || objective <= 0 || len(candidates) == 0 {
		return admission{}, true
	}
	now, mandatory, retry := cf.Uptime(), f.attempts.MayHaveRun(), len(f.tried) > 0
	if retry && !f.in.admission.MayRetry(f.service, mandatory && wait, now) {
		f.recordRefused(cfadmission.Decision{Reason: cfadmission.NoRetryBudget}, wait)
		return admission{}, false
	}
	if mandatory && wait {
		cfadmission.ReopenTargets(candidates, f.tried, f.notRun)
		clear(avoid)
		maps.Copy(avoid, f.tried)
	}
	adm := admission{in: f.in, ticket: f.in.admission.Enter(cfadmission.Request{
		Service: f.service, Class: cfadmission.Class{Organisation: f.access.Organisation, Priority: f.access.Priority},
		Targets: candidates, Tried: avoid, Instances: len(f.in.Members.Live()), Objective: objective, Spent: f.spent,
		Arrived: f.req.Received, Deadline: now + f.attempts.Remaining(now), Resubmitted: f.spent > 0, Retry: retry, MayHaveRun: mandatory && wait, NoWait: !wait,
	}, now)}
	for began := now; ; now = cf.Uptime() {
		decision := f.in.admission.Poll(adm.ticket, now)
		switch {
		case decision.State == cfadmission.Send:
			f.recordAdmitted(decision, now-began)
			for _, t := range candidates {
				if !avoid[t.ID] && f.in.admission.Excluded(adm.ticket, t.ID, now) {
					avoid[t.ID] = true
				}
			}
			return adm, true
		case decision.State == cfadmission.Refuse:
			f.recordRefused(decision, wait)
			adm.cancel()
			return admission{}, false
		case !cf.Sleep(ctx, (decision.Until - now).Duration()):
			adm.cancel()
			return admission{}, false
		}
	}
}

func (f *forwarding) recordAdmitted(d cfadmission.Decision, waited cf.Millis) {
	f.refusal = cfadmission.Decision{}
	if !d.Limited {
		return
	}
	outcome := "at_once"
	if waited > 0 {
		outcome = "waited"
	}
	f.in.Metrics.Admissions.WithLabelValues(outcome).Inc()
	f.in.Metrics.AdmissionWait.Observe(float64(waited) / 1000)
}

// recordRefused records why the request, or a hedge of it, was not sent.
func (f *forwarding) recordRefused(d cfadmission.Decision, isRequest bool) {
	if !isRequest {
		f.in.Metrics.Admissions.WithLabelValues("no_hedge").Inc()
		return
	}
	f.refusal = d
	f.in.Metrics.Admissions.WithLabelValues(admissionOutcomes[d.Reason]).Inc()
}

// sent records that the request is sent to a target.
func (a *admission) sent(id cf.InstanceID, now cf.Millis) {
	if a.ticket != nil {
		a.in.admission.Sent(a.ticket, id, now)
		a.used = true
	}
}

// cancel cancels the ticket if the request was not sent.
func (a *admission) cancel() {
	if a.ticket != nil && !a.used {
		a.in.admission.Cancel(a.ticket)
	}
}

// recordDone reports the result of a send to the balancer and to admission control.
func (f *forwarding) recordDone(a attempt, outcome cfbalance.Outcome, now cf.Millis) {
	f.in.balancer.Done(a.target.ID, outcome, a.answer.Load, a.took, now)
	if f.in.NoAdmission || f.objective() <= 0 {
		return
	}
	end := cfadmission.Result{Outcome: cfadmission.OutcomeOf(outcome, a.answer.Status, a.err), Load: a.answer.Load, Took: a.took, Status: a.answer.Status}
	if f.in.admission.Done(f.service, a.target.ID, end, now) {
		waiting := -1
		if a.answer.Load != nil {
			waiting = a.answer.Load.Waiting
		}
		f.in.Log.Info("admission_limited", zap.String("service", string(f.service)), zap.String("target", string(a.target.ID)),
			zap.Int("waiting_there", waiting), zap.Bool("not_run", outcome == cfbalance.NotRun), zap.Int("instances", len(f.in.Members.Live())))
	}
}

// throughput returns the rate at which slots of a service become free. It is taken from the
// service's limits if they are active, otherwise from its answers.
func (in *Ingress) throughput(service cf.ServiceName, now cf.Millis) cfbalance.Throughput {
	if !in.NoAdmission {
		if perMs, work := in.admission.Throughput(service, now); perMs > 0 {
			return cfbalance.Throughput{ServiceTime: work, PerMs: perMs}
		}
	}
	return in.balancer.Throughput(in.Site.Usable(service), now)
}
