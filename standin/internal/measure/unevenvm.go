package measure

import (
	"math"
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// unevenRequest is a request of a caller.
type unevenRequest struct {
	kind     *unevenKind
	vm       *unevenVM
	at       time.Duration
	work     time.Duration
	measured bool
	ended    bool
	tried    []netip.AddrPort
}

func (q *unevenRequest) wantedBy() time.Time {
	return epoch.Add(q.at + q.kind.objective)
}

// attempt sends a request to a server other than those tried.
func (v *unevenVM) attempt(q *unevenRequest) {
	switch v.sim.way {
	case UnevenFullView:
		i := v.sim.bestByState(q)
		if v.sim.saturatedByState(q, i) {
			v.refuse(q)
			return
		}
		v.send(q, fullViewCall{i})
	default:
		v.probeCandidates(q, func() { v.admit(q) })
	}
}

// probeCandidates probes candidates for a request as the way does and then calls
// then.
func (v *unevenVM) probeCandidates(q *unevenRequest, then func()) {
	if v.set.ProbesInTurn() {
		v.probeInTurn(q, 3, then)
		return
	}
	as := v.set.ProbeCandidates(v.sim.time(), q.kind.name, q.tried, 3, 40*time.Millisecond)
	if len(as) == 0 {
		then()
		return
	}
	left := len(as)
	for _, a := range as {
		v.probe(a, func() {
			if left--; left == 0 {
				then()
			}
		})
	}
}

// probeInTurn probes at most n candidates one after the other and then calls then.
func (v *unevenVM) probeInTurn(q *unevenRequest, n int, then func()) {
	if n == 0 {
		then()
		return
	}
	a, ok := v.set.NextCandidate(v.sim.time(), q.kind.name, q.tried)
	if !ok {
		then()
		return
	}
	v.probe(a, func() { v.probeInTurn(q, n-1, then) })
}

// probe gets the load report of a server and then calls then.
func (v *unevenVM) probe(a netip.AddrPort, then func()) {
	w, i := v.sim, unevenServerIndex(a)
	if w.measuring() {
		w.probes++
	}
	w.after(v.connect(i)+w.delay(), func() {
		r := w.servers[i].report()
		w.after(w.delay(), func() {
			v.release(i)
			v.set.RecordProbe(w.time(), a, &r)
			then()
		})
	})
}

// admit chooses a server for a request and sends it.
func (v *unevenVM) admit(q *unevenRequest) {
	r := choice.Request{Kind: q.kind.name, Tried: q.tried}
	if len(q.tried) == 0 {
		r.WantedBy, r.Deadline = q.wantedBy(), epoch.Add(q.at+q.kind.deadline)
	}
	c, err := v.set.Admit(v.sim.time(), r)
	if err != nil {
		v.refuse(q)
		return
	}
	v.send(q, c)
}

func (v *unevenVM) refuse(q *unevenRequest) {
	q.ended = true
	if q.measured {
		v.sim.refused++
	}
}

// unevenAttempt is a request sent to a server.
type unevenAttempt struct {
	request *unevenRequest
	call    choice.Call
	server  int
	sentAt  time.Duration
	work    *unevenWork
	ended   bool
}

// send sends a request to the server of a call.
func (v *unevenVM) send(q *unevenRequest, c choice.Call) {
	w, i := v.sim, unevenServerIndex(c.Server())
	q.tried = append(q.tried, c.Server())
	a := &unevenAttempt{request: q, call: c, server: i, sentAt: w.now}
	a.work = &unevenWork{left: q.work, onEnd: func(r load.Report) {
		w.after(w.delay(), func() { v.end(a, r) })
	}}
	s := w.servers[i]
	s.inTransit++
	w.after(v.connect(i)+w.delay(), func() {
		s.inTransit--
		if !s.receive(a.work) {
			r := s.report()
			w.after(w.delay(), func() { v.handleShed(a, r) })
		}
	})
	if q.kind.idempotent {
		w.after(unevenCheckInterval, func() { v.check(a) })
	}
}

// end records the response of an attempt.
func (v *unevenVM) end(a *unevenAttempt, r load.Report) {
	if a.ended {
		return
	}
	a.ended = true
	w, q := v.sim, a.request
	v.release(a.server)
	a.call.End(w.time(), choice.Answered{Status: 200, Load: &r, FirstByte: w.now - a.sentAt})
	q.ended = true
	if q.measured && w.now-q.at <= q.kind.objective {
		w.inTime++
	}
}

// handleShed retries a request that its server did not start, within the budget.
func (v *unevenVM) handleShed(a *unevenAttempt, r load.Report) {
	a.ended = true
	v.release(a.server)
	a.call.End(v.sim.time(), choice.Shed{Load: &r})
	if len(a.request.tried) >= unevenMaxAttempts || !v.takeRetry() {
		v.refuse(a.request)
		return
	}
	v.attempt(a.request)
}

func (v *unevenVM) takeRetry() bool {
	if v.budget < 1 {
		return false
	}
	v.budget--
	return true
}

// check checks an attempt in flight every unevenCheckInterval and reroutes the
// request if that pays.
func (v *unevenVM) check(a *unevenAttempt) {
	if a.ended || len(a.request.tried) >= unevenMaxAttempts {
		return
	}
	v.shouldReroute(a, func(yes bool) {
		if yes && !a.ended && v.takeRetry() {
			v.rerouteAttempt(a)
			return
		}
		v.sim.after(unevenCheckInterval, func() { v.check(a) })
	})
}

// rerouteAttempt gives an attempt up by closing its connection.
func (v *unevenVM) rerouteAttempt(a *unevenAttempt) {
	w := v.sim
	a.ended = true
	if a.request.measured {
		w.reroute++
	}
	a.call.End(w.time(), choice.Cancelled{})
	w.after(w.delay(), func() { w.servers[a.server].drop(a.work) })
	v.attempt(a.request)
}

// shouldReroute passes to then whether an attempt is expected to miss the objective
// and to take longer than one elsewhere. It probes as the way does.
func (v *unevenVM) shouldReroute(a *unevenAttempt, then func(bool)) {
	w, q := v.sim, a.request
	if w.way == UnevenFullView {
		then(w.shouldRerouteByState(a))
		return
	}
	if !v.set.CheckDue(w.time(), q.wantedBy(), a.call) {
		then(false)
		return
	}
	decide := func() bool { return v.set.ShouldReroute(w.time(), q.wantedBy(), a.call, q.tried) }
	confirm := func() {
		if !decide() {
			then(false)
			return
		}
		v.probeCandidates(q, func() { then(decide()) })
	}
	if v.set.ReportOlderThan(w.time(), a.call.Server(), 40*time.Millisecond) {
		v.probe(a.call.Server(), confirm)
		return
	}
	confirm()
}

// connect takes an idle connection to a server. It returns the time that it takes
// to open one if there is none.
func (v *unevenVM) connect(i int) time.Duration {
	w := v.sim
	if n := len(v.idle[i]); n > 0 {
		last := v.idle[i][n-1]
		v.idle[i] = v.idle[i][:n-1]
		if w.now-last <= unevenIdleTime {
			return 0
		}
		v.idle[i] = nil // older ones were used earlier still
	}
	if w.measuring() {
		w.connections++
	}
	return 2 * w.delay()
}

// release keeps a connection for later use.
func (v *unevenVM) release(i int) {
	v.idle[i] = append(v.idle[i], v.sim.now)
}

// bestByState returns the server that is expected to answer first.
func (w *unevenSimulation) bestByState(q *unevenRequest) int {
	best, least := 0, math.Inf(1)
	o := w.rand.IntN(len(w.servers))
	for n := range w.servers {
		i := (o + n) % len(w.servers)
		if e := w.servers[i].expectedTime(q.kind.work); e < least {
			best, least = i, e
		}
	}
	return best
}

// saturatedByState reports whether requests queue even at the best server and the
// response is expected too late. The margin is that of package choice.
func (w *unevenSimulation) saturatedByState(q *unevenRequest, best int) bool {
	v := w.servers[best]
	left := float64(q.at + q.kind.objective - w.now)
	return len(v.running)+len(v.queue)+v.inTransit >= unevenSlots && v.expectedTime(q.kind.work) > 0.7*left
}

// shouldRerouteByState decides as choice.Set.ShouldReroute does, by the state of all
// servers.
func (w *unevenSimulation) shouldRerouteByState(a *unevenAttempt) bool {
	q := a.request
	work := float64(q.kind.work)
	rest := max(work-float64(w.now-a.sentAt), work/4)
	rest = min(rest*w.servers[a.server].pace, rest+float64(300*time.Millisecond))
	if w.now+time.Duration(rest) < q.at+q.kind.objective {
		return false
	}
	return rest > 1.2*w.servers[w.bestByState(q)].expectedTime(q.kind.work)
}

// fullViewCall is a call to the server with the given index.
type fullViewCall struct{ server int }

func (c fullViewCall) Server() netip.AddrPort            { return serverAddress(c.server) }
func (c fullViewCall) Name() string                      { return "" }
func (c fullViewCall) Basis() choice.Basis               { return choice.Basis{} }
func (c fullViewCall) Record(time.Time, choice.Notice)   {}
func (c fullViewCall) End(_ time.Time, _ choice.Outcome) {}
