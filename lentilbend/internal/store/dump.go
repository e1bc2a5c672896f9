package store

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Dump is the state of a store.
type Dump struct {
	// Era and Revision are those of the accepted version.
	Era      uint64
	Revision uint64
	// Digest is the hash of the accepted values.
	Digest uint64
	// NewestEra and Newest are those of the newest version known, valid or not.
	NewestEra uint64
	Newest    uint64
	// Refused is the last invalid revision.
	Refused Refusal
	// Values are the accepted values, without their texts.
	Values []ValueDump
	// Carried are the values of earlier eras that are in effect instead.
	Carried []CarriedDump
}

// ValueDump describes one accepted value.
type ValueDump struct {
	Name     string
	Revision uint64
	// Bytes is the length of the value's text.
	Bytes int
}

// CarriedDump describes a value of an earlier era that is in effect.
type CarriedDump struct {
	Name     string
	Era      uint64
	Revision uint64
	// Missing says that the value was missing.
	Missing bool
	// Until is when the value ceases to be in effect; zero if only a newer one ends that.
	Until time.Time
}

// Dump returns the state of the store.
func (s *Store) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Era:       s.accepted.era,
		Revision:  s.accepted.revision,
		Digest:    s.accepted.digest,
		NewestEra: s.newest.era,
		Newest:    s.newest.revision,
		Refused:   s.lastRefusal,
	}
	for _, n := range slices.Sorted(maps.Keys(s.accepted.values)) {
		v := s.accepted.values[n]
		if !v.GetDeleted() {
			d.Values = append(d.Values, ValueDump{Name: n, Revision: v.GetRevision(), Bytes: len(v.GetText())})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(s.accepted.carried)) {
		c := s.accepted.carried[k]
		d.Carried = append(d.Carried, CarriedDump{Name: k, Era: c.era, Revision: c.value.GetRevision(), Missing: c.value.GetDeleted(), Until: c.until})
	}
	return d
}

// Register adds the store's metrics. revisionInForce returns the revision of the
// table by which requests are handled, or 0 while there is none.
func (s *Store) Register(r prometheus.Registerer, revisionInForce func() uint64) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_revision",
			Help: "Revision of the table in force, within its era.",
		}, func() float64 { return float64(revisionInForce()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_accepted_revision",
			Help: "Revision of the newest valid version known.",
		}, func() float64 { return float64(s.Accepted().Revision) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lentilbend_table_newest_revision",
			Help: "Revision of the newest version known, valid or not.",
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
