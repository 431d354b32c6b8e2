// Package cfplatform is the client of the platform's object API and instance list, as the packages
// under older/ use them: versioned JSON objects identified by kind and name, conditional writes,
// and watches by long polling.
//
// Usage:
//
//	c := cfplatform.NewClient("http://127.0.0.1:7000")
//	obj, err := c.Put(ctx, "claim", "forecast/t1", value, currantford.CreateOnly)
package cfplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/net/cfhttp"
)

// KindInstance is the kind of the objects that form the instance list.
const KindInstance = "instance"

// callTimeout limits one call; a watch may take its wait in addition. The platform answers in
// milliseconds; a call that takes seconds is treated as an outage, so that a slow platform delays a
// controller but does not block it.
const callTimeout = 3 * time.Second

// maxResponse bounds the size of a response.
const maxResponse = 64 << 20

// Client calls the object API over HTTP. It implements currantford.ObjectStore and is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ cf.ObjectStore = (*Client)(nil)

// NewClient returns a client of the object API at the URL base, such as "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	return &Client{base: base, http: cfhttp.NewClient()}
}

// Get returns one object. The error is ErrNotFound if the object does not exist, and ErrUnavailable
// if the platform does not answer.
func (c *Client) Get(ctx context.Context, kind, name string) (cf.Object, error) {
	var obj cf.Object
	err := c.do(ctx, http.MethodGet, c.objectURL(kind, name, nil), nil, &obj, callTimeout)
	return obj, err
}

// Put writes one object if its version is ifVersion. On ErrConflict the returned object is the
// current one. ErrUnavailable leaves the outcome open: the response may have been lost after the
// write took effect, so the caller must read the object again.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, ifVersion int64) (cf.Object, error) {
	q := url.Values{}
	if ifVersion != cf.AnyVersion {
		q.Set("if_version", strconv.FormatInt(ifVersion, 10))
	}
	var obj cf.Object
	err := c.do(ctx, http.MethodPut, c.objectURL(kind, name, q), value, &obj, callTimeout)
	return obj, err
}

// Watch waits up to wait for objects of kind that were written after revision after. It returns
// them with the revision to pass to the next call.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]cf.Object, int64, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatInt(after, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var body struct {
		Objects  []cf.Object `json:"objects"`
		Revision int64       `json:"revision"`
	}
	u := c.base + "/v1/objects/" + url.PathEscape(kind) + "?" + q.Encode()
	err := c.do(ctx, http.MethodGet, u, nil, &body, wait+callTimeout)
	return body.Objects, body.Revision, err
}

// InjectFaults configures the faults that the platform stand-in simulates. Tests and the load
// generator use it; the real platform has no such call.
func (c *Client) InjectFaults(ctx context.Context, outage, slow cf.Millis, loseAnswers int) error {
	body, _ := json.Marshal(struct {
		Outage      cf.Millis `json:"outage_ms"`
		Slow        cf.Millis `json:"slow_ms"`
		LoseAnswers int       `json:"lose_answers"`
	}{outage, slow, loseAnswers})
	return c.do(ctx, http.MethodPost, c.base+"/v1/faults", body, nil, callTimeout)
}

func (c *Client) objectURL(kind, name string, q url.Values) string {
	u := c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + name
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return u
}

func (c *Client) do(ctx context.Context, method, u string, body []byte, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(cf.ErrUnavailable, "platform %s: %v", method, err)
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponse))
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return eris.Wrapf(cf.ErrNotFound, "platform %s", u)
	case http.StatusConflict:
		if out != nil {
			_ = decoder.Decode(out)
		}
		return eris.Wrapf(cf.ErrConflict, "platform %s", u)
	default:
		return eris.Wrapf(cf.ErrUnavailable, "platform %s: status %d", method, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := decoder.Decode(out); err != nil {
		return eris.Wrapf(cf.ErrUnavailable, "platform answer: %v", err)
	}
	return nil
}

// GetJSON reads one object and decodes its value into v.
func GetJSON(ctx context.Context, s cf.ObjectStore, kind, name string, v any) (cf.Object, error) {
	obj, err := s.Get(ctx, kind, name)
	if err != nil {
		return obj, err
	}
	if err := json.Unmarshal(obj.Value, v); err != nil {
		return obj, eris.Wrap(fmt.Errorf("%w: %s/%s: %v", cf.ErrInvalid, kind, name, err), "decode object")
	}
	return obj, nil
}

// PutJSON encodes v as JSON and writes it like Put.
func PutJSON(ctx context.Context, s cf.ObjectStore, kind, name string, v any, ifVersion int64) (cf.Object, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return cf.Object{}, eris.Wrap(err, "encode object")
	}
	return s.Put(ctx, kind, name, value, ifVersion)
}

// DecodeValue decodes the value of obj into v.
func DecodeValue(obj cf.Object, v any) error {
	if err := json.Unmarshal(obj.Value, v); err != nil {
		return eris.Wrapf(cf.ErrInvalid, "object %s/%s: %v", obj.Kind, obj.Name, err)
	}
	return nil
}
