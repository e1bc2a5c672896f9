package measure

import (
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
)

// Sizes of the measurement "fair".
const (
	fairLength   = 12 * time.Second
	fairDeadline = time.Second
	fairLoad     = 1.5
	// fairSure is the part of the slots that are used whatever the latencies
	// are, as in the product.
	fairSure = 0.5
	// fairFew is the number of servers in a small service.
	fairFew = 6
	// fairCalm is the load in NoOverload.
	fairCalm = 0.95
	fairTick = 5 * time.Millisecond
	// hogFactor is by how many times one workspace passes its share.
	hogFactor = 10
	// fairTarget is the least part of its weighted share that every other
	// workspace must get.
	fairTarget = 0.95
)

// FairRun is one way of sharing out over one set of arrivals.
type FairRun struct {
	// Scenario is BusyOthers, where the others want their whole share and
	// more, QuietOthers, where they want less, or NoOverload, where all
	// together want 95 % of the capacity, by weight.
	Scenario string
	// Servers is how many servers of 6 slots there are for 16 entry VMs.
	Servers int
	// Way is None, one queue, or by weight.
	Way string
	// WorstPart is what the worst-served other workspace got of its share.
	WorstPart float64
	// HogPart is what the one over its share got of it.
	HogPart float64
	// Served is all that was served in time, as a part of the capacity.
	Served float64
	// WrongfulRefusals are requests of the others within their share that
	// were not served.
	WrongfulRefusals int
	WithinShare      int
	Refused          int
	// OthersP99 is the 99th percentile of the others' latency, in milliseconds.
	OthersP99 float64
}

// FairResult holds every run.
type FairResult struct {
	Seed uint64
	Runs []FairRun
}

// Fair measures the sharing of an overloaded service in virtual time.
func Fair(seed uint64) FairResult {
	r := FairResult{Seed: seed}
	var bs []*fairBench
	for _, s := range []string{"BusyOthers", "QuietOthers", "NoOverload"} {
		for _, w := range []string{"None", "OneQueue", "Weighted"} {
			for _, n := range []int{choiceServers, fairFew} {
				bs = append(bs, &fairBench{seed: seed, size: n, scenario: s, way: w, tenants: fairTenants(s)})
			}
		}
	}
	r.Runs = make([]FairRun, len(bs))
	parallel(len(bs), func(i int) { r.Runs[i] = bs[i].run() })
	return r
}

// fairBench is the state of a run.
type fairBench struct {
	seed     uint64
	size     int
	scenario string
	way      string
	tenants  []tenant

	choiceBench
	gates   []*fair.Gate
	offered []int
	served  []int
	refused int
	others  durations
}

func (b *fairBench) run() FairRun {
	b.choiceBench = *newChoiceBench(b.seed, choice.NewInformed(), b.size, false)
	b.served = make([]int, len(b.tenants))
	b.offered = make([]int, len(b.tenants))
	for range choiceVMs {
		g := &fair.Gate{}
		g.SetMinLimit(fairSure * float64(b.size*choiceSlots) / choiceVMs)
		b.gates = append(b.gates, g)
	}
	var load float64
	for _, t := range b.tenants {
		load += t.wish
	}
	r := newRand(b.seed, 5)
	for _, a := range arrivals(b.seed, b.size, load) {
		if a.at > fairLength {
			break
		}
		i := pickTenant(b.tenants, r.Float64()*load)
		b.sim.after(a.at, func() { b.enter(a, i) })
	}
	b.tick()
	b.sim.run(fairLength + time.Minute)
	return b.result()
}

func pickTenant(ts []tenant, x float64) int {
	for i, t := range ts {
		x -= t.wish
		if x < 0 {
			return i
		}
	}
	return len(ts) - 1
}

func (b *fairBench) tick() {
	for _, g := range b.gates {
		g.Tick(b.sim.time())
	}
	if b.sim.now < fairLength+2*fairDeadline {
		b.sim.after(fairTick, b.tick)
	}
}

// enter takes a request of tenant i to the gate of its VM.
func (b *fairBench) enter(a arrival, i int) {
	if a.at >= choiceWarmup {
		b.offered[i]++
	}
	if b.way == "None" {
		b.forward(a, i, nil)
		return
	}
	g := b.gates[a.vm]
	q := fair.Request{Workspace: b.tenants[i].name, Weight: b.tenants[i].weight}
	if b.way == "OneQueue" {
		q.Workspace, q.Weight = "all", 1
	}
	q.Deadline = epoch.Add(a.at + fairDeadline)
	var t *fair.Ticket
	q.Notify = func(v fair.Decision) {
		if _, ok := v.(fair.Admitted); ok {
			b.forward(a, i, func() { g.Leave(b.sim.time(), t) })
			return
		}
		b.refuse(a)
	}
	var v fair.Decision
	t, v = g.Enter(b.sim.time(), q)
	switch v.(type) {
	case fair.Admitted:
		q.Notify(v)
	case fair.Refused:
		b.refuse(a)
	case fair.Waiting:
	}
}

func (b *fairBench) refuse(a arrival) {
	if a.at >= choiceWarmup {
		b.refused++
	}
}

// forward gives a request to a backend server.
func (b *fairBench) forward(a arrival, i int, leave func()) {
	c, ok := b.sets[a.vm].Choose(b.sim.time(), a.kind, nil)
	if !ok {
		return
	}
	b.deliver(a, b.byName[c.Server()], func(o choice.Outcome) {
		c.End(b.sim.time(), o)
		if n, ok := o.(choice.Answered); ok {
			b.gates[a.vm].Observe(b.sim.time(), fair.Sample{
				Latency: n.FirstByte, Reported: true, Queued: n.Load.Queued, Slots: n.Load.Slots,
			})
			b.count(a, i)
		}
		if leave != nil {
			leave()
		}
	})
}

func (b *fairBench) count(a arrival, i int) {
	d := b.sim.now - a.at
	if a.at < choiceWarmup || d > fairDeadline {
		return
	}
	b.served[i]++
	if i > 0 {
		b.others = append(b.others, d)
	}
}

func (b *fairBench) result() FairRun {
	r := FairRun{Scenario: b.scenario, Servers: b.size, Way: b.way, Refused: b.refused, WorstPart: 1}
	all := (fairLength - choiceWarmup).Seconds() * float64(b.size) * choiceSlots / serviceMean.Seconds()
	for i := range b.tenants {
		b.tenants[i].wish = float64(b.offered[i]) / all
	}
	for i, p := range allocate(b.tenants) {
		due := p * all
		part := float64(b.served[i]) / due
		r.Served += float64(b.served[i]) / all
		if i == 0 {
			r.HogPart = part
			continue
		}
		r.WorstPart = min(r.WorstPart, part)
		r.WithinShare += int(due)
		r.WrongfulRefusals += max(0, int(due)-b.served[i])
	}
	r.OthersP99 = milliseconds(b.others.quantile(0.99))
	return r
}
