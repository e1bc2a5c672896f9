package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"
)

// sequenceLength is the number of steps in each sequence of the search.
const sequenceLength = 5

// searchState is one state of the search, with an owner and a delegator.
type searchState struct {
	*pair
	spec  limit.Spec
	now   time.Time
	check *virtual.Checker
	start time.Time
}

// steps are the events that a sequence is made of.
var steps = []func(s *searchState){
	func(s *searchState) { s.owner.Tick(s.now) },
	func(s *searchState) { s.delegator.Tick(s.now) },
	func(s *searchState) { s.deliverToOwner(false) },
	func(s *searchState) { s.deliverToOwner(true) },
	func(s *searchState) { s.deliverToDelegator() },
	func(s *searchState) { s.now = s.now.Add(1600 * time.Millisecond) },
	func(s *searchState) { s.drain(s.owner) },
	func(s *searchState) { s.drain(s.delegator) },
	func(s *searchState) { s.pauseOwner() },
}

// newSearchState returns a fleet of two VMs with full buckets and, in flight, the
// renewal that begins the delegation.
func newSearchState() *searchState {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 1, Burst: 6}
	s := &searchState{pair: newPair(t, p), spec: p, start: t, now: t.Add(10 * time.Second)}
	s.check = &virtual.Checker{Rate: p.Rate, Burst: p.Burst}
	s.delegate(s.now)
	s.toOwner = s.toOwner[len(s.toOwner)-1:]
	s.toDelegator = nil
	return s
}

// deliverToOwner delivers the oldest message to the owner. If duplicate is set, the
// message stays in flight and is delivered again later.
func (s *searchState) deliverToOwner(duplicate bool) {
	if len(s.toOwner) == 0 {
		return
	}
	m := s.toOwner[0]
	if !duplicate {
		s.toOwner = s.toOwner[1:]
	}
	s.owner.Receive(s.now, s.delegator.Self, m)
}

func (s *searchState) deliverToDelegator() {
	if len(s.toDelegator) == 0 {
		return
	}
	m := s.toDelegator[0]
	s.toDelegator = s.toDelegator[1:]
	s.delegator.Receive(s.now, s.owner.Self, m)
}

// drain uses all tokens that a VM grants without another VM.
func (s *searchState) drain(f *limit.Fleet) {
	for ok := true; ok; {
		ok = false
		f.Take(s.now, s.spec.Key, s.now.Add(time.Second), func(a limit.Answer) {
			if _, ok = a.(limit.Granted); ok {
				s.check.RecordUse(s.now.Sub(s.start))
			}
		})
	}
}

func (s *searchState) pauseOwner() {
	s.owner.Pause(s.now)
	share(s.now, s.owner, s.delegator.Self)
}

// searchSequences runs every sequence of steps. It returns their number, or the
// first sequence that exceeds the limit.
func searchSequences() (sequences int, failed []int) {
	n := 1
	for range sequenceLength {
		n *= len(steps)
	}
	for i := range n {
		s := newSearchState()
		var is []int
		for k, r := 0, i; k < sequenceLength; k, r = k+1, r/len(steps) {
			is = append(is, r%len(steps))
			steps[r%len(steps)](s)
		}
		s.drain(s.owner)
		s.drain(s.delegator)
		if s.check.Violations > 0 {
			return i, is
		}
	}
	return n, nil
}

var _ = Describe("every short sequence of steps of an owner and a delegator", func() {
	It("stays within the limit", func() {
		n, bad := searchSequences()
		Expect(bad).To(BeEmpty())
		Expect(n).To(Equal(59049))
	})
})
