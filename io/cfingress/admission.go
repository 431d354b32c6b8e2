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
	// place is a request's place before the targets of its service; the zero value is that
	// of a request which is not limited.
	place struct {
		in     *Ingress
		ticket *cfadmission.Ticket
		// taken says that the request has been sent.
		taken bool
	}

	// verdict writes what decided a refusal to a log line.
	verdict cfadmission.Decision
)

// Outcomes of the metric.
var admissionOutcomes = map[cfadmission.Reason]string{
	cfadmission.NoCapacity: "no_room", cfadmission.OverShare: "over_share", cfadmission.TooLate: "too_late",
	cfadmission.QueueFull: "queue_full", cfadmission.TargetsRefused: "targets_refused", cfadmission.NoRetryBudget: "no_budget",
}

// MarshalLogObject writes nothing where no limit has acted.
func (v verdict) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	if v.Reason == "" {
		return nil
	}
	enc.AddInt("waiting", v.Waiting)
	enc.AddFloat64("limit_per_s", v.SendPerS)
	enc.AddFloat64("organisation_asks_per_s", v.DemandPerS)
	enc.AddFloat64("organisation_share_per_s", v.SharePerS)
	return nil
}

// objective returns the time in which an answer is wanted, zero for a request to which the
// limits don't apply: a stream whose route names none is wanted for as long as it takes.
func (f *forwarding) objective() cf.Millis {
	if f.route.SLO > 0 || f.route.Kind == cfsite.KindStream {
		return f.route.SLO
	}
	return f.route.Timeout
}

// admit waits until the request may be sent to one of its service's targets, and adds those
// to avoid that it may not be sent to. It returns false where the request may not be sent,
// and at once for a hedge that would have to wait.
func (f *forwarding) admit(ctx context.Context, wait bool, avoid map[cf.InstanceID]bool) (place, bool) {
	candidates, objective := f.in.Site.Usable(f.service), f.objective()
	if f.in.NoAdmission || objective <= 0 || len(candidates) == 0 {
		return place{}, true
	}
	now, must, retry := cf.Uptime(), f.attempts.MayHaveRun(), len(f.tried) > 0
	if retry && !f.in.admission.MayRetry(f.service, must && wait, now) {
		f.refused(cfadmission.Decision{Reason: cfadmission.NoRetryBudget}, wait)
		return place{}, false
	}
	if must && wait {
		cfadmission.ReopenTargets(candidates, f.tried, f.full)
		clear(avoid)
		maps.Copy(avoid, f.tried)
	}
	p := place{in: f.in, ticket: f.in.admission.Enter(cfadmission.Request{
		Service: f.service, Class: cfadmission.Class{Organisation: f.access.Organisation, Priority: f.access.Priority},
		Targets: candidates, Tried: avoid, Instances: len(f.in.Members.Live()), Objective: objective, Spent: f.spent,
		Arrived: f.req.Received, Deadline: now + f.attempts.Remaining(now), Resubmitted: f.spent > 0, Retry: retry, MayHaveRun: must && wait, NoWait: !wait,
	}, now)}
	for began := now; ; now = cf.Uptime() {
		v := f.in.admission.Poll(p.ticket, now)
		switch {
		case v.State == cfadmission.Send:
			f.admitted(v, now-began)
			for _, t := range candidates {
				if !avoid[t.ID] && f.in.admission.Excluded(p.ticket, t.ID, now) {
					avoid[t.ID] = true
				}
			}
			return p, true
		case v.State == cfadmission.Refuse:
			f.refused(v, wait)
			p.leave()
			return place{}, false
		case !cf.Sleep(ctx, (v.Until - now).Duration()):
			p.leave()
			return place{}, false
		}
	}
}

func (f *forwarding) admitted(v cfadmission.Decision, waited cf.Millis) {
	f.refusal = cfadmission.Decision{}
	if !v.Limited {
		return
	}
	outcome := "at_once"
	if waited > 0 {
		outcome = "waited"
	}
	f.in.Metrics.Admissions.WithLabelValues(outcome).Inc()
	f.in.Metrics.AdmissionWait.Observe(float64(waited) / 1000)
}

// refused notes why the request, or a hedge beside it, was not sent.
func (f *forwarding) refused(v cfadmission.Decision, request bool) {
	if !request {
		f.in.Metrics.Admissions.WithLabelValues("no_hedge").Inc()
		return
	}
	f.refusal = v
	f.in.Metrics.Admissions.WithLabelValues(admissionOutcomes[v.Reason]).Inc()
}

// sent notes that the request goes to a target.
func (p *place) sent(id cf.InstanceID, now cf.Millis) {
	if p.ticket != nil {
		p.in.admission.Sent(p.ticket, id, now)
		p.taken = true
	}
}

// leave gives the place up if the request was not sent.
func (p *place) leave() {
	if p.ticket != nil && !p.taken {
		p.in.admission.Cancel(p.ticket)
	}
}

// done tells the balancer and the limits what came of a send.
func (f *forwarding) done(a attempt, outcome cfbalance.Outcome, now cf.Millis) {
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

// throughput returns how a service frees places, as its limits say, else as its answers
// have shown.
func (in *Ingress) throughput(service cf.ServiceName, now cf.Millis) cfbalance.Throughput {
	if !in.NoAdmission {
		if perMs, work := in.admission.Throughput(service, now); perMs > 0 {
			return cfbalance.Throughput{ServiceTime: work, PerMs: perMs}
		}
	}
	return in.balancer.Throughput(in.Site.Usable(service), now)
}
