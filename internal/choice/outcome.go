package choice

import (
	"net/http"
	"time"

	"lentilbend.example/internal/load"
)

// handleAnswered records a complete answer.
func (s *Set) handleAnswered(v *server, c *call, o Answered) {
	v.lastContact = s.now
	if o.Load != nil {
		s.applyReport(v, o.Load)
	}
	if isServerFailure(o.Status) {
		s.recordFailure(v, errorStatusWeight)
		return
	}
	v.answeredAt = s.now
	v.health.addSuccess()
	d := o.FirstByte
	if d <= 0 {
		d = s.now.Sub(c.start)
	}
	r := s.latencyRatio(c, d)
	if o.Status < http.StatusBadRequest {
		s.learnWork(v, c, d)
		s.learnLatency(v, c, d)
		c.kind.bytes.add(float64(o.Bytes))
	}
	s.advancePhase(v, o.Load, r)
}

// isServerFailure reports whether a status counts against the server.
func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// learnLatency records the latency of a good answer. Only warm servers count
// for the statistics.
func (s *Set) learnLatency(v *server, c *call, d time.Duration) {
	s.updateSlowness(v, s.latencyRatio(c, d))
	s.updateBias(v, s.latencyRatio(c, d))
	if v.coldStart.phase != phaseWarm {
		return
	}
	s.baseline.add(d)
	c.kind.add(d)
	v.dataCentre.latencies.add(d)
	if s.baseline.sinceRefresh == 0 {
		s.updateDistances()
	}
}

// maxLearnedRatio bounds by how much one latency may exceed the expected one when
// the work of a kind of request is learned.
const maxLearnedRatio = 4

// learnWork learns from the latency of an answer how long an idle server needs for
// such a request at its usual pace.
func (s *Set) learnWork(v *server, c *call, d time.Duration) {
	if v.report.Pace <= 0 || c.basis.Pace <= 0 || v.coldStart.phase != phaseWarm {
		return
	}
	w := float64(d) / c.loadFactor(v)
	if m := c.kind.work; m.count >= minWorkSamples {
		w = min(w, maxLearnedRatio*m.value)
	}
	c.kind.work.add(w)
	s.baseline.work.add(w)
}

// loadFactor returns by what factor the queue and the pace of the server are expected
// to have lengthened a call.
func (c *call) loadFactor(v *server) float64 {
	return (c.basis.Pace + v.report.Pace) / 2 * (1 + c.wait)
}

// updateDistances sets the distance of each data centre by comparing their 10th
// percentile latencies.
func (s *Set) updateDistances() {
	least := time.Duration(0)
	for _, c := range s.dataCentres {
		if c.latencies.known() && (least == 0 || c.latencies.p10 < least) {
			least = c.latencies.p10
		}
	}
	for _, c := range s.dataCentres {
		c.distance = 0
		if c.latencies.known() {
			c.distance = min(c.latencies.p10-least, s.baseline.median)
		}
	}
}

// latencyRatio returns a latency relative to the one expected for the call; 1
// when that is not known.
func (s *Set) latencyRatio(c *call, d time.Duration) float64 {
	if !c.kind.known() {
		return 1
	}
	if c.basis.Pace > 0 && c.server.report.Pace > 0 && c.kind.work.count >= minWorkSamples {
		return float64(d) / (c.kind.work.value * c.loadFactor(c.server))
	}
	return float64(d) / float64(c.kind.mean+c.queueWait)
}

func (s *Set) updateSlowness(v *server, ratio float64) {
	if p, ok := s.Policy.(Informed); ok {
		v.updateSlowness(s.now, ratio, s.meanLatencies(p.SlownessDecayTime))
	}
}

// updateBias compares the latency ratio of a call with the mean of the service.
func (s *Set) updateBias(v *server, ratio float64) {
	r := min(ratio, maxBiasRatio)
	v.updateBias(s.now, r-s.meanRatio.value)
	s.meanRatio.add(r)
}

// applyReport applies a load report that came with an answer.
func (s *Set) applyReport(v *server, r *load.Report) {
	back := v.drain.announced && !r.Draining
	v.storeReport(s.now, r)
	if back {
		s.queueUpdate(v, StateBack)
	}
	s.meanRequests.add(float64(r.Running + r.Queued))
	s.learnPace(r)
	if r.Cold {
		s.applyCold(v, r)
	}
	if r.Draining {
		s.queueUpdate(v, StateDraining)
	}
}

// advancePhase advances the cold start or slow start of a server after a good
// answer. A server that reports no load counts as cold for coldFor; one whose
// cold start has a stated end stays cold until then.
func (s *Set) advancePhase(v *server, r *load.Report, ratio float64) {
	switch v.coldStart.phase {
	case phaseWarm:
	case phaseSlowStart:
		v.coldStart.adjustFraction(s.now, ratio)
	case phaseSuspect:
		if r != nil || s.now.Sub(v.coldStart.since) >= s.coldFor {
			s.beginSlowStart(v)
			s.queueUpdate(v, StateBack)
		} else {
			v.coldStart.begin(v.coldStart.since)
		}
	case phaseCold:
		if !v.coldStart.until.IsZero() {
			return
		}
		if r != nil && !r.Cold || r == nil && s.now.Sub(v.coldStart.since) >= s.coldFor {
			s.beginSlowStart(v)
			s.queueUpdate(v, StateBack)
		}
	}
}

// learnPace adds a reported pace to the mean pace.
func (s *Set) learnPace(r *load.Report) {
	if r.Pace > 0 {
		s.meanPace.add(r.Pace)
	}
}

// applyCold marks a server that reports a cold start as cold.
func (s *Set) applyCold(v *server, r *load.Report) {
	if r.ColdRemaining > 0 {
		v.coldStart.beginUntil(s.now, s.now.Add(r.ColdRemaining))
	} else {
		v.coldStart.begin(s.now)
	}
	s.queueUpdate(v, StateCold)
}

// beginSlowStart begins the slow start of a server. Its initial credit is
// random, so that the entry VMs do not all send to it at once. Its slowness and
// bias are reset, since earlier measurements no longer apply.
func (s *Set) beginSlowStart(v *server) {
	v.coldStart.beginSlowStart(s.now, s.Rand.Float64())
	v.slowness, v.bias = 1, 0
}

// handleShed records a server's refusal of a request. The server counts as
// full: its slots are taken, and at least as many requests are queued.
func (s *Set) handleShed(v *server, o Shed) {
	v.lastContact = s.now
	v.sheds++
	r := load.Report{Running: s.slots, Queued: s.slots, Slots: s.slots}
	if o.Load != nil {
		r.Cold, r.Draining = o.Load.Cold, o.Load.Draining
		r.Queued = max(r.Queued, o.Load.Queued)
	}
	s.applyReport(v, &r)
	if o.Load != nil && o.Load.Slots > 0 {
		v.observed = *o.Load
	}
	v.health.addFailure(s.now, errorStatusWeight/2, s.Rand)
}

// recordFailure counts a failure of the server with the given weight.
func (s *Set) recordFailure(v *server, weight float64) {
	v.failures++
	v.health.addFailure(s.now, weight, s.Rand)
}

// handleFailed records a broken connection. The server is suspect: it may be
// down, and cold when it is back.
func (s *Set) handleFailed(v *server, o Failed) {
	if o.NoConn {
		v.noConnAt = s.now
	}
	s.recordFailure(v, brokenConnWeight)
	v.health.brokenConns++
	v.coldStart.markSuspect(s.now)
	s.queueUpdate(v, StateDown)
}

// handleTimedOut records a call that reached its deadline without an answer. It
// adds to the failure score only if it took at least maxLatencyRatio times as
// long as expected.
func (s *Set) handleTimedOut(v *server, c *call) {
	v.failures++
	r := s.latencyRatio(c, s.now.Sub(c.start))
	s.updateSlowness(v, r)
	if r >= maxLatencyRatio {
		v.health.addFailure(s.now, errorStatusWeight, s.Rand)
	}
}

// handleCancelled records how late a cancelled call was.
func (s *Set) handleCancelled(v *server, c *call) {
	if r := s.latencyRatio(c, s.now.Sub(c.start)); r > 1 {
		s.updateSlowness(v, r)
	}
}
