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

// Symptom: after an outage of the store a coordinator neither renews its lease nor
// sees a new configuration for six seconds, though the store answers all others.
// Sequence: a call that may take seconds goes to a peer that takes connections and
// says nothing; then others go there that have milliseconds.
// Cause: the first one tried to connect for all its time, and the others waited for
// it whatever time they had.
func TestCallsDoNotWaitForAnothersTryToConnect(t *testing.T) {
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
		t.Error("calls of 50 ms waited for one of 20 s")
	}
	cancel()
	wg.Wait()
}
