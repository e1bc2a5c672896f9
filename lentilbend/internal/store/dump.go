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
	// Digest is the hash of the accepted values.
	Digest uint64
	// Newest is the newest revision known, valid or not.
	Newest uint64
	// Refused is the last invalid revision.
	Refused Refusal
	// Values are the accepted values, without their texts.
	Values []ValueDump
}

// ValueDump describes one accepted value.
type ValueDump struct {
	Name     string
	Revision uint64
	// Bytes is the length of the value's text.
	Bytes int
}

// Dump returns the state of the store.
func (s *Store) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Revision: s.accepted.revision,
		Digest:   s.accepted.digest,
		Newest:   s.newest.revision,
		Refused:  s.lastRefusal,
	}
	for _, n := range slices.Sorted(maps.Keys(s.accepted.values)) {
		v := s.accepted.values[n]
		if !v.GetDeleted() {
			d.Values = append(d.Values, ValueDump{Name: n, Revision: v.GetRevision(), Bytes: len(v.GetText())})
		}
	}
	return d
}

// Register adds the store's metrics. revisionInForce returns the revision of the
// table by which requests are handled, or 0 while there is none.
func (s *Store) Register(r prometheus.Registerer, revisionInForce func() uint64) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_revision",
			Help: "Revision of the table in force.",
		}, func() float64 { return float64(revisionInForce()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_accepted_revision",
			Help: "Newest valid revision known.",
		}, func() float64 { return float64(s.Accepted().Revision) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_newest_revision",
			Help: "Newest revision known, valid or not.",
		}, func() float64 { return float64(s.NewestRevision()) }),
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
