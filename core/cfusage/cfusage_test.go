package cfusage

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	cf "currantford"
)

const length cf.Millis = 5_000

// TestCountsSurviveReportFaults guards against totals of a window that differ from what was
// counted. Instances report at random; reports are lost, duplicated or reordered; counts are
// corrected downwards; and holders change, some of them restoring the snapshot of their
// predecessor.
func TestCountsSurviveReportFaults(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		truth := map[cf.UsageWindow]map[cf.Organisation]int64{}
		meters := map[cf.EntryID]*Meter{}
		for i := range 4 {
			e := cf.EntryID(fmt.Sprint("e", i))
			meters[e] = NewMeter(Source{Entry: e, Start: uint32(i)}, length)
		}
		aggregator, term := NewAggregator(length), cf.Revision(1)
		var inFlight []MeterReport
		deliver := func() {
			for _, i := range r.Perm(len(inFlight)) {
				if r.IntN(4) > 0 {
					aggregator.Add(inFlight[i])
				}
			}
			inFlight = inFlight[len(inFlight)/2:]
		}
		for range 200 {
			e := cf.EntryID(fmt.Sprint("e", r.IntN(4)))
			o, at := cf.Organisation(fmt.Sprint("o", r.IntN(3))), length*10+cf.Millis(r.IntN(int(3*length)))
			n := int64(1)
			if r.IntN(5) == 0 {
				n = -1
			}
			meters[e].Count(o, at, n)
			w := cf.UsageWindowAt(at, length)
			if truth[w] == nil {
				truth[w] = map[cf.Organisation]int64{}
			}
			if truth[w][o] += n; truth[w][o] == 0 {
				delete(truth[w], o)
			}
			switch r.IntN(6) {
			case 0:
				inFlight = append(inFlight, meters[e].Report(term, at))
			case 1:
				report := meters[e].Report(term, at)
				aggregator.Add(report)
				if r.IntN(2) == 0 {
					meters[e].Acknowledge(term, report)
				}
			case 2:
				deliver()
			case 3:
				if r.IntN(4) == 0 { // The holder changes.
					snapshot := aggregator.Snapshot()
					aggregator, term = NewAggregator(length), term+1
					if r.IntN(2) == 0 {
						aggregator.Restore(roundTripJSON(t, snapshot))
					}
					inFlight = nil
				}
			}
		}
		for _, m := range meters {
			aggregator.Add(m.Report(term, 0))
		}
		for w := cf.UsageWindow(10); w < 13; w++ {
			if got := aggregator.Counts(w); !maps.Equal(got, truth[w]) {
				t.Fatalf("seed %d, window %d: %v, want %v", seed, w, got, truth[w])
			}
		}
	}
}

func roundTripJSON(t *testing.T, b Snapshot) Snapshot {
	t.Helper()
	raw, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	var out Snapshot
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestSnapshotKeepsCountsOfLostInstances checks that the counts of instances that are lost together
// with the holder are in the snapshot that the holder leaves.
func TestSnapshotKeepsCountsOfLostInstances(t *testing.T) {
	lost, running := NewMeter(Source{"a", 1}, length), NewMeter(Source{"b", 2}, length)
	lost.Count("o", length+10, 3)
	running.Count("o", length+10, 2)
	running.Count("p", 2*length, 1)
	before := NewAggregator(length)
	before.Add(lost.Report(1, length+20))
	before.Add(running.Report(1, length+20))
	after := NewAggregator(length)
	after.Restore(roundTripJSON(t, before.Snapshot()))
	running.Count("o", length+30, 1)
	after.Add(running.Report(2, length+40))
	if got := after.Counts(1); got["o"] != 6 {
		t.Errorf("window 1: %v, want 6 of o", got)
	}
	if got := after.Counts(2); got["p"] != 1 {
		t.Errorf("window 2: %v, want 1 of p", got)
	}
	if after.Complete(1) {
		t.Error("complete although a running instance has not reported beyond the end of the window")
	}
	after.Add(running.Report(2, 2*length+grace))
	if !after.Complete(1) {
		t.Error("a lost instance is still waited for")
	}
}

// TestWindowWaitsForItsInstances checks that a window waits for the expected instances, but no
// longer than its maximum wait, and that counts arriving after its report are late.
func TestWindowWaitsForItsInstances(t *testing.T) {
	timing := WindowTiming{Length: length, MaxWait: 4_000, RetryDelay: 400}
	a, r := NewAggregator(length), NewReporter(timing)
	a.Expect("a", 6_000)
	m := NewMeter(Source{Entry: "a"}, length)
	m.Count("o", 9_999, 1)
	if s := r.Next(11_000, a); s.Kind != Read {
		t.Fatalf("step %+v before the outbox is read, want Read", s)
	}
	r.InitOutbox(6_000, a)
	if s := r.Next(13_999, a); s.Kind != Wait {
		t.Errorf("step %+v while an instance is waited for, want Wait", s)
	}
	if s := r.Next(14_000, a); s.Kind != Write || s.Outbox.Settled != 1 || len(s.Outbox.Pending) != 1 {
		t.Errorf("step %+v after the maximum wait, want Write of window 1", s)
	}
	a.Add(m.Report(1, 2*length+grace))
	s := r.Next(11_000, a)
	if s.Kind != Write || s.Outbox.Pending[0].Counts["o"] != 1 {
		t.Fatalf("step %+v after all instances have reported, want Write with their counts", s)
	}
	r.SetOutbox(s.Outbox, 7)
	a.Settle(r.Settled())
	if s := r.Next(11_000, a); s.Kind != Send || s.Report.Counts["o"] != 1 {
		t.Fatalf("step %+v after the outbox is written, want Send", s)
	}
	r.NotSent(1, 11_000)
	if s := r.Next(11_399, a); s.Kind != Wait {
		t.Errorf("step %+v before the retry delay has passed, want Wait", s)
	}
	if s := r.Next(11_400, a); s.Kind != Send {
		t.Errorf("step %+v after the retry delay, want Send", s)
	}
	r.Sent(1)
	m.Count("o", 9_000, 1)
	if late := a.Add(m.Report(1, 12_000)); len(late) != 1 {
		t.Errorf("late windows %v, want the one that has been reported", late)
	}
	m.Settle(1)
	if m.Count("o", 9_000, 1) {
		t.Error("an instance still counts for a reported window")
	}
}

// TestMedianClockWithSteppingClocks guards against a third of the counts being assigned to wrong
// windows. The clocks of a third of the instances, which may include the holder's, step by 2 s and
// back, and messages take up to 60 ms.
func TestMedianClockWithSteppingClocks(t *testing.T) {
	for _, step := range []cf.Millis{2_000, -2_000} {
		for holderSteps := range 2 {
			var clocks MedianClock
			const n = 9
			all := make([]Clock, n)
			uptime := func(i int, now cf.Millis) cf.Millis { return now - cf.Millis(i)*777 }
			wall := func(i int, now cf.Millis) cf.Millis {
				if i%3 == 1-holderSteps && now >= 20_000 && now < 40_000 {
					return now + step
				}
				return now + cf.Millis(i%5) - 2
			}
			for now := cf.Millis(10_000); now < 60_000; now += 100 {
				for i := range all {
					clocks.Record(cf.EntryID(fmt.Sprint(i)), wall(i, now-60), uptime(0, now))
					reference := clocks.Now(wall(0, now), uptime(0, now))
					all[i].Adjust(reference, wall(i, now+60), uptime(i, now+60))
				}
				for i := range all {
					later := now + 90 // The clock may have stepped since.
					if off := all[i].Now(wall(i, later), uptime(i, later)) - later; off < -130 || off > 130 {
						t.Fatalf("instance %d at %d is off by %d ms (clocks step by %d ms, case %d of the holder)", i, now, off, step, holderSteps)
					}
				}
			}
		}
	}
}

// TestReportEncodingIsStable checks that a report always has the same bytes when it is encoded.
func TestReportEncodingIsStable(t *testing.T) {
	counts := map[cf.Organisation]int64{}
	for i := range 50 {
		counts[cf.Organisation(fmt.Sprint("o", i))] = int64(i)
	}
	first, err := json.Marshal(cf.UsageReport{Window: 1, Counts: counts})
	if err != nil {
		t.Fatal(err)
	}
	var back cf.UsageReport
	if err := json.Unmarshal(first, &back); err != nil {
		t.Fatal(err)
	}
	if again, err := json.Marshal(back); err != nil || string(again) != string(first) {
		t.Errorf("encoded as %s, then as %s, error %v", first, again, err)
	}
}
