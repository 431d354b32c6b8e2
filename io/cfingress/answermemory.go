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

// unreadRetry is when a caller should come back that has not read what it asked for before:
// one that reads slowly is cut off within two seconds where others need the room.
const unreadRetry cf.Millis = 2000

// OpenRoom implements currantford.Ingress.
func (in *Ingress) OpenRoom(ctx context.Context, who cf.Credentials, id cf.BatchID) cf.Room {
	var access cf.Access
	if config := in.Site.Config(); config != nil {
		_, access = config.Directory.Authenticate(who.Keys, cfaccess.Use{}, in.belief().ConfigFreshness)
	}
	return in.Rooms.Open(ctx, holderOf(access, who), cfhold.Page, string(id))
}

// holderOf says whose answers count together.
func holderOf(access cf.Access, who cf.Credentials) cfhold.Caller {
	if access.Organisation != "" {
		return cfhold.Caller("o " + access.Organisation)
	}
	return cfhold.Caller("m " + who.ClientID)
}

// openRoom opens the room of a request's answers. It returns false where the request is
// refused, as its organisation does not read what it asked for before. Callers that are
// known by their machine alone may be many: none is refused for what another does not read.
func (f *forwarding) openRoom(ctx context.Context, w http.ResponseWriter) (*cfroom.Room, bool) {
	caller, kind := holderOf(f.access, f.req.Credentials), cfhold.Answer
	if f.route.Kind == cfsite.KindStream {
		kind = cfhold.Stream
	}
	if f.access.Organisation != "" && f.in.Rooms.Refuses(caller) {
		f.refuse(w, unreadRetry, "earlier answers to this caller are not read")
		return nil, false
	}
	return f.in.Rooms.Open(ctx, caller, kind, string(f.req.ID)), true
}

// foundNoRoom says whether the answer could not be held.
func (a attempt) foundNoRoom() bool { return errors.Is(a.err, cf.ErrNoRoom) }

// failNoRoom ends a request whose answer could not be held. It has run, so it is not refused.
func (f *forwarding) failNoRoom(w http.ResponseWriter) {
	f.fail(w, http.StatusBadGateway, cf.ErrNoRoom.Error())
}

// leave ends an attempt for a reason that is not its target's.
func (f *forwarding) leave(a attempt) {
	f.use.ended(a.target.ID, cfbalance.Abandoned, a.answer.SentAt)
	f.done(a, cfbalance.Abandoned, cf.Uptime())
	f.in.Guard.Dropped(f.key, a.target)
}

// delivered notes that an answer was written to its caller, or why it was not.
func (f *forwarding) delivered(err error) (outcome string) {
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

// dropBody gives up the request's body before its answer is written: a caller that reads
// slowly does not keep the memory that others' bodies need.
func (f *forwarding) dropBody() {
	if f.pending > 0 || f.req.ReleaseBody == nil {
		return // an attempt that was given up may still send it
	}
	f.req.Body = nil
	f.req.ReleaseBody()
}
