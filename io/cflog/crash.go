package cflog

import (
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// panicExitCode is the exit status after a panic, the same as that of the Go runtime.
	panicExitCode = 2
	// flushTimeout is how long a process that ends after a panic waits for its last lines to be
	// written.
	flushTimeout = time.Second
)

type (
	// panicReporter logs the panic that ends the process.
	panicReporter struct {
		log  *zap.Logger
		out  *AsyncWriter
		role func() string
	}

	// Group is a sync.WaitGroup whose goroutines log a panic before it ends the process.
	Group struct{ sync.WaitGroup }
)

var reporter atomic.Pointer[panicReporter]

// ReportPanics makes a panic log its reason and stack in one line, with the current role of the
// process, before the process ends.
func ReportPanics(log *zap.Logger, out *AsyncWriter, role func() string) {
	reporter.Store(&panicReporter{log, out, role})
}

// Go runs f in a goroutine, as sync.WaitGroup does.
func (g *Group) Go(f func()) {
	g.WaitGroup.Go(func() {
		defer ExitOnPanic()
		f()
	})
}

// ExitOnPanic must be deferred by every goroutine that is not started by a Group. After a panic it
// ends the process, since the state may be inconsistent.
func ExitOnPanic() {
	if reason := recover(); reason != nil {
		logAndExit(reason)
	}
}

// PanicHandler returns a handler that calls h and ends the process if h panics, except with
// http.ErrAbortHandler. Without it the recovery in net/http would let the process continue after a
// panic.
func PanicHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			switch reason := recover(); reason {
			case nil:
			case http.ErrAbortHandler: //nolint:errorlint // net/http compares the value itself
				panic(reason)
			default:
				logAndExit(reason)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func logAndExit(reason any) {
	r := reporter.Load()
	if r == nil {
		panic(reason)
	}
	r.log.Error("panic", zap.String("role", r.role()), zap.String("reason", fmt.Sprint(reason)), zap.ByteString("stack", debug.Stack()))
	r.out.Flush(flushTimeout)
	os.Exit(panicExitCode)
}
