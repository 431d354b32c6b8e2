package cfentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
)

const (
	// KindAtMostOnce is the kind of the at-most-once markers of non-idempotent
	// calls, one per service and idempotency key.
	KindAtMostOnce = "once"
	// idempotentRetries bounds the tries of an idempotent call.
	idempotentRetries = 3
	// resultTTL is how long an answer is kept for repeats of its key.
	resultTTL = 10 * time.Minute
)

// Marker states.
const (
	onceSending = "sending"
	onceDone    = "done"
	// onceNotSent marks a call that failed to connect: no byte left, so
	// a repeat may take the marker over and send.
	onceNotSent = "not_sent"
)

type (
	serviceSet struct {
		entry   *Entry
		client  *http.Client
		mu      sync.Mutex
		results map[string]*result
	}

	// result is one call's answer, shared by concurrent repeats of its key.
	result struct {
		done    chan struct{}
		status  int
		body    []byte
		expires time.Time
	}

	onceValue struct {
		State  string     `json:"state"`
		Entry  cf.EntryID `json:"entry"`
		Status int        `json:"status,omitempty"`
		Body   []byte     `json:"body,omitempty"`
	}
)

func newServiceSet(_ cfconfig.Site, e *Entry) *serviceSet {
	return &serviceSet{entry: e, client: &http.Client{}, results: map[string]*result{}}
}

// handleService sends a call to a plain service. Repeats of an idempotency
// key get the first call's answer. A non-idempotent service is sent at most
// once, across entries too: a marker is created in the platform before the
// bytes leave, and a repeat that finds a marker without an answer is told
// that the call may have run, never that it did not.
func (e *Entry) handleService(ctx iris.Context) {
	name := ctx.Params().Get("service")
	sv, err := e.site.Service(name)
	if err != nil {
		refuse(ctx, http.StatusNotFound, "unknown_service", "no", err)
		return
	}
	key := ctx.GetHeader("Idempotency-Key")
	if key == "" {
		refuse(ctx, http.StatusBadRequest, "no_idempotency_key", "no", eris.New("Idempotency-Key header is required"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBody))
	if err != nil {
		refuse(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	res, first := e.services.claim(name + "/" + key)
	if first {
		// The send outlives the caller: a caller that gives up must not
		// cancel a bid that may already be at the service, or the outcome
		// is never recorded and every repeat can only say "may have run".
		sendCtx := context.WithoutCancel(ctx.Request().Context())
		res.status, res.body, err = e.services.send(sendCtx, sv, key, ctx.Params().Get("path"), body)
		e.services.finish(name+"/"+key, res, err)
	} else {
		select {
		case <-res.done:
		case <-ctx.Request().Context().Done():
			return
		}
	}
	if res.status == 0 {
		e.answerFailure(ctx, name, err)
		return
	}
	e.metrics.requests.WithLabelValues("service_"+name, "ok").Inc()
	ctx.ContentType("application/json")
	ctx.StatusCode(res.status)
	_, _ = ctx.Write(res.body)
}

func (e *Entry) answerFailure(ctx iris.Context, name string, err error) {
	switch {
	case errors.Is(err, cf.ErrMaybeRan):
		e.metrics.requests.WithLabelValues("service_"+name, "maybe_ran").Inc()
		refuse(ctx, http.StatusConflict, "may_have_run", "unknown", err)
	case err == nil:
		// A concurrent repeat whose first call failed: that call's
		// outcome is not ours to tell; ask again.
		refuse(ctx, http.StatusServiceUnavailable, "retry", "unknown", eris.New("an earlier call with this key failed; try again"))
	default:
		e.metrics.requests.WithLabelValues("service_"+name, "not_run").Inc()
		refuse(ctx, http.StatusServiceUnavailable, "not_run", "no", err)
	}
}

// claim returns the result slot of a key and whether the caller must fill it.
func (s *serviceSet) claim(key string) (*result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for k, r := range s.results {
		if r.status != 0 && now.After(r.expires) {
			delete(s.results, k)
		}
	}
	if r, ok := s.results[key]; ok {
		return r, false
	}
	r := &result{done: make(chan struct{})}
	s.results[key] = r
	return r, true
}

// finish publishes a result; a failed call's slot is removed so that a
// later repeat tries again (for a non-idempotent call the platform marker
// still stops a second send).
func (s *serviceSet) finish(key string, r *result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.expires = time.Now().Add(resultTTL)
	if err != nil {
		r.status = 0
		delete(s.results, key)
	}
	close(r.done)
}

// send calls the service. For an idempotent service every failure is
// retried; for a non-idempotent one only a failure to connect, since then
// no byte has left.
func (s *serviceSet) send(ctx context.Context, sv cfconfig.Service, key, path string, body []byte) (int, []byte, error) {
	if !sv.Idempotent {
		return s.sendOnce(ctx, sv, key, path, body)
	}
	var last error
	for attempt := range idempotentRetries {
		status, out, err := s.post(ctx, sv, key, path, body)
		if err == nil {
			return status, out, nil
		}
		last = err
		time.Sleep(time.Duration(attempt+1) * 50 * time.Millisecond)
	}
	return 0, nil, eris.Wrapf(cf.ErrUnavailable, "service %s: %v", sv.Name, last)
}

func (s *serviceSet) sendOnce(ctx context.Context, sv cfconfig.Service, key, path string, body []byte) (int, []byte, error) {
	store := s.entry.store
	name := sv.Name + "/" + key
	marker, err := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, onceValue{State: onceSending, Entry: s.entry.self.ID}, cf.CreateOnly)
	switch {
	case errors.Is(err, cf.ErrConflict):
		return s.replay(ctx, name)
	case errors.Is(err, cf.ErrUnavailable):
		// The marker may exist even though we did not hear so. Read it:
		// if it is ours, go on; if it cannot be read, the call has not
		// been sent, and "not run" is true.
		var cur onceValue
		obj, gerr := cfplatform.GetJSON(ctx, store, KindAtMostOnce, name, &cur)
		if gerr != nil || cur.Entry != s.entry.self.ID || cur.State != onceSending {
			return 0, nil, eris.Wrapf(cf.ErrUnavailable, "at-most-once marker for %s: %v", name, err)
		}
		marker = obj
	case err != nil:
		return 0, nil, err
	}
	status, out, err := s.post(ctx, sv, key, path, body)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			// Nothing left this process; still, the marker stays, so a
			// repeat is answered "may have run" only if we cannot
			// remove it.
			if _, derr := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, onceValue{State: onceNotSent, Entry: s.entry.self.ID}, marker.Version); derr == nil {
				return 0, nil, eris.Wrapf(cf.ErrUnavailable, "service %s unreachable: %v", sv.Name, err)
			}
		}
		return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "service %s: %v", sv.Name, err)
	}
	done := onceValue{State: onceDone, Entry: s.entry.self.ID, Status: status, Body: out}
	if _, err := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, done, marker.Version); err != nil {
		s.entry.log.Warn("at-most-once answer not recorded", zap.String("key", name), zap.Error(err))
	}
	return status, out, nil
}

// replay answers a repeat of a non-idempotent key from its marker.
func (s *serviceSet) replay(ctx context.Context, name string) (int, []byte, error) {
	var cur onceValue
	obj, err := cfplatform.GetJSON(ctx, s.entry.store, KindAtMostOnce, name, &cur)
	switch {
	case err != nil:
		return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "%s: marker unreadable: %v", name, err)
	case cur.State == onceDone:
		return cur.Status, cur.Body, nil
	case cur.State == onceNotSent:
		// The earlier try never left its entry: take the marker over.
		if _, err := cfplatform.PutJSON(ctx, s.entry.store, KindAtMostOnce, name, onceValue{State: onceSending, Entry: s.entry.self.ID}, obj.Version); err != nil {
			return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "%s: %v", name, err)
		}
		return 0, nil, eris.Wrapf(cf.ErrUnavailable, "%s: earlier try was not sent; try again", name)
	default:
		return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "%s was sent by %s and its outcome is unknown", name, cur.Entry)
	}
}

func (s *serviceSet) post(ctx context.Context, sv cfconfig.Service, key, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sv.Timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sv.Addr+"/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode >= 500 {
		return 0, nil, eris.Errorf("service %s: status %d", sv.Name, resp.StatusCode)
	}
	return resp.StatusCode, out, nil
}
