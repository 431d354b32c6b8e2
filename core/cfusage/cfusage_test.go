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

// Symptom: a window's counts are not what was counted. Sequence: instances report at
// random, their reports are lost, come twice or in another order, counts are taken back,
// holders change, some of them after a restart from what their predecessor left.
func TestCountsSurviveWhatHappensToReports(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		truth := map[cf.UsageWindow]map[cf.Organisation]int64{}
		meters := map[cf.EntryID]*Meter{}
		for i := range 4 {
			e := cf.EntryID(fmt.Sprint("e", i))
			meters[e] = NewMeter(Source{Entry: e, Start: uint32(i)}, length)
		}
		account, term := NewAggregator(length), cf.Revision(1)
		var held []MeterReport
		deliver := func() {
			for _, i := range r.Perm(len(held)) {
				if r.IntN(4) > 0 {
					account.Add(held[i])
				}
			}
			held = held[len(held)/2:]
		}
		for range 200 {
			e := cf.EntryID(fmt.Sprint("e", r.IntN(4)))
			o, at := cf.Organisation(fmt.Sprint("o", r.IntN(3))), length*10+cf.Millis(r.IntN(int(3*length)))
			n := int64(1)
			if r.IntN(5) == 0 {
				n = -1
			}
			meters[e].Count(o, at, n)
			w := cf.WindowOf(at, length)
			if truth[w] == nil {
				truth[w] = map[cf.Organisation]int64{}
			}
			if truth[w][o] += n; truth[w][o] == 0 {
				delete(truth[w], o)
			}
			switch r.IntN(6) {
			case 0:
				held = append(held, meters[e].Report(term, at))
			case 1:
				report := meters[e].Report(term, at)
				account.Add(report)
				if r.IntN(2) == 0 {
					meters[e].Acknowledge(term, report)
				}
			case 2:
				deliver()
			case 3:
				if r.IntN(4) == 0 { // another holder
					base := account.Snapshot()
					account, term = NewAggregator(length), term+1
					if r.IntN(2) == 0 {
						account.Restore(throughJSON(t, base))
					}
					held = nil
				}
			}
		}
		for _, m := range meters {
			account.Add(m.Report(term, 0))
		}
		for w := cf.UsageWindow(10); w < 13; w++ {
			if got := account.Counts(w); !maps.Equal(got, truth[w]) {
				t.Fatalf("seed %d, window %d: %v, want %v", seed, w, got, truth[w])
			}
		}
	}
}

func throughJSON(t *testing.T, b Snapshot) Snapshot {
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

// What instances that are lost with their holder had told it is in what it left.
func TestCountsOfTheLostAreInTheBase(t *testing.T) {
	lost, lives := NewMeter(Source{"a", 1}, length), NewMeter(Source{"b", 2}, length)
	lost.Count("o", length+10, 3)
	lives.Count("o", length+10, 2)
	lives.Count("p", 2*length, 1)
	before := NewAggregator(length)
	before.Add(lost.Report(1, length+20))
	before.Add(lives.Report(1, length+20))
	after := NewAggregator(length)
	after.Restore(throughJSON(t, before.Snapshot()))
	lives.Count("o", length+30, 1)
	after.Add(lives.Report(2, length+40))
	if got := after.Counts(1); got["o"] != 6 {
		t.Errorf("window 1: %v", got)
	}
	if got := after.Counts(2); got["p"] != 1 {
		t.Errorf("window 2: %v", got)
	}
	if after.Complete(1) {
		t.Error("complete though an instance that lives has not reported its end")
	}
	after.Add(lives.Report(2, 2*length+grace))
	if !after.Complete(1) {
		t.Error("an instance that is lost is waited for")
	}
}

// A window waits for those that are expected, and not beyond its time; what comes after
// its report is late.
func TestAWindowWaitsForItsInstances(t *testing.T) {
	terms := WindowTiming{Length: length, MaxWait: 4_000, RetryDelay: 400}
	a, k := NewAggregator(length), NewReporter(terms)
	a.Expect("a", 6_000)
	m := NewMeter(Source{Entry: "a"}, length)
	m.Count("o", 9_999, 1)
	if s := k.Next(11_000, a); s.Kind != Read {
		t.Fatalf("%+v before it is known what lies in the store", s)
	}
	k.InitOutbox(6_000, a)
	if s := k.Next(13_999, a); s.Kind != Wait {
		t.Errorf("%+v while an instance is waited for", s)
	}
	if s := k.Next(14_000, a); s.Kind != Write || s.Outbox.Settled != 1 || len(s.Outbox.Pending) != 1 {
		t.Errorf("%+v when its time is up", s)
	}
	a.Add(m.Report(1, 2*length+grace))
	s := k.Next(11_000, a)
	if s.Kind != Write || s.Outbox.Pending[0].Counts["o"] != 1 {
		t.Fatalf("%+v when all have reported", s)
	}
	k.SetOutbox(s.Outbox, 7)
	a.Settle(k.Settled())
	if s := k.Next(11_000, a); s.Kind != Send || s.Report.Counts["o"] != 1 {
		t.Fatalf("%+v after it is kept", s)
	}
	k.NotSent(1, 11_000)
	if s := k.Next(11_399, a); s.Kind != Wait {
		t.Errorf("%+v just after a report was not taken", s)
	}
	if s := k.Next(11_400, a); s.Kind != Send {
		t.Errorf("%+v later", s)
	}
	k.Sent(1)
	m.Count("o", 9_000, 1)
	if late := a.Add(m.Report(1, 12_000)); len(late) != 1 {
		t.Errorf("counts of a window that was reported: %v", late)
	}
	m.Settle(1)
	if m.Count("o", 9_000, 1) {
		t.Error("an instance counts for a window that was reported")
	}
}

// Symptom: a third of the counts is in the wrong windows. Sequence: the clocks of a third
// of the instances step by 2 s, and back; the holder's may be among them; messages take
// up to 60 ms.
func TestClocksThatStep(t *testing.T) {
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
					told := clocks.Now(wall(0, now), uptime(0, now))
					all[i].Adjust(told, wall(i, now+60), uptime(i, now+60))
				}
				for i := range all {
					later := now + 90 // it may have stepped since
					if off := all[i].Now(wall(i, later), uptime(i, later)) - later; off < -130 || off > 130 {
						t.Fatalf("instance %d at %d is off by %d ms (steps of %d, the holder's %d)", i, now, off, step, holderSteps)
					}
				}
			}
		}
	}
}

// A report has the same bytes whenever it is encoded.
func TestReportsAreTheSameBytes(t *testing.T) {
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
		t.Errorf("%s, then %s, %v", first, again, err)
	}
}
