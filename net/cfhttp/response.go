package cfhttp

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the largest status that RFC 9110 defines a class for.
	maxStatus = 599
	// informationalSize is the approximate size of an informational response without headers.
	informationalSize = 16
)

// ErrMalformed is returned for a response that is not valid HTTP.
var ErrMalformed = errors.New("malformed response")

// trailerBody is the body of a response that may have trailers.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. It returns ErrMalformed instead of io.EOF if the trailers are malformed.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// checkHead returns an error if the head of a response is malformed. A response that is not final is
// one too: forwarding it would panic in the server or switch the caller's connection to another
// protocol.
func checkHead(req *http.Request, resp *http.Response, x *Exchange) error {
	if resp.ProtoMajor != 1 && resp.TLS == nil { // HTTP/2 is negotiated with TLS only
		return eris.Wrapf(ErrMalformed, "version %.40q", resp.Proto)
	}
	if x.faultyFraming.Load() {
		return eris.Wrapf(ErrMalformed, "transfer encoding in %s", resp.Proto)
	}
	switched := resp.StatusCode == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") != ""
	if resp.StatusCode < http.StatusOK && !switched || resp.StatusCode > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %.40q", resp.Status)
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	return checkNames(resp.Trailer) // the names that the head announces
}

// checkNames returns an error if the name of a field is not a token.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}

// headSize returns the approximate size of an informational response.
func headSize(header map[string][]string) int64 {
	size := int64(informationalSize)
	for name, values := range header {
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	return size
}
