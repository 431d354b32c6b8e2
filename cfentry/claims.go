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
	"currantford/cfpool"
)

const (
	maxFetchWait = 20 * time.Second
	peerTimeout  = 5 * time.Second
)

type (
	// claimCall is the peer message of a fetch, an ack or a weights order,
	// forwarded from any entry to the pool's leader.
	claimCall struct {
		Pool    cf.PoolName      `cbor:"pool"`
		Claim   cf.ClaimName     `cbor:"claim,omitempty"`
		Max     int              `cbor:"max,omitempty"`
		Wait    cf.Millis        `cbor:"wait_ms,omitempty"`
		Cursor  int64            `cbor:"cursor,omitempty"`
		Version cf.WeightVersion `cbor:"weight_version,omitempty"`
	}
)

func (e *Entry) registerPeerOps() {
	e.peerSrv.Handle("fetch", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var c claimCall
		if err := cbor.Unmarshal(body, &c); err != nil {
			return nil, eris.Wrap(cf.ErrInvalid, err.Error())
		}
		p, err := e.pool(c.Pool)
		if err != nil {
			return nil, err
		}
		return p.Fetch(ctx, c.Claim, c.Max, min(c.Wait.Duration(), maxFetchWait))
	})
	e.peerSrv.Handle("ack", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var c claimCall
		if err := cbor.Unmarshal(body, &c); err != nil {
			return nil, eris.Wrap(cf.ErrInvalid, err.Error())
		}
		return nil, e.localAck(ctx, c)
	})
	e.peerSrv.Handle("weights", func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var c claimCall
		if err := cbor.Unmarshal(body, &c); err != nil {
			return nil, eris.Wrap(cf.ErrInvalid, err.Error())
		}
		p, err := e.pool(c.Pool)
		if err != nil {
			return nil, err
		}
		return nil, p.SetWeights(ctx, c.Version)
	})
}

func (e *Entry) pool(name cf.PoolName) (*cfpool.Pool, error) {
	p, ok := e.pools[name]
	if !ok {
		return nil, eris.Wrapf(cf.ErrNotFound, "pool %q", name)
	}
	return p, nil
}

func (e *Entry) localAck(ctx context.Context, c claimCall) error {
	p, err := e.pool(c.Pool)
	if err != nil {
		return err
	}
	return p.Ack(ctx, c.Claim, c.Cursor)
}

// forward runs op on the pool's leader: here if we lead, else over the peer
// link. ErrNotLeader means the lease is changing hands.
func (e *Entry) forward(ctx context.Context, op string, c claimCall, local func() (any, error), out any) error {
	p, err := e.pool(c.Pool)
	if err != nil {
		return err
	}
	leader, addr, known := p.Leader()
	if !known {
		return eris.Wrapf(cf.ErrNotLeader, "pool %s has no leader yet", c.Pool)
	}
	if leader == e.self.ID {
		v, err := local()
		if err == nil && out != nil {
			if b, ok := v.(cf.Batch); ok {
				*(out.(*cf.Batch)) = b
			}
		}
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait.Duration()+peerTimeout)
	defer cancel()
	return e.peers.Call(ctx, addr, op, c, out)
}

func (e *Entry) handleFetch(ctx iris.Context) {
	c := claimCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Claim: cf.ClaimName(ctx.Params().Get("claim"))}
	c.Max, _ = strconv.Atoi(ctx.URLParamDefault("max", "16"))
	wait, _ := strconv.ParseInt(ctx.URLParamDefault("wait_ms", "2000"), 10, 64)
	c.Wait = min(cf.Millis(wait), cf.MillisOf(maxFetchWait))
	var batch cf.Batch
	err := e.forward(ctx.Request().Context(), "fetch", c, func() (any, error) {
		p, _ := e.pool(c.Pool)
		return p.Fetch(ctx.Request().Context(), c.Claim, c.Max, c.Wait.Duration())
	}, &batch)
	if err != nil {
		e.claimFailure(ctx, "fetch", err)
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
		refuse(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	c := claimCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Claim: cf.ClaimName(ctx.Params().Get("claim")), Cursor: body.Cursor}
	err := e.forward(ctx.Request().Context(), "ack", c, func() (any, error) {
		return nil, e.localAck(ctx.Request().Context(), c)
	}, nil)
	if err != nil {
		e.claimFailure(ctx, "ack", err)
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
		refuse(ctx, http.StatusBadRequest, "invalid", "no", err)
		return
	}
	c := claimCall{Pool: cf.PoolName(ctx.Params().Get("pool")), Version: body.Version}
	err := e.forward(ctx.Request().Context(), "weights", c, func() (any, error) {
		p, _ := e.pool(c.Pool)
		return nil, p.SetWeights(ctx.Request().Context(), c.Version)
	}, nil)
	if err != nil {
		e.claimFailure(ctx, "weights", err)
		return
	}
	_ = ctx.JSON(struct {
		Version cf.WeightVersion `json:"weight_version"`
	}{body.Version})
}

// claimFailure maps a pool error to an answer. A trainer that is told to
// come back gets Retry-After at once; no answer is held back.
func (e *Entry) claimFailure(ctx iris.Context, route string, err error) {
	e.metrics.requests.WithLabelValues(route, "error").Inc()
	switch {
	case errors.Is(err, cf.ErrNotFound):
		refuse(ctx, http.StatusNotFound, "not_found", "no", err)
	case errors.Is(err, cf.ErrInvalid):
		refuse(ctx, http.StatusBadRequest, "invalid", "no", err)
	case errors.Is(err, cf.ErrFenced), errors.Is(err, cf.ErrConflict):
		refuse(ctx, http.StatusConflict, "fenced", "no", err)
	case errors.Is(err, cf.ErrNotLeader):
		refuse(ctx, http.StatusServiceUnavailable, "not_leader", "no", err)
	default:
		refuse(ctx, http.StatusServiceUnavailable, "unavailable", "unknown", err)
	}
}
