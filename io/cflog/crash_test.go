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

// panicEnv tells this test's binary, as a process of its own, where to panic.
const panicEnv = "CFLOG_PANIC"

func TestMain(m *testing.M) {
	if where := os.Getenv(panicEnv); where != "" {
		log, out := cflog.NewStdout("entry", "entry-1")
		cflog.ReportPanics(log, out, func() string { return "coordinator" })
		fail := func() { var m map[string]int; m["a"] = 1 } //nolint:staticcheck // it is to panic
		var g cflog.Group
		g.Go(func() {
			if where == "goroutine" {
				fail()
			}
			h := cflog.PanicHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { fail() }))
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		})
		g.Wait()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A process that ends by itself leaves no reason where its log is kept.
func TestPanicLeavesItsReasonInTheLog(t *testing.T) {
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

// A handler that breaks an answer off ends its connection, not the process.
func TestBrokenOffAnswersArePassedOn(t *testing.T) {
	defer func() {
		if recover() != http.ErrAbortHandler { //nolint:errorlint // the value that the server knows
			t.Error("another panic, or none")
		}
	}()
	cflog.PanicHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })).ServeHTTP(nil, nil)
}
