//go:build review

package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases are the programs of the scripts. Each returns whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){}

// TestMain runs the case that CASE names and writes record.txt into the working folder. It exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func TestMain(_ *testing.M) { os.Exit(runCase()) }

func runCase() int {
	f := cases[os.Getenv("CASE")]
	if f == nil {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	rec, trouble := newRecorder(), os.Getenv("TROUBLE") != "0"
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := f(rec, trouble)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-stop:
		o.err = errors.New("stopped") // the processes end with this one
	case <-time.After(110 * time.Second):
		o.err = errors.New("no end in 110 s")
	}
	verdict := "the rule held"
	switch {
	case o.err != nil:
		verdict = "the case could not run: " + o.err.Error()
	case o.broken:
		verdict = "the rule was broken"
	}
	rec.add("trouble: %t; %s", trouble, verdict)
	fmt.Println(verdict)
	if err := rec.write("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case o.err != nil:
		return 2
	case o.broken:
		return 1
	}
	return 0
}
