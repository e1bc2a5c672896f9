package measure

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilbend.example/internal/choice"
)

// unevenSimulation is a fleet of entry VMs and the servers of one service.
type unevenSimulation struct {
	sim
	fleet   unevenFleet
	load    float64
	way     UnevenWay
	rand    *rand.Rand
	vms     []*unevenVM
	servers []*unevenServer

	requests, inTime, refused    int
	probes, connections, reroute int
}

// unevenVM is an entry VM. It keeps, for each server, the times at which its idle
// connections were last used.
type unevenVM struct {
	sim    *unevenSimulation
	set    *choice.Set
	idle   [][]time.Duration
	budget float64
}

// unevenServerIndex is the index of the server at an address of serverAddress.
func unevenServerIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])*250 + int(b[3]) - 1
}

// firstUnevenVM is the index of the address of the first VM, after those of the
// servers.
const firstUnevenVM = 10000

func newUnevenSimulation(seed uint64, f unevenFleet, load float64, way UnevenWay) *unevenSimulation {
	w := &unevenSimulation{fleet: f, load: load, way: way, rand: newRand(seed, 500)}
	var ss []choice.Server
	for i := range f.servers {
		w.servers = append(w.servers, &unevenServer{sim: &w.sim, pace: 1})
		ss = append(ss, choice.Server{Address: serverAddress(i), DataCentre: "a"})
	}
	var vms []netip.AddrPort
	for i := range f.vms {
		vms = append(vms, serverAddress(firstUnevenVM+i))
	}
	for i := range f.vms {
		s := &choice.Set{Policy: choice.NewInformed(), Rand: newRand(seed, uint64(600+i)), Self: vms[i], InTurn: way == UnevenInTurn}
		s.Update(epoch, choice.Config{
			Slots: unevenSlots, VMs: f.vms, EntryVMs: vms, ColdStated: true, Probeable: true,
			InitialLatency: unevenKinds[0].objective * 2 / 5,
		}, ss)
		w.vms = append(w.vms, &unevenVM{sim: w, set: s, idle: make([][]time.Duration, f.servers)})
	}
	return w
}

// run plays the warm-up and the measured part.
func (w *unevenSimulation) run() UnevenRun {
	w.selectSlow()
	w.scheduleArrival()
	w.sim.run(unevenWarmup + unevenMeasured + 5*time.Second)
	n := float64(w.requests)
	return UnevenRun{
		VMs: w.fleet.vms, Servers: w.fleet.servers, Load: w.load, Way: w.way, Requests: w.requests,
		InTime: float64(w.inTime) / n, Refused: float64(w.refused) / n,
		Probes: float64(w.probes) / n, Connections: float64(w.connections) / n, Reroutes: float64(w.reroute) / n,
	}
}

// selectSlow selects the slow servers anew.
func (w *unevenSimulation) selectSlow() {
	slow := int(unevenSlowPart*float64(len(w.servers)) + 0.5)
	for i, j := range w.rand.Perm(len(w.servers)) {
		p := 1.0
		if i < slow {
			p = unevenSlowPace
		}
		w.servers[j].setPace(p)
	}
	w.after(unevenSlowPeriod, w.selectSlow)
}

// meanUnevenWork returns the mean work of a request.
func meanUnevenWork() time.Duration {
	s := 0.0
	for _, k := range unevenKinds {
		s += k.share * float64(k.work)
	}
	return time.Duration(s * (1 + unevenLongPart*(unevenLongFactor-1)))
}

// scheduleArrival schedules the next request, until the measured part ends.
func (w *unevenSimulation) scheduleArrival() {
	speed := 1 - unevenSlowPart + unevenSlowPart/unevenSlowPace
	rate := w.load * speed * float64(len(w.servers)*unevenSlots) / meanUnevenWork().Seconds()
	d := time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second))
	if w.now+d > unevenWarmup+unevenMeasured {
		return
	}
	w.after(d, func() {
		w.arrive()
		w.scheduleArrival()
	})
}

// arrive lets a request arrive at a random VM.
func (w *unevenSimulation) arrive() {
	k, x := 0, w.rand.Float64()
	for k < len(unevenKinds)-1 && x >= unevenKinds[k].share {
		x -= unevenKinds[k].share
		k++
	}
	q := &unevenRequest{kind: &unevenKinds[k], at: w.now, measured: w.measuring(), vm: w.vms[w.rand.IntN(len(w.vms))]}
	s := unevenWorkSpread
	work := float64(q.kind.work) * math.Exp(s*w.rand.NormFloat64()-s*s/2)
	if w.rand.Float64() < unevenLongPart {
		work *= unevenLongFactor
	}
	q.work = time.Duration(work)
	if q.measured {
		w.requests++
	}
	v := q.vm
	v.budget = min(v.budget+unevenRetryRatio*unevenBudgetPart, max(1, unevenRetrySlack*unevenBudgetPart/float64(len(w.vms))))
	v.attempt(q)
}

// measuring reports whether the measured part has begun.
func (w *unevenSimulation) measuring() bool {
	return w.now >= unevenWarmup
}

// delay returns a one-way network delay.
func (w *unevenSimulation) delay() time.Duration {
	return unevenMinRTT/2 + time.Duration(w.rand.Float64()*float64(unevenMaxRTT-unevenMinRTT)/2)
}
