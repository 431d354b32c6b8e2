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
	"currantford/net/cfhttp"
	"currantford/older/cfconfig"
	"currantford/older/cfplatform"
)

const (
	// KindAtMostOnce is the kind of the marker objects that keep a non-idempotent call from being
	// sent twice. There is one per service and idempotency key.
	KindAtMostOnce = "once"
	// maxIdempotentAttempts limits the attempts of an idempotent call.
	maxIdempotentAttempts = 3
	// resultTTL is how long a response is kept for repeated calls with the same key.
	resultTTL = 10 * time.Minute
)

// The states of a marker.
const (
	markerSending = "sending"
	markerDone    = "done"
	// markerNotSent means that the connection failed, so that nothing was sent. A repeated call
	// takes the marker over.
	markerNotSent = "not_sent"
)

type (
	serviceSet struct {
		entry   *Entry
		client  *http.Client
		mu      sync.Mutex
		results map[string]*callResult
	}

	// callResult is the response of one call. Concurrent calls with the same key share it.
	callResult struct {
		done    chan struct{}
		status  int
		body    []byte
		expires time.Time
	}

	markerValue struct {
		State  string     `json:"state"`
		Entry  cf.EntryID `json:"entry"`
		Status int        `json:"status,omitempty"`
		Body   []byte     `json:"body,omitempty"`
	}
)

func newServiceSet(_ cfconfig.Site, e *Entry) *serviceSet {
	return &serviceSet{entry: e, client: cfhttp.NewClient(), results: map[string]*callResult{}}
}

// handleService forwards a call to a service. Calls that repeat an idempotency key get the first
// call's response. A call of a non-idempotent service is sent at most once, over all entries: a
// marker is written to the platform before anything is sent, and a repeated call that finds a
// marker without a response is answered that the call may have run, never that it has not.
func (e *Entry) handleService(ctx iris.Context) {
	name := ctx.Params().Get("service")
	sv, err := e.site.Service(name)
	if err != nil {
		writeError(ctx, http.StatusNotFound, "unknown_service", "no", err)
		return
	}
	key := ctx.GetHeader("Idempotency-Key")
	if key == "" {
		writeError(ctx, http.StatusBadRequest, "no_idempotency_key", "no", eris.New("Idempotency-Key header is required"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxBodyBytes))
	if err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	res, isFirst := e.services.lookupOrCreate(name + "/" + key)
	if isFirst {
		// Do not cancel the call when the caller disconnects: a bid may already be at the service.
		// If it were cancelled, its outcome would never be recorded, and every repeated call could
		// only be answered with "may have run".
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
		e.writeServiceError(ctx, name, err)
		return
	}
	e.metrics.requests.WithLabelValues("service_"+name, "ok").Inc()
	ctx.ContentType("application/json")
	ctx.StatusCode(res.status)
	_, _ = ctx.Write(res.body)
}

func (e *Entry) writeServiceError(ctx iris.Context, name string, err error) {
	switch {
	case errors.Is(err, cf.ErrMaybeRan):
		e.metrics.requests.WithLabelValues("service_"+name, "maybe_ran").Inc()
		writeError(ctx, http.StatusConflict, "may_have_run", "unknown", err)
	case err == nil:
		// This is a concurrent repeat of a call that failed. Only that call's own caller gets its
		// outcome; this one has to try again.
		writeError(ctx, http.StatusServiceUnavailable, "retry", "unknown", eris.New("an earlier call with this key failed; try again"))
	default:
		e.metrics.requests.WithLabelValues("service_"+name, "not_run").Inc()
		writeError(ctx, http.StatusServiceUnavailable, "not_run", "no", err)
	}
}

// lookupOrCreate returns the result for a key, and true if it is new and the caller must fill it
// in. It also deletes expired results.
func (s *serviceSet) lookupOrCreate(key string) (*callResult, bool) {
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
	r := &callResult{done: make(chan struct{})}
	s.results[key] = r
	return r, true
}

// finish makes a result available to the waiting calls. The result of a failed call is deleted, so
// that a later call tries again. For a non-idempotent service the marker in the platform still
// prevents a second send.
func (s *serviceSet) finish(key string, r *callResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.expires = time.Now().Add(resultTTL)
	if err != nil {
		r.status = 0
		delete(s.results, key)
	}
	close(r.done)
}

// send calls the service. Calls of an idempotent service are retried after any failure; a call of a
// non-idempotent service is sent at most once.
func (s *serviceSet) send(ctx context.Context, sv cfconfig.Service, key, path string, body []byte) (int, []byte, error) {
	if !sv.Idempotent {
		return s.sendAtMostOnce(ctx, sv, key, path, body)
	}
	var lastErr error
	for attempt := range maxIdempotentAttempts {
		status, out, err := s.post(ctx, sv, key, path, body)
		if err == nil {
			return status, out, nil
		}
		lastErr = err
		time.Sleep(time.Duration(attempt+1) * 50 * time.Millisecond)
	}
	return 0, nil, eris.Wrapf(cf.ErrUnavailable, "service %s: %v", sv.Name, lastErr)
}

func (s *serviceSet) sendAtMostOnce(ctx context.Context, sv cfconfig.Service, key, path string, body []byte) (int, []byte, error) {
	store := s.entry.store
	name := sv.Name + "/" + key
	marker, err := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, markerValue{State: markerSending, Entry: s.entry.self.ID}, cf.CreateOnly)
	switch {
	case errors.Is(err, cf.ErrConflict):
		return s.answerFromMarker(ctx, name)
	case errors.Is(err, cf.ErrUnavailable):
		// The marker may have been written although the response was lost. If it is this entry's,
		// continue. If it cannot be read, the call has not been sent, so "not run" is correct.
		var cur markerValue
		obj, gerr := cfplatform.GetJSON(ctx, store, KindAtMostOnce, name, &cur)
		if gerr != nil || cur.Entry != s.entry.self.ID || cur.State != markerSending {
			return 0, nil, eris.Wrapf(cf.ErrUnavailable, "at-most-once marker for %s: %v", name, err)
		}
		marker = obj
	case err != nil:
		return 0, nil, err
	}
	status, out, err := s.post(ctx, sv, key, path, body)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			// Nothing was sent, so record that in the marker. Only if this write fails too is the
			// call reported as one that may have run.
			if _, derr := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, markerValue{State: markerNotSent, Entry: s.entry.self.ID}, marker.Version); derr == nil {
				return 0, nil, eris.Wrapf(cf.ErrUnavailable, "service %s unreachable: %v", sv.Name, err)
			}
		}
		return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "service %s: %v", sv.Name, err)
	}
	done := markerValue{State: markerDone, Entry: s.entry.self.ID, Status: status, Body: out}
	if _, err := cfplatform.PutJSON(ctx, store, KindAtMostOnce, name, done, marker.Version); err != nil {
		s.entry.log.Warn("at-most-once answer not recorded", zap.String("key", name), zap.Error(err))
	}
	return status, out, nil
}

// answerFromMarker answers a repeated call of a non-idempotent service from its marker.
func (s *serviceSet) answerFromMarker(ctx context.Context, name string) (int, []byte, error) {
	var cur markerValue
	obj, err := cfplatform.GetJSON(ctx, s.entry.store, KindAtMostOnce, name, &cur)
	switch {
	case err != nil:
		return 0, nil, eris.Wrapf(cf.ErrMaybeRan, "%s: marker unreadable: %v", name, err)
	case cur.State == markerDone:
		return cur.Status, cur.Body, nil
	case cur.State == markerNotSent:
		// The earlier attempt sent nothing. Take the marker over and let the caller try again.
		if _, err := cfplatform.PutJSON(ctx, s.entry.store, KindAtMostOnce, name, markerValue{State: markerSending, Entry: s.entry.self.ID}, obj.Version); err != nil {
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
	out, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBodyBytes))
	if err != nil {
		return 0, nil, err
	}
	if resp.StatusCode >= 500 {
		return 0, nil, eris.Errorf("service %s: status %d", sv.Name, resp.StatusCode)
	}
	return resp.StatusCode, out, nil
}
