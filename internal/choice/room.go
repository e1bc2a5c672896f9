package choice

import (
	"net/netip"
	"time"
)

// Parameters of the room.
const (
	// roomDecayTime is the decay time of a report's weight in the room. The load of
	// all servers together changes more slowly than that of one.
	roomDecayTime = 800 * time.Millisecond
	// minRoomReports is the sum of weights from which the reports of a service with
	// many servers tell its load. A smaller service needs half of its servers.
	minRoomReports = 3.0
	// maxUsage bounds the requests at one server relative to its slots, so that one
	// report does not decide alone.
	maxUsage = 2.0
)

// Room is the capacity of a service by the servers' load reports.
type Room struct {
	// Known is false while there are too few recent reports.
	Known bool
	// Slots is how many requests the usable warm servers process at once, in requests
	// at the usual pace: a server that takes twice as long has half as many slots.
	Slots float64
	// Busy is how many slots are taken, and how many requests are queued.
	Busy float64
	// Cold is the number of usable servers in cold start.
	Cold int
}

// Room returns the capacity of the service. Servers without a recent report are taken
// to be like the others.
func (s *Set) Room(now time.Time) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(now)
	var r Room
	var weights, slots, busy float64
	warm := 0
	for _, v := range s.servers {
		if !v.usable(s.now, nil) || v.draining(s.now) || v.health.ejected(s.now) {
			continue
		}
		if v.coldStart.phase == phaseCold {
			r.Cold++
		}
		if v.coldStart.needsAllowance() {
			continue
		}
		warm++
		if v.reportedAt.IsZero() || v.observed.Slots <= 0 {
			continue
		}
		w := decay(s.now.Sub(v.reportedAt), roomDecayTime)
		n := w * float64(v.observed.Slots) / max(1, s.pace(v))
		weights += w
		slots += n
		busy += n * v.usage()
	}
	if warm == 0 || weights < min(minRoomReports, float64(warm)/2) {
		return r
	}
	r.Known = true
	r.Slots = slots / weights * float64(warm)
	r.Busy = busy / weights * float64(warm)
	return r
}

// usage returns the requests at a server relative to its slots, by its last report and
// this VM's calls since.
func (s *server) usage() float64 {
	n := s.observed.Running + s.observed.Queued + s.calls.startedSince(s.reportedAt)
	return min(float64(n)/float64(s.observed.Slots), maxUsage)
}

// UsualTime returns the time that a server is expected to need for a kind of request
// without a queue and at the usual pace.
func (s *Set) UsualTime(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func(k *latencyStats) { s.kind = k }(s.kind)
	s.kind = s.kinds[kind]
	return time.Duration(s.usualTime())
}

// noServerError returns the error for a request that no server may get.
func (s *Set) noServerError(tried []netip.AddrPort) error {
	for _, v := range s.servers {
		if v.coldStart.phase == phaseCold && v.usable(s.now, tried) {
			return ErrColdRate
		}
	}
	return ErrNoServer
}
