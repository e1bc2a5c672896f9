package choice_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// Servers of the overload tests. A quarter of them is slow at any time, as if a
// neighbour on the same machine was busy.
const (
	simulationStep = 2 * time.Millisecond
	serverSlots    = 6
	serverQueue    = 12
	meanWork       = 90 * time.Millisecond
	slowPace       = 7.0
	slowPart       = 0.25
	slowFor        = 500 * time.Millisecond
	objective      = 250 * time.Millisecond
	deadline       = 800 * time.Millisecond
	callerAttempts = 2
	// fullViewMargin is the part of the time left within which decideByState
	// expects an answer.
	fullViewMargin = 0.7
)

// simulation plays callers, entry VMs and the servers of one service in virtual
// time.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	sets    []*choice.Set
	servers []*simulatedServer
	retries []*simulatedRequest
	// objective is the latency objective.
	objective time.Duration
	// decide handles a request; decideBySets unless replaced.
	decide func(q *simulatedRequest)

	arrived, inTime, late, refused, lost int
}

// simulatedRequest is one request of a caller.
type simulatedRequest struct {
	arrived time.Time
	due     time.Time
	left    time.Duration // work that is still to be done
	call    choice.Call
	tries   int
	sentAt  time.Time
}

// simulatedServer processes up to serverSlots requests at the same time.
type simulatedServer struct {
	address   netip.AddrPort
	running   []*simulatedRequest
	queue     []*simulatedRequest
	pace      float64
	paceUntil time.Time
}

func newSimulation(seed uint64, vms, servers int) *simulation {
	w := &simulation{objective: objective, rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0)}
	w.decide = w.decideBySets
	var ss []choice.Server
	for i := range servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		w.servers = append(w.servers, &simulatedServer{address: a, pace: 1})
		ss = append(ss, choice.Server{Address: a, DataCentre: "a", Name: a.String()})
	}
	for i := range vms {
		s := &choice.Set{Policy: choice.NewInformed(), Rand: rand.New(rand.NewPCG(seed, uint64(i))), Self: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)}
		s.Update(w.now, choice.Config{Slots: serverSlots, VMs: vms, ColdStated: true, InitialLatency: objective * 2 / 5, Probeable: true}, ss)
		w.sets = append(w.sets, s)
	}
	return w
}

// capacity returns how many requests a second the servers can answer.
func (w *simulation) capacity() float64 {
	pace := 1 - slowPart + slowPart/slowPace
	return float64(len(w.servers)*serverSlots) / meanWork.Seconds() * pace
}

// run plays for d with a load relative to the capacity.
func (w *simulation) run(d time.Duration, load float64) {
	perStep := load * w.capacity() * simulationStep.Seconds()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simulationStep) {
		for _, s := range w.servers {
			w.advance(s)
		}
		due := w.retries
		w.retries = nil
		for _, q := range due {
			if w.now.Before(q.sentAt) {
				w.retries = append(w.retries, q)
				continue
			}
			w.decide(q)
		}
		for n := perStep; w.rand.Float64() < n; n-- {
			w.arrived++
			work := meanWork.Seconds() * math.Exp(0.5*w.rand.NormFloat64()-0.125)
			w.decide(&simulatedRequest{arrived: w.now, due: w.now.Add(deadline), left: time.Duration(work * float64(time.Second))})
		}
	}
}

// resetCounts starts to count anew.
func (w *simulation) resetCounts() {
	w.arrived, w.inTime, w.late, w.refused, w.lost = 0, 0, 0, 0, 0
}

// partInTime returns the part of the requests that were answered within the objective.
func (w *simulation) partInTime() float64 {
	return float64(w.inTime) / float64(w.arrived)
}

// advance lets a server work for one step.
func (w *simulation) advance(s *simulatedServer) {
	if !w.now.Before(s.paceUntil) {
		s.pace = 1
		mean := slowFor.Seconds()
		if w.rand.Float64() < slowPart {
			s.pace = slowPace
		}
		s.paceUntil = w.now.Add(time.Duration((0.5 + w.rand.Float64()) * mean * float64(time.Second)))
	}
	done := time.Duration(float64(simulationStep) / s.pace)
	s.running = slices.DeleteFunc(s.running, func(q *simulatedRequest) bool {
		q.left -= done
		switch {
		case q.left <= 0:
			w.end(s, q)
		case !w.now.Before(q.due):
			w.lost++
			q.call.End(w.now, choice.TimedOut{})
		default:
			return false
		}
		return true
	})
	for len(s.running) < serverSlots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		if !w.now.Before(q.due) {
			w.lost++
			q.call.End(w.now, choice.Shed{Load: s.report()})
			continue
		}
		s.running = append(s.running, q)
	}
}

// end answers a request.
func (w *simulation) end(s *simulatedServer, q *simulatedRequest) {
	if w.now.Sub(q.arrived) <= w.objective {
		w.inTime++
	} else {
		w.late++
	}
	q.call.End(w.now, choice.Answered{Status: 200, Load: s.report(), FirstByte: w.now.Sub(q.sentAt)})
}

func (s *simulatedServer) report() *load.Report {
	return &load.Report{Running: len(s.running), Queued: len(s.queue), Slots: serverSlots, Pace: s.pace}
}

// server returns the server with an address.
func (w *simulation) server(a netip.AddrPort) *simulatedServer {
	for _, s := range w.servers {
		if s.address == a {
			return s
		}
	}
	return nil
}

// decideBySets handles a request at a random entry VM as the entry VMs do.
func (w *simulation) decideBySets(q *simulatedRequest) {
	q.tries++
	set := w.sets[w.rand.IntN(len(w.sets))]
	var tried []netip.AddrPort
	for len(tried) < 3 {
		for _, a := range set.ProbeCandidates(w.now, "read", tried, 3, 40*time.Millisecond) {
			set.RecordProbe(w.now, a, w.server(a).report())
		}
		r := choice.Request{Kind: "read", Tried: tried, WantedBy: q.arrived.Add(w.objective), Deadline: q.due}
		c, err := set.Admit(w.now, r)
		var o *choice.SaturatedError
		if errors.As(err, &o) {
			w.refuse(q, o.RetryAfter)
			return
		}
		if err != nil {
			break
		}
		if w.send(q, c) {
			return
		}
		tried = append(tried, c.Server())
	}
	w.refuse(q, time.Second)
}

// send sends a request to its server. It returns false if the server refuses it.
func (w *simulation) send(q *simulatedRequest, c choice.Call) bool {
	s := w.server(c.Server())
	q.call, q.sentAt = c, w.now
	switch {
	case len(s.running) < serverSlots:
		s.running = append(s.running, q)
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, q)
	default:
		c.End(w.now, choice.Shed{Load: s.report()})
		return false
	}
	return true
}

// refuse refuses a request. Its caller comes back once, after the time stated or a
// third of the time that it has left.
func (w *simulation) refuse(q *simulatedRequest, after time.Duration) {
	if q.tries >= callerAttempts {
		w.refused++
		return
	}
	q.sentAt = w.now.Add(min(after, q.due.Sub(w.now)/3))
	w.retries = append(w.retries, q)
}

// decideByState handles a request with a view of the present load and pace of all
// servers, but not of the work of a request: it goes to the server that is expected to
// answer first, or is refused if that is too late.
func (w *simulation) decideByState(q *simulatedRequest) {
	q.tries++
	var best *simulatedServer
	least := time.Duration(math.MaxInt64)
	for _, s := range w.servers {
		wait := max(0, len(s.running)+len(s.queue)-serverSlots+1)
		d := meanWork + time.Duration(wait)*meanWork/serverSlots
		if d = time.Duration(float64(d) * s.pace); d < least {
			best, least = s, d
		}
	}
	if least > time.Duration(fullViewMargin*float64(q.arrived.Add(objective).Sub(w.now))) {
		w.refuse(q, 50*time.Millisecond)
		return
	}
	if !w.send(q, stateCall{best.address}) {
		w.refuse(q, 50*time.Millisecond)
	}
}

// stateCall is a call of decideByState.
type stateCall struct{ address netip.AddrPort }

func (c stateCall) Server() netip.AddrPort            { return c.address }
func (c stateCall) Name() string                      { return "" }
func (c stateCall) Basis() choice.Basis               { return choice.Basis{} }
func (c stateCall) Record(time.Time, choice.Notice)   {}
func (c stateCall) End(_ time.Time, _ choice.Outcome) {}
