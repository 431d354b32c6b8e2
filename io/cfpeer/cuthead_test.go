package cfpeer

import (
	"context"
	"crypto/sha1" //nolint:gosec // part of the WebSocket handshake
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"currantford/platform/standin"
)

// handshakeHead returns the head that accepts a WebSocket handshake.
func handshakeHead(r *http.Request) string {
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) //nolint:gosec // as above
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
}

// TestCutHandshakeOpensNoLink guards against a call that counts as answered, or that waits, because the
// connection to the other instance ended within the head of its handshake.
func TestCutHandshakeOpensNoLink(t *testing.T) {
	for end, name := range map[standin.RawEnd]string{standin.RawHalfClose: "orderly end", standin.RawReset: "reset"} {
		t.Run(name, func(t *testing.T) {
			for cut := 0; ; cut++ {
				whole := false
				s, err := standin.NewRawServer(func(r *http.Request) (string, standin.RawEnd) {
					head := handshakeHead(r)
					whole = cut >= len(head)
					return head[:min(cut, len(head))], end
				})
				if err != nil {
					t.Fatal(err)
				}
				c := NewClient()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				err = c.Call(ctx, s.Addr(), "op", nil, nil)
				if err == nil || ctx.Err() != nil {
					t.Errorf("cut after %d bytes: error %v, context %v; want an error at once", cut, err, ctx.Err())
				}
				cancel()
				_ = c.Close()
				s.Close()
				if whole {
					return
				}
			}
		})
	}
}
