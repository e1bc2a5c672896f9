package choice

import (
	"net/http"
	"time"

	"lentilbend.example/internal/load"
)

// answered takes a whole answer.
func (s *Set) answered(v *server, c *call, o Answered) {
	v.heard = s.now
	if o.Load != nil {
		s.report(v, o.Load)
	}
	if failure(o.Status) {
		s.fault(v, evidenceStatus)
		return
	}
	v.answered = s.now
	v.health.good()
	d := o.FirstByte
	if d <= 0 {
		d = s.now.Sub(c.start)
	}
	r := s.ratio(c, d)
	if o.Status < http.StatusBadRequest {
		s.learn(v, c, d)
		c.kind.bytes.add(float64(o.Bytes))
	}
	s.warm(v, o.Load, r)
}

// failure says whether a status speaks against the server.
func failure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// learn takes the latency of a good answer.
func (s *Set) learn(v *server, c *call, d time.Duration) {
	s.slower(v, s.ratio(c, d))
	s.correct(v, s.ratio(c, d))
	if v.start.phase != phaseWarm {
		return
	}
	s.usual.add(d)
	c.kind.add(d)
	v.centre.latencies.add(d)
	if s.usual.fresh == 0 {
		s.distances()
	}
}

// distances compares the data centres by their quick answers.
func (s *Set) distances() {
	least := time.Duration(0)
	for _, c := range s.centres {
		if c.latencies.known() && (least == 0 || c.latencies.low < least) {
			least = c.latencies.low
		}
	}
	for _, c := range s.centres {
		c.distance = 0
		if c.latencies.known() {
			c.distance = min(c.latencies.low-least, s.usual.median)
		}
	}
}

// ratio returns a latency in units of what was expected of the call.
func (s *Set) ratio(c *call, d time.Duration) float64 {
	if !c.kind.known() {
		return 1
	}
	return float64(d) / float64(c.kind.mean+c.wait)
}

func (s *Set) slower(v *server, ratio float64) {
	if p, ok := s.Policy.(Informed); ok {
		v.judge(s.now, ratio, s.fade(p.Slow))
	}
}

// correct compares the latency of a call with that of the whole service.
func (s *Set) correct(v *server, ratio float64) {
	r := min(ratio, ratioMost)
	v.correct(s.now, r-s.ratios.value)
	s.ratios.add(r)
}

// report takes a load report that came on an answer.
func (s *Set) report(v *server, r *load.Report) {
	back := v.drain.said && !r.Draining
	v.take(s.now, r)
	if back {
		s.tell(v, StateBack)
	}
	s.mean.add(float64(r.Running + r.Queued))
	s.paced(r)
	if r.Cold {
		s.chill(v, r)
	}
	if r.Draining {
		s.tell(v, StateDraining)
	}
}

// warm moves a server on from its cold start after a good answer.
func (s *Set) warm(v *server, r *load.Report, ratio float64) {
	switch v.start.phase {
	case phaseWarm:
	case phaseRamp:
		v.start.step(s.now, ratio)
	case phaseDoubt:
		if r != nil || s.now.Sub(v.start.since) >= s.coldFor {
			s.rise(v)
			s.tell(v, StateBack)
		} else {
			v.start.cold(v.start.since)
		}
	case phaseCold:
		if !v.start.until.IsZero() {
			return
		}
		if r != nil && !r.Cold || r == nil && s.now.Sub(v.start.since) >= s.coldFor {
			s.rise(v)
			s.tell(v, StateBack)
		}
	}
}

// paced learns the usual pace of work.
func (s *Set) paced(r *load.Report) {
	if r.Pace > 0 {
		s.paces.add(r.Pace)
	}
}

// chill takes a server's word that it is cold.
func (s *Set) chill(v *server, r *load.Report) {
	if r.ColdRemaining > 0 {
		v.start.coldUntil(s.now, s.now.Add(r.ColdRemaining))
	} else {
		v.start.cold(s.now)
	}
	s.tell(v, StateCold)
}

// rise begins a server's ramp. The credit differs by chance, so that entry VMs
// do not all start at once. How slow it was before says nothing now.
func (s *Set) rise(v *server) {
	v.start.ramp(s.now, s.Rand.Float64())
	v.slow, v.bias = 1, 0
}

// shed takes a server's word that it did not start the request: it is full.
func (s *Set) shed(v *server, o Shed) {
	v.heard = s.now
	v.sheds++
	r := load.Report{Running: s.slots, Queued: s.slots, Slots: s.slots}
	if o.Load != nil {
		r.Cold, r.Draining = o.Load.Cold, o.Load.Draining
		r.Queued = max(r.Queued, o.Load.Queued)
	}
	s.report(v, &r)
	v.health.fail(s.now, evidenceStatus/2, s.Rand)
}

// fault takes an answer that speaks against the server.
func (s *Set) fault(v *server, evidence float64) {
	v.failures++
	v.health.fail(s.now, evidence, s.Rand)
}

// failed takes a broken connection: the server may be down, and cold after.
func (s *Set) failed(v *server) {
	s.fault(v, evidenceFailed)
	v.health.broken++
	v.start.doubt(s.now)
	s.tell(v, StateDown)
}

// late takes a call that ended without an answer after its deadline.
func (s *Set) late(v *server, c *call) {
	v.failures++
	r := s.ratio(c, s.now.Sub(c.start))
	s.slower(v, r)
	if r >= slowMost {
		v.health.fail(s.now, evidenceStatus, s.Rand)
	}
}

// cancelled keeps the lateness of a call that its caller gave up.
func (s *Set) cancelled(v *server, c *call) {
	if r := s.ratio(c, s.now.Sub(c.start)); r > 1 {
		s.slower(v, r)
	}
}
