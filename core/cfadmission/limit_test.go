package cfadmission_test

import (
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfadmission"
)

// targetsOf returns targets with six slots.
func targetsOf(ids ...cf.InstanceID) (list []cf.Target) {
	for _, id := range ids {
		list = append(list, cf.Target{ID: id, Service: "s", Slots: slots})
	}
	return list
}

// request returns a request that has just arrived at the only instance.
func request(list []cf.Target, now cf.Millis) cfadmission.Request {
	return cfadmission.Request{Service: "s", Targets: list, Instances: 1, Objective: 1000, Arrived: now, Deadline: now + 2000}
}

// refuseOne makes a target refuse a request, which activates limits.
func refuseOne(c *cfadmission.Controller, list []cf.Target, id cf.InstanceID, now cf.Millis) {
	c.Sent(c.Enter(request(list, now), now), id, now)
	c.Done("s", id, cfadmission.Result{Outcome: cfadmission.Refused}, now)
}

// refuseWithLoad makes target a refuse a request while only a few requests wait there.
func refuseWithLoad(c *cfadmission.Controller, list []cf.Target, now cf.Millis) {
	c.Sent(c.Enter(request(list, now), now), "a", now)
	c.Done("s", "a", cfadmission.Result{Outcome: cfadmission.Refused, Load: &cf.TargetLoad{Running: slots, Waiting: 5, Slots: slots}}, now)
}

// hedge returns a request that is sent only if it does not have to wait.
func hedge(list []cf.Target, now cf.Millis) cfadmission.Request {
	a := request(list, now)
	a.Retry, a.NoWait = true, true
	return a
}

// TestLimitsEndWhenTargetsAreIdle guards against limits that prolong themselves. The fault arises
// if a target without recent reports is limited for longer than its service: its next answer then
// prolongs the limits of the service.
func TestLimitsEndWhenTargetsAreIdle(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a", "b", "c", "d", "e", "f")
	for now := cf.Millis(1000); now < 3000; now += 100 {
		refuseOne(c, list, list[now/100%6].ID, now)
	}
	random, limited := rand.New(rand.NewPCG(1, 2)), cf.Millis(0)
	for n := range cf.Millis(300) {
		now := 3000 + 200*n
		ticket := c.Enter(request(list, now), now)
		v := c.Poll(ticket, now)
		if v.Limited {
			limited = now
		}
		if v.State != cfadmission.Send {
			c.Cancel(ticket)
			continue
		}
		id := list[random.IntN(len(list))].ID
		c.Sent(ticket, id, now)
		c.Done("s", id, cfadmission.Result{Load: &cf.TargetLoad{Running: 1, Slots: slots}, Took: 25}, now+25)
	}
	if limited > 10000 {
		t.Errorf("limits were active at %d ms; the last refusal was at 2900 ms", limited)
	}
}

// TestRetryDoesNotBlockTargetItHasTried guards against a waiting retry that blocks other requests
// from the target that has failed it.
func TestRetryDoesNotBlockTargetItHasTried(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a", "b")
	refuseOne(c, list, "b", 1000)
	c.Poll(c.Enter(request(list, 1000), 1000), 1000) // starts to fill the token bucket of a
	refuseOne(c, list, "b", 2000)
	retry := request(list, 2000)
	retry.Retry, retry.Tried = true, map[cf.InstanceID]bool{"a": true}
	if v := c.Poll(c.Enter(retry, 2000), 2000); v.State != cfadmission.Wait {
		t.Fatalf("the retry does not wait: %+v", v)
	}
	if v := c.Poll(c.Enter(request(list, 2000), 2000), 2000); v.State != cfadmission.Send {
		t.Errorf("another request was not sent: %+v", v)
	}
}

// TestRequestThatMayHaveRunDoesNotBlockCrowdedTarget guards against a request that may have run and
// keeps other requests from a target while it waits for that target's long queue to shorten.
func TestRequestThatMayHaveRunDoesNotBlockCrowdedTarget(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a")
	c.Sent(c.Enter(request(list, 1000), 1000), "a", 1000)
	c.Done("s", "a", cfadmission.Result{Load: &cf.TargetLoad{Running: slots, Waiting: 23, Slots: slots}, Took: 168}, 1000)
	mayHaveRun := request(list, 1035)
	mayHaveRun.MayHaveRun = true
	if v := c.Poll(c.Enter(mayHaveRun, 1035), 1035); v.State != cfadmission.Wait {
		t.Fatalf("the request that may have run does not wait: %+v", v)
	}
	if v := c.Poll(c.Enter(request(list, 1035), 1035), 1035); v.State != cfadmission.Send {
		t.Errorf("another request was not sent: %+v", v)
	}
}

// TestOnlySendsSpendRetryBudget guards against spending the retry budget on retries that are not
// sent.
func TestOnlySendsSpendRetryBudget(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a", "b")
	refuseOne(c, list, "a", 1000)
	retry := request(list, 1000)
	retry.Retry, retry.Tried = true, map[cf.InstanceID]bool{"a": true}
	for n := range 30 {
		if !c.MayRetry("s", false, 1000) {
			t.Fatalf("retry refused after %d retries that were not sent", n)
		}
		c.Cancel(c.Enter(retry, 1000))
	}
	for range 30 {
		c.Sent(c.Enter(retry, 1000), "b", 1000)
	}
	if c.MayRetry("s", false, 1000) {
		t.Error("retry allowed after 30 retries that were sent")
	}
}

// TestHedgeDoesNotEnterTheQueue guards against a hedge that takes a place in the queue, or
// displaces a waiting request.
func TestHedgeDoesNotEnterTheQueue(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a")
	refuseWithLoad(c, list, 1000)
	var waiting []*cfadmission.Ticket
	for range 3 {
		ticket := c.Enter(request(list, 1000), 1000)
		if v := c.Poll(ticket, 1000); v.State != cfadmission.Wait {
			t.Fatalf("a request should wait: %+v", v)
		}
		waiting = append(waiting, ticket)
	}
	if v := c.Poll(c.Enter(hedge(list, 1000), 1000), 1000); v.State != cfadmission.Refuse || v.Reason != cfadmission.NoCapacity || v.Waiting != len(waiting) {
		t.Errorf("hedge: %+v with %d requests waiting", v, len(waiting))
	}
	for n, ticket := range waiting {
		if v := c.Poll(ticket, 1000); v.State != cfadmission.Wait {
			t.Errorf("request %d waits no longer: %+v", n, v)
		}
	}
}

// TestRefusedHedgeDoesNotRaiseTheRate guards against a refused hedge counting as a throttled
// request, which raises the rate.
func TestRefusedHedgeDoesNotRaiseTheRate(t *testing.T) {
	perMs := func(hedges bool) float64 {
		c, list := cfadmission.New(), targetsOf("a")
		refuseWithLoad(c, list, 1000)
		c.Poll(c.Enter(request(list, 1000), 1000), 1000)
		c.Sent(c.Enter(request(list, 2000), 2000), "a", 2000)
		if refuseWithLoad(c, list, 2000); hedges {
			c.Poll(c.Enter(hedge(list, 2000), 2000), 2000)
		}
		c.Done("s", "a", cfadmission.Result{Load: &cf.TargetLoad{Slots: slots}, Took: 100}, 2100)
		perMs, _ := c.Throughput("s", 2100)
		return perMs
	}
	if with, without := perMs(true), perMs(false); with != without {
		t.Errorf("%.5f requests per ms, %.5f without the hedge", with, without)
	}
}

// TestFailuresDoNotCountAsServiceTime guards against immediate failures lowering the measured
// service time, which raises the rate.
func TestFailuresDoNotCountAsServiceTime(t *testing.T) {
	c, list := cfadmission.New(), targetsOf("a")
	answer := func(status int, took cf.Millis) {
		c.Sent(c.Enter(request(list, 1000), 1000), "a", 1000)
		c.Done("s", "a", cfadmission.Result{Status: status, Load: &cf.TargetLoad{Running: 1, Slots: slots}, Took: took}, 1000)
	}
	for range 50 {
		answer(200, 50)
	}
	refuseOne(c, list, "a", 1000)
	_, before := c.Throughput("s", 1000)
	for range 50 {
		answer(500, 1)
	}
	if _, after := c.Throughput("s", 1000); after != before {
		t.Errorf("service time of %.1f ms, %.1f ms before the failures", after, before)
	}
}

// TestListingSetsSlotsOfKnownTarget guards against a target keeping a single slot because it was
// sent a request before it was listed.
func TestListingSetsSlotsOfKnownTarget(t *testing.T) {
	perMs := func(seen bool) float64 {
		c, list := cfadmission.New(), targetsOf("a")
		if seen {
			refuseOne(c, nil, "a", 1000)
		}
		refuseOne(c, list, "a", 10000)
		perMs, _ := c.Throughput("s", 10000)
		return perMs
	}
	if seen, unseen := perMs(true), perMs(false); seen < unseen/2 {
		t.Errorf("%.4f requests per ms, %.4f if the target was listed first", seen, unseen)
	}
}
