package relay

import (
	"math"
	"time"

	"lentilbend.example/internal/peerpb"

	"lentilbend.example/lentilbend/internal/store"
)

// unlimitedMillis is CarriedValue.LeftMillis of a value without a time limit.
const unlimitedMillis = math.MaxUint32

func encodeCarried(cs []store.Carried) []*peerpb.CarriedValue {
	ms := make([]*peerpb.CarriedValue, 0, len(cs))
	for _, c := range cs {
		left := uint32(unlimitedMillis)
		if c.Left != store.Unlimited {
			left = uint32(min(max(0, c.Left.Milliseconds()), unlimitedMillis-1))
		}
		ms = append(ms, &peerpb.CarriedValue{Value: c.Value, Era: c.Era, LeftMillis: left})
	}
	return ms
}

func decodeCarried(ms []*peerpb.CarriedValue) []store.Carried {
	var cs []store.Carried
	for _, m := range ms {
		if m.GetValue() == nil {
			continue
		}
		left := store.Unlimited
		if n := m.GetLeftMillis(); n != unlimitedMillis {
			left = time.Duration(n) * time.Millisecond
		}
		cs = append(cs, store.Carried{Value: m.GetValue(), Era: m.GetEra(), Left: left})
	}
	return cs
}

// answersCarried reports whether an answer at version v, to a pull of what changed after a
// version, holds the carried values. A peer that only lacks some changes of the same era
// knows them: they may be as large as the configuration.
func answersCarried(since, v store.Version) bool {
	return since.Era != v.Era || since.Revision == 0 || since.Revision >= v.Revision
}
