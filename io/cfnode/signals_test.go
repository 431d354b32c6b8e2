package cfnode

import (
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against: a stop that never comes, since reloads before the process serves take the
// room in which it would wait.
func TestStopSignalAfterReloadsDuringStartup(t *testing.T) {
	signals := CatchSignals()
	send := func(sig syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the system merges those of one kind that wait
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
