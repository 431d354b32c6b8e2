package cfnode

import (
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestStopSignalAfterReloadsDuringStartup guards against a stop signal that is lost because reload
// signals before the process serves have filled its channel.
func TestStopSignalAfterReloadsDuringStartup(t *testing.T) {
	signals := CatchSignals()
	send := func(sig syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // The kernel merges pending signals of one kind.
	}
	for range 8 {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	stopped := make(chan struct{})
	go func() {
		WaitForStop(signals, zap.NewNop())
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the process was not stopped by a signal that came before it served")
	}
}
