package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantford/platform/standin"
)

// firstCrashSeed is the first seed in which targets crash, by themselves and under requests that
// are sent again and again to any entry.
const firstCrashSeed = 4000

// crashingBodies are the bodies of the requests that crash targets.
var crashingBodies = []string{
	standin.CrashingBody + " soak 1", standin.CrashingBody + " soak 2", standin.CrashingBody + " soak 3",
}

// sendCrashing sends requests that crash targets, each with its caller's retry.
func (s *soak) sendCrashing(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		body := crashingBodies[s.intN(len(crashingBodies))]
		for try := range 2 {
			e := s.entries[s.intN(len(s.entries))]
			status, _ := standin.Call(context.WithoutCancel(ctx), e.callerAddr, http.MethodPost, host, plainPrefix+"x", fmt.Sprintf("crash-%d-%d", n, try), []byte(body))
			if status/100 == 2 {
				break
			}
		}
		time.Sleep(s.duration(100, 900))
	}
}

// crashTarget crashes a target with all its runs, without a request as the cause.
func (s *soak) crashTarget() {
	targets := append(append([]*standin.Engine{}, s.engines...), s.plainTargets...)
	targets[s.intN(len(targets))].ForceCrash()
}

// checkCrashes checks that no crashing request was sent forever, and that no bid was refused as
// quarantined because of crashes of targets that ran it; all bids are identical.
func (s *soak) checkCrashes(t *testing.T) {
	t.Helper()
	for _, body := range crashingBodies {
		crashes := s.crashesOf(body)
		if len(crashes) >= 3 {
			s.checkQuarantined(body)
		}
		t.Logf("%d targets crashed under %q", len(crashes), body)
	}
	for id, answer := range s.heldBids {
		t.Errorf("bid %s was refused as quarantined: %s", id, answer)
	}
}

func isHeld(body []byte) bool { return strings.Contains(string(body), "the request is held") }
