package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"
)

// depth is how many steps each sequence of the search has.
const depth = 5

// small is one state of the search over a home and a lender.
type small struct {
	*pair
	spec  limit.Spec
	now   time.Time
	check *virtual.Checker
	start time.Time
}

// steps are what can happen next.
var steps = []func(s *small){
	func(s *small) { s.home.Tick(s.now) },
	func(s *small) { s.lender.Tick(s.now) },
	func(s *small) { s.deliverHome(false) },
	func(s *small) { s.deliverHome(true) },
	func(s *small) { s.deliverLender() },
	func(s *small) { s.now = s.now.Add(1600 * time.Millisecond) },
	func(s *small) { s.drain(s.home) },
	func(s *small) { s.drain(s.lender) },
	func(s *small) { s.pauseHome() },
}

// begin returns a fleet of two with full buckets, of which the renewal that
// lends is on its way.
func begin() *small {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 1, Burst: 6}
	s := &small{pair: newPair(t, p), spec: p, start: t, now: t.Add(10 * time.Second)}
	s.check = &virtual.Checker{Rate: p.Rate, Burst: p.Burst}
	s.lend(s.now)
	s.toHome = s.toHome[len(s.toHome)-1:]
	s.toLender = nil
	return s
}

// deliverHome hands the oldest message to the home; one that is kept comes
// again.
func (s *small) deliverHome(again bool) {
	if len(s.toHome) == 0 {
		return
	}
	m := s.toHome[0]
	if !again {
		s.toHome = s.toHome[1:]
	}
	s.home.Receive(s.now, s.lender.Self, m)
}

func (s *small) deliverLender() {
	if len(s.toLender) == 0 {
		return
	}
	m := s.toLender[0]
	s.toLender = s.toLender[1:]
	s.lender.Receive(s.now, s.home.Self, m)
}

// drain uses all that a VM gives by itself.
func (s *small) drain(f *limit.Fleet) {
	for ok := true; ok; {
		ok = false
		f.Take(s.now, s.spec.Key, s.now.Add(time.Second), func(a limit.Answer) {
			if _, ok = a.(limit.Granted); ok {
				s.check.RecordUse(s.now.Sub(s.start))
			}
		})
	}
}

func (s *small) pauseHome() {
	s.home.Pause(s.now)
	share(s.now, s.home, s.lender.Self)
}

// walk tries every sequence of steps and returns the first that passes the
// limit.
func walk() (sequences int, bad []int) {
	n := 1
	for range depth {
		n *= len(steps)
	}
	for i := range n {
		s := begin()
		var is []int
		for k, r := 0, i; k < depth; k, r = k+1, r/len(steps) {
			is = append(is, r%len(steps))
			steps[r%len(steps)](s)
		}
		s.drain(s.home)
		s.drain(s.lender)
		if s.check.Violations > 0 {
			return i, is
		}
	}
	return n, nil
}

var _ = Describe("every short sequence of steps of a home and a lender", func() {
	It("stays within the limit", func() {
		n, bad := walk()
		Expect(bad).To(BeEmpty())
		Expect(n).To(Equal(59049))
	})
})
