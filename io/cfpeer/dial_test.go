package cfpeer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantford/io/cfpeer"
)

// TestCallsDoNotWaitForAnothersDial guards against a coordinator that, after an outage of the
// store, neither renews its lease nor receives a new configuration for six seconds although the
// store works. A call with a timeout of seconds to a peer that accepts connections and never
// responds must not spend all its time dialling while calls with timeouts of milliseconds wait for
// the same connection.
func TestCallsDoNotWaitForAnothersDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	connected := make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connected <- struct{}{}
			defer func() { _ = c.Close() }()
		}
	}()
	client := cfpeer.NewClient()
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var firstDone atomic.Bool
	wg.Go(func() {
		for ctx.Err() == nil {
			if client.Call(ctx, l.Addr().String(), "store", 1, nil) == nil {
				t.Error("a call to a silent peer succeeded")
			}
		}
		firstDone.Store(true)
	})
	<-connected
	for range 8 {
		short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		if client.Call(short, l.Addr().String(), "store", 1, nil) == nil {
			t.Error("a call to a silent peer succeeded")
		}
		stop()
	}
	if firstDone.Load() {
		t.Error("calls with a timeout of 50 ms waited for one with a timeout of 20 s")
	}
	cancel()
	wg.Wait()
}
