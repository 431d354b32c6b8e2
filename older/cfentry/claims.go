package cfentry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/older/cfpool"
)

const (
	maxFetchWait = 20 * time.Second
	peerTimeout  = 5 * time.Second
)

type (
	// poolCall is the peer message with which an entry forwards a fetch, an acknowledgement or a
	// weight update to the pool's leader.
	poolCall struct {
		Pool    cf.PoolName      `cbor:"pool"`
		Claim   cf.ClaimName     `cbor:"claim,omitempty"`
		Max     int              `cbor:"max,omitempty"`
		Wait    cf.Millis        `cbor:"wait_ms,omitempty"`
		Cursor  int64            `cbor:"cursor,omitempty"`
		Version cf.WeightVersion `cbor:"weight_version,omitempty"`
	}
)

// registerPeerHandlers registers the handlers for calls that other entries forward to this one
// because it leads a pool.
func (e *Entry) registerPeerHandlers() {
	e.peerSrv.Handle("fetch", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		c, p, err := e.decodeCall(body)
		if err != nil {
			return nil, err
		}
		return p.Fetch(ctx, c.Claim, c.Max, min(c.Wait.Duration(), maxFetchWait))
	})
	e.peerSrv.Handle("ack", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		c, p, err := e.decodeCall(body)
		if err != nil {
			return nil, err
		}
		return nil, p.Ack(ctx, c.Claim, c.Cursor)
	})
	e.peerSrv.Handle("weights", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		c, p, err := e.decodeCall(body)
		if err != nil {
			return nil, err
		}
		return nil, p.SetWeights(ctx, c.Version)
	})
}

func (e *Entry) decodeCall(body cbor.RawMessage) (poolCall, *cfpool.Pool, error) {
	var c poolCall
	if err := cbor.Unmarshal(body, &c); err != nil {
		return c, nil, eris.Wrap(cf.ErrInvalid, err.Error())
	}
	p, err := e.pool(c.Pool)
	return c, p, err
}

func (e *Entry) pool(name cf.PoolName) (*cfpool.Pool, error) {
	p, ok := e.pools[name]
	if !ok {
		return nil, eris.Wrapf(cf.ErrNotFound, "pool %q", name)
	}
	return p, nil
}

// leaderOf returns the pool and the address of the entry that leads it; the address is "" if that
// is this entry. The error is ErrNotLeader while no leader is known.
func (e *Entry) leaderOf(name cf.PoolName) (*cfpool.Pool, string, error) {
	p, err := e.pool(name)
	if err != nil {
		return nil, "", err
	}
	leader, addr, known := p.Leader()
	switch {
	case !known:
		return nil, "", eris.Wrapf(cf.ErrNotLeader, "pool %s has no leader yet", name)
	case leader == e.self.ID:
		return p, "", nil
	}
	return p, addr, nil
}

// callLeader forwards c over the peer link to the entry at addr, which leads the pool.
func (e *Entry) callLeader(ctx context.Context, addr, op string, c poolCall, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait.Duration()+peerTimeout)
	defer cancel()
	return e.peers.Call(ctx, addr, op, c, out)
}

func (e *Entry) handleFetch(ctx iris.Context) {
	c := poolCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Claim: cf.ClaimName(ctx.Params().Get("claim"))}
	c.Max, _ = strconv.Atoi(ctx.URLParamDefault("max", "16"))
	wait, _ := strconv.ParseInt(ctx.URLParamDefault("wait_ms", "2000"), 10, 64)
	c.Wait = min(cf.Millis(wait), cf.MillisOf(maxFetchWait))
	var batch cf.Batch
	p, addr, err := e.leaderOf(c.Pool)
	switch {
	case err != nil:
	case addr == "":
		batch, err = p.Fetch(ctx.Request().Context(), c.Claim, c.Max, c.Wait.Duration())
	default:
		err = e.callLeader(ctx.Request().Context(), addr, "fetch", c, &batch)
	}
	if err != nil {
		e.writePoolError(ctx, "fetch", err)
		return
	}
	if batch.Samples == nil {
		batch.Samples = []cf.Sample{}
	}
	e.metrics.requests.WithLabelValues("fetch", "ok").Inc()
	_ = ctx.JSON(batch)
}

func (e *Entry) handleAck(ctx iris.Context) {
	var body struct {
		Cursor int64 `json:"cursor"`
	}
	if err := ctx.ReadJSON(&body); err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	c := poolCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Claim: cf.ClaimName(ctx.Params().Get("claim")), Cursor: body.Cursor}
	p, addr, err := e.leaderOf(c.Pool)
	switch {
	case err != nil:
	case addr == "":
		err = p.Ack(ctx.Request().Context(), c.Claim, c.Cursor)
	default:
		err = e.callLeader(ctx.Request().Context(), addr, "ack", c, nil)
	}
	if err != nil {
		e.writePoolError(ctx, "ack", err)
		return
	}
	e.metrics.requests.WithLabelValues("ack", "ok").Inc()
	_ = ctx.JSON(struct {
		Cursor int64 `json:"cursor"`
	}{body.Cursor})
}

func (e *Entry) handleWeights(ctx iris.Context) {
	var body struct {
		Version cf.WeightVersion `json:"weight_version"`
	}
	if err := ctx.ReadJSON(&body); err != nil {
		writeError(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	c := poolCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Version: body.Version}
	p, addr, err := e.leaderOf(c.Pool)
	switch {
	case err != nil:
	case addr == "":
		err = p.SetWeights(ctx.Request().Context(), c.Version)
	default:
		err = e.callLeader(ctx.Request().Context(), addr, "weights", c, nil)
	}
	if err != nil {
		e.writePoolError(ctx, "weights", err)
		return
	}
	_ = ctx.JSON(struct {
		Version cf.WeightVersion `json:"weight_version"`
	}{body.Version})
}

// writePoolError answers a request with the status for a pool's error. It responds at once, with
// Retry-After where the trainer may try again; responses are not delayed.
func (e *Entry) writePoolError(ctx iris.Context, route string, err error) {
	e.metrics.requests.WithLabelValues(route, "error").Inc()
	switch {
	case errors.Is(err, cf.ErrNotFound):
		writeError(ctx, http.StatusNotFound, "not_found", "no", err)
	case errors.Is(err, cf.ErrInvalid):
		writeError(ctx, http.StatusBadRequest, "invalid", "no", err)
	case errors.Is(err, cf.ErrFenced), errors.Is(err, cf.ErrConflict):
		writeError(ctx, http.StatusConflict, "fenced", "no", err)
	case errors.Is(err, cf.ErrNotLeader):
		writeError(ctx, http.StatusServiceUnavailable, "not_leader", "no", err)
	default:
		writeError(ctx, http.StatusServiceUnavailable, "unavailable", "unknown", err)
	}
}
