package limit_test

import (
	"slices"
	"time"

	"lentilbend.example/internal/limit"
)

// Timing of table edits in random schedules.
const (
	// editLag is the longest time until a VM has an edited table.
	editLag     = 2 * time.Second
	removalTime = 4 * time.Second
	// tokenValidity is longer than the validity of any granted token.
	tokenValidity = 1500 * time.Millisecond
)

// scale multiplies every row of the first table by factor. The checkers allow the
// greater of the old and the new limit until all VMs have the new table, the tokens
// granted before have expired and the requests that used them have ended.
func (s *schedule) scale(factor float64) {
	w := s.world
	specs := slices.Clone(s.base)
	s.edits++
	n := s.edits
	for i := range specs {
		p := &specs[i]
		p.Rate, p.Burst, p.Permits = s.base[i].Rate*factor, s.base[i].Burst*factor, int(float64(s.base[i].Permits)*factor)
		c := s.checkers[p.Key]
		c.SetSpec(w.Now(), limit.Spec{
			Rate: max(c.Rate, p.Rate), Burst: max(c.Burst, p.Burst), Permits: max(c.Permits, p.Permits),
		})
	}
	w.SetSpecs(specs, editLag)
	w.At(w.Now()+editLag+tokenValidity+maxRunTime, func() {
		if s.edits != n {
			return
		}
		for _, p := range specs {
			s.checkers[p.Key].SetSpec(w.Now(), p)
		}
	})
}

// removeRows removes all rows for removalTime. Limits that return to the table
// must not gain tokens by it.
func (s *schedule) removeRows() {
	w := s.world
	specs := w.Specs
	s.edits++
	n := s.edits
	w.SetSpecs(nil, editLag)
	w.At(w.Now()+removalTime, func() {
		if s.edits == n {
			w.SetSpecs(specs, editLag)
		}
	})
}
