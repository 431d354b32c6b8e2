package cfadmission

import (
	"math"
	"slices"

	cf "currantford"
)

type (
	// Class is an organisation at a priority; 0 is the highest priority.
	Class struct {
		Organisation cf.Organisation
		Priority     int
	}

	// share is what one class requests and is served at this instance.
	share struct {
		class Class
		// demand and served are recent rates per ms, as of updatedAt.
		demand, served float64
		updatedAt      cf.Millis
		// capped is true if the class requests more than its share. allowed is that share as a rate
		// per ms, and credit its unused part in requests, as of creditAt.
		capped   bool
		rank     int // position of its priority among those present
		allowed  float64
		credit   float64
		creditAt cf.Millis
	}

	// shares divide an instance's rate for a service among organisations: by priority, and within a
	// priority by max-min fairness, that is, classes with a small demand get all of it and the
	// others get equal parts of the rest.
	shares struct {
		classes   map[Class]*share
		sorted    []*share
		dividedAt cf.Millis
		// contended is true if the total demand exceeds the capacity.
		contended bool
	}

	// tier is the standing of a request's organisation relative to its share.
	tier int
)

const (
	// underShare: the organisation requests less than its share.
	underShare tier = iota
	// withinShare: the organisation requests more, and this request is within its share.
	withinShare
	// overShare: this request exceeds the organisation's share.
	overShare
	// noShare: higher priorities leave no capacity for this one.
	noShare
)

const (
	// rateSpan is the time constant of the rates, in ms: with 51 instances and 73 organisations, an
	// instance receives a request of a given organisation only every few seconds.
	rateSpan = 2000.0
	// divideInterval is the interval at which shares are recalculated.
	divideInterval cf.Millis = 200
	// maxCredit bounds the credit of a class, in requests.
	maxCredit = 1.5
	// forgetClassAfter is how long after the last update of its rates a class is dropped.
	forgetClassAfter cf.Millis = 10000
)

func newShares() *shares { return &shares{classes: map[Class]*share{}} }

func (s *shares) shareOf(c Class, now cf.Millis) *share {
	x := s.classes[c]
	if x == nil {
		x = &share{class: c, updatedAt: now, credit: maxCredit, creditAt: now}
		s.classes[c] = x
	}
	return x
}

// decay reduces the rates by the time since updatedAt.
func (x *share) decay(now cf.Millis) {
	if now > x.updatedAt {
		f := math.Exp(-float64(now-x.updatedAt) / rateSpan)
		x.demand, x.served, x.updatedAt = x.demand*f, x.served*f, now
	}
}

// recordArrival counts a request that arrives for the first time. Resubmitted requests are not
// counted, as they would overstate the organisation's demand.
func (x *share) recordArrival(now cf.Millis) {
	x.decay(now)
	x.demand += 1 / rateSpan
}

// recordSend counts a request that is sent.
func (x *share) recordSend(now cf.Millis) {
	x.decay(now)
	x.served += 1 / rateSpan
	if x.capped {
		x.accrueCredit(now)
		x.credit = max(x.credit-1, -1)
	}
}

// accrueCredit adds the credit accrued since creditAt.
func (x *share) accrueCredit(now cf.Millis) {
	x.credit = min(x.credit+x.allowed*float64(now-x.creditAt), maxCredit)
	x.creditAt = now
}

// tierOf returns the current tier of a class.
func (s *shares) tierOf(x *share, now cf.Millis) tier {
	switch {
	case !s.contended:
		return withinShare
	case !x.capped:
		return underShare
	}
	if x.accrueCredit(now); x.credit >= 1 {
		return withinShare
	}
	if x.allowed <= 0 {
		return noShare
	}
	return overShare
}

// divide recalculates the shares once per divideInterval. capacity is the rate per ms at which the
// instance may send.
func (s *shares) divide(capacity float64, now cf.Millis) {
	if s.dividedAt > 0 && now-s.dividedAt < divideInterval {
		return
	}
	s.dividedAt = now
	s.sorted = s.sorted[:0]
	total := 0.0
	for c, x := range s.classes {
		if now-x.updatedAt > forgetClassAfter {
			delete(s.classes, c)
			continue
		}
		x.decay(now)
		total += x.demand
		s.sorted = append(s.sorted, x)
	}
	s.contended = total > capacity
	slices.SortFunc(s.sorted, func(a, b *share) int {
		switch {
		case a.class.Priority != b.class.Priority:
			return a.class.Priority - b.class.Priority
		case a.demand < b.demand:
			return -1
		case a.demand > b.demand:
			return 1
		}
		return 0
	})
	for i, rank := 0, 0; i < len(s.sorted); rank++ {
		n := i
		for n < len(s.sorted) && s.sorted[n].class.Priority == s.sorted[i].class.Priority {
			s.sorted[n].rank = rank
			n++
		}
		capacity = divideMaxMin(s.sorted[i:n], max(capacity, 0), now)
		i = n
	}
}

// divideMaxMin divides a capacity among classes of one priority, sorted by demand, and returns what
// is left.
func divideMaxMin(classes []*share, capacity float64, now cf.Millis) float64 {
	for i, x := range classes {
		even := capacity / float64(len(classes)-i)
		if x.demand <= even {
			x.capped = false
			capacity -= x.demand
			continue
		}
		for _, y := range classes[i:] {
			if !y.capped {
				y.capped, y.creditAt = true, now
			}
			y.accrueCredit(now)
			y.allowed = even
		}
		return 0
	}
	return capacity
}
