package limit_test

import (
	"slices"
	"time"

	"lentilbend.example/internal/limit"
)

// Times of edits in random schedules.
const (
	editLag     = 2 * time.Second
	removedFor  = 4 * time.Second
	tokensValid = 1500 * time.Millisecond
)

// scale edits every row by one factor. What may be used is the greater of both
// tables until all VMs have the new one and tokens of before have ended.
func (s *schedule) scale(factor float64) {
	w := s.world
	specs := slices.Clone(s.base)
	s.edits++
	n := s.edits
	for i := range specs {
		p := &specs[i]
		p.Rate, p.Burst, p.Units = s.base[i].Rate*factor, s.base[i].Burst*factor, int(float64(s.base[i].Units)*factor)
		c := s.checkers[p.Key]
		c.SetSpec(w.Now(), limit.Spec{
			Rate: max(c.Rate, p.Rate), Burst: max(c.Burst, p.Burst), Units: max(c.Permits, p.Units),
		})
	}
	w.SetSpecs(specs, editLag)
	w.At(w.Now()+editLag+tokensValid+longestWork, func() {
		if s.edits != n {
			return
		}
		for _, p := range specs {
			s.checkers[p.Key].SetSpec(w.Now(), p)
		}
	})
}

// removeRows takes all rows out for a while. That must not bring tokens.
func (s *schedule) removeRows() {
	w := s.world
	specs := w.Specs
	s.edits++
	n := s.edits
	w.SetSpecs(nil, editLag)
	w.At(w.Now()+removedFor, func() {
		if s.edits == n {
			w.SetSpecs(specs, editLag)
		}
	})
}
