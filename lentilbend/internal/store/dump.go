package store

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// Dump is the state of a store.
type Dump struct {
	// Revision is the accepted revision.
	Revision uint64
	// Digest is the hash over the values in force.
	Digest uint64
	// Newest is the newest revision known, valid or not.
	Newest uint64
	// Refused is the newest invalid revision.
	Refused Refused
	// Values are the values in force, without their texts.
	Values []ValueDump
}

// ValueDump is one value in force.
type ValueDump struct {
	Name     string
	Revision uint64
	Bytes    int
}

// Dump returns the state of the store.
func (s *Store) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Revision: s.accepted.revision,
		Digest:   s.accepted.sum,
		Newest:   s.newest.revision,
		Refused:  s.refused,
	}
	for _, n := range slices.Sorted(maps.Keys(s.accepted.values)) {
		v := s.accepted.values[n]
		if !v.GetDeleted() {
			d.Values = append(d.Values, ValueDump{Name: n, Revision: v.GetRevision(), Bytes: len(v.GetText())})
		}
	}
	return d
}

// Register adds the store's metrics. InForce returns the revision that requests
// go by, or 0 while there is none.
func (s *Store) Register(r prometheus.Registerer, inForce func() uint64) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_revision",
			Help: "Revision of the table in force.",
		}, func() float64 { return float64(inForce()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_accepted_revision",
			Help: "Newest valid revision known.",
		}, func() float64 { return float64(s.Accepted().Revision) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_newest_revision",
			Help: "Newest revision known, valid or not.",
		}, func() float64 { return float64(s.Newest()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lentilbend_table_refusals_total",
			Help: "Revisions that were found invalid.",
		}, func() float64 { return float64(s.refusalCount()) }),
	)
}

func (s *Store) refusalCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}
