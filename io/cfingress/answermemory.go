package cfingress

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfaccess"
	"currantford/core/cfbalance"
	"currantford/core/cfhold"
	"currantford/core/cfsite"
	"currantford/io/cfroom"
)

// unreadRetry is the retry delay for a caller that has not read its earlier answers. A caller that
// reads slowly is cut off within two seconds if others need the memory.
const unreadRetry cf.Millis = 2000

// OpenRoom implements currantford.Ingress.
func (in *Ingress) OpenRoom(ctx context.Context, who cf.Credentials, id cf.BatchID) cf.Room {
	var access cf.Access
	if config := in.Site.Config(); config != nil {
		_, access = config.Directory.Authenticate(who.Keys, cfaccess.Use{}, in.configStatus().ConfigFreshness)
	}
	return in.Rooms.Open(ctx, callerOf(access, who), cfhold.Page, string(id))
}

// callerOf returns the caller to whom the memory of an answer is charged: the organisation, or the
// client ID if no organisation is known.
func callerOf(access cf.Access, who cf.Credentials) cfhold.Caller {
	if access.Organisation != "" {
		return cfhold.Caller("o " + access.Organisation)
	}
	return cfhold.Caller("m " + who.ClientID)
}

// openRoom opens the memory reservation for a request's answers. It returns false if the request is
// refused because its organisation does not read its earlier answers. A client ID may be an address
// shared by many callers, so requests without an organisation are never refused because of other
// callers' unread answers.
func (f *forwarding) openRoom(ctx context.Context, w http.ResponseWriter) (*cfroom.Room, bool) {
	caller, kind := callerOf(f.access, f.req.Credentials), cfhold.Answer
	if f.route.Kind == cfsite.KindStream {
		kind = cfhold.Stream
	}
	if f.access.Organisation != "" && f.in.Rooms.Refuses(caller) {
		f.refuse(w, unreadRetry, "earlier answers to this caller are not read")
		return nil, false
	}
	return f.in.Rooms.Open(ctx, caller, kind, string(f.req.ID)), true
}

// foundNoRoom reports whether there was no memory for the answer.
func (a attempt) foundNoRoom() bool { return errors.Is(a.err, cf.ErrNoRoom) }

// failNoRoom ends a request without memory for its answer. The request has run, so it must not be
// refused.
func (f *forwarding) failNoRoom(w http.ResponseWriter) {
	f.fail(w, http.StatusBadGateway, cf.ErrNoRoom.Error())
}

// discard ends an attempt that failed for a reason other than its target.
func (f *forwarding) discard(a attempt) {
	f.usage.ended(a.target.ID, cfbalance.Abandoned, a.answer.SentAt)
	f.recordDone(a, cfbalance.Abandoned, cf.Uptime())
	f.in.Guard.Dropped(f.key, a.target)
}

// deliveryOutcome returns the outcome of writing an answer to the caller, and logs if the caller
// was cut off.
func (f *forwarding) deliveryOutcome(err error) (outcome string) {
	switch {
	case err == nil:
		return "answered"
	case f.room.WasCut():
		f.in.Log.Warn("answer_cut_off", zap.String("request_id", string(f.req.ID)), zap.Int64("after_ms", int64(cf.Uptime()-f.req.Received)))
		return "caller_slow"
	default:
		return "caller_gone"
	}
}

// releaseBody releases the request's body before the answer is written, so that a caller that reads
// slowly does not hold memory that other bodies need.
func (f *forwarding) releaseBody() {
	if f.pending > 0 || f.req.ReleaseBody == nil {
		return // an abandoned attempt may still send the body
	}
	f.req.Body = nil
	f.req.ReleaseBody()
}
