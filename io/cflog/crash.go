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
	// exitPanic is the exit status of a process that ends itself, as the runtime's is.
	exitPanic = 2
	// flushMost is how long a process that ends itself waits for its last lines to be
	// read.
	flushMost = time.Second
)

type (
	// panicReporter is how a process reports the panic that ends it.
	panicReporter struct {
		log  *zap.Logger
		out  *AsyncWriter
		role func() string
	}

	// Group is a WaitGroup whose goroutines leave a line in the log before a panic ends the
	// process.
	Group struct{ sync.WaitGroup }
)

var reporter atomic.Pointer[panicReporter]

// ReportPanics makes a panic leave its reason and stack as one line of log, with the role that
// the process has then, before it ends the process.
func ReportPanics(log *zap.Logger, out *AsyncWriter, role func() string) {
	reporter.Store(&panicReporter{log, out, role})
}

// Go runs f, as sync.WaitGroup does.
func (g *Group) Go(f func()) {
	g.WaitGroup.Go(func() {
		defer ExitOnPanic()
		f()
	})
}

// ExitOnPanic is deferred by whatever runs apart. State that may be wrong is not served on: the
// process ends.
func ExitOnPanic() {
	if reason := recover(); reason != nil {
		end(reason)
	}
}

// PanicHandler answers by h. The server's own recovery would serve on after a panic.
func PanicHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			switch reason := recover(); reason {
			case nil:
			case http.ErrAbortHandler: //nolint:errorlint // the value that the server knows
				panic(reason)
			default:
				end(reason)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func end(reason any) {
	r := reporter.Load()
	if r == nil {
		panic(reason)
	}
	r.log.Error("panic", zap.String("role", r.role()), zap.String("reason", fmt.Sprint(reason)), zap.ByteString("stack", debug.Stack()))
	r.out.Flush(flushMost)
	os.Exit(exitPanic)
}
