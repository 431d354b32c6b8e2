package cflog_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"currantford/io/cflog"
)

// panicEnv tells the test binary, when it runs as a child process, where to panic.
const panicEnv = "CFLOG_PANIC"

func TestMain(m *testing.M) {
	if where := os.Getenv(panicEnv); where != "" {
		log, out := cflog.NewStdout("entry", "entry-1")
		cflog.ReportPanics(log, out, func() string { return "coordinator" })
		triggerPanic := func() { var m map[string]int; m["a"] = 1 } //nolint:staticcheck // the panic is intended
		var g cflog.Group
		g.Go(func() {
			if where == "goroutine" {
				triggerPanic()
			}
			h := cflog.PanicHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { triggerPanic() }))
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		})
		g.Wait()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestPanicIsLogged guards against a process that ends after a panic without the reason in its log.
func TestPanicIsLogged(t *testing.T) {
	for _, where := range []string{"goroutine", "handler"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), panicEnv+"="+where)
		out, err := cmd.Output()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Fatalf("%s: %v", where, err)
		}
		var line struct {
			Level, Msg, ID, Role, Reason, Stack string
		}
		if err := json.Unmarshal(out, &line); err != nil {
			t.Fatalf("%s: %v in %q", where, err, out)
		}
		if line.Msg != "panic" || line.ID != "entry-1" || line.Role != "coordinator" || !strings.Contains(line.Reason, "nil map") || !strings.Contains(line.Stack, "crash_test.go") {
			t.Errorf("%s: %+v", where, line)
		}
	}
}

// TestAbortHandlerPanicIsPassedOn checks that a handler that aborts an answer ends its connection,
// not the process.
func TestAbortHandlerPanicIsPassedOn(t *testing.T) {
	defer func() {
		if recover() != http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself
			t.Error("the panic was not passed on")
		}
	}()
	cflog.PanicHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })).ServeHTTP(nil, nil)
}
