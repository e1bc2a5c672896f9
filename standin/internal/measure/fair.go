package measure

import (
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/fair"
)

// Parameters of the measurement "fair". Loads are fractions of the capacity.
const (
	fairDuration = 12 * time.Second
	fairDeadline = time.Second
	overloadLoad = 1.5
	// minLimitRatio is the fraction of the servers' slots that the gates use
	// whatever the latencies are, as in the load balancer.
	minLimitRatio = 0.5
	// smallServiceServers is the number of servers of a small service, with fewer
	// servers than entry VMs.
	smallServiceServers = 6
	noOverloadLoad      = 0.95
	gateTickInterval    = 5 * time.Millisecond
	// hogFactor is the ratio of the hog's demand to its share in an overload. The
	// hog is the workspace that exceeds its share.
	hogFactor = 10
	// minShareRatio is the fraction of its weighted share that each other
	// workspace must get at least.
	minShareRatio = 0.95
)

// FairRun is the result of one kind of queueing for one set of arrivals.
type FairRun struct {
	// Scenario is BusyOthers (the other workspaces demand more than their
	// shares), QuietOthers (they demand less) or NoOverload (all workspaces
	// together demand 95 % of the capacity, in proportion to their weights).
	Scenario string
	// Servers is the number of servers of 6 slots for 16 entry VMs.
	Servers int
	// Way is None (no admission control), OneQueue (one queue for all workspaces)
	// or Weighted (fair queueing by the workspaces' weights).
	Way string
	// WorstPart is the smallest fraction of its share that a workspace other than
	// the hog got.
	WorstPart float64
	// HogPart is the ratio of what the hog got to its share.
	HogPart float64
	// Served is the rate of all requests served in time, as a fraction of the
	// capacity.
	Served float64
	// WrongfulRefusals is the number of requests of the other workspaces that
	// were within their shares and not served in time; WithinShare is the number
	// of all their requests within their shares.
	WrongfulRefusals int
	WithinShare      int
	Refused          int
	// OthersP99 is the 99th percentile of the latency of the other workspaces, in
	// milliseconds.
	OthersP99 float64
}

// FairResult is the result of the measurement "fair".
type FairResult struct {
	Seed uint64
	Runs []FairRun
}

// Fair measures how an overloaded service is shared among workspaces, simulated in
// virtual time.
func Fair(seed uint64) FairResult {
	r := FairResult{Seed: seed}
	var bs []*fairSimulation
	for _, s := range []string{"BusyOthers", "QuietOthers", "NoOverload"} {
		for _, w := range []string{"None", "OneQueue", "Weighted"} {
			for _, n := range []int{choiceServers, smallServiceServers} {
				bs = append(bs, &fairSimulation{seed: seed, serverCount: n, scenario: s, variant: w, workspaces: fairWorkspaces(s)})
			}
		}
	}
	r.Runs = make([]FairRun, len(bs))
	runParallel(len(bs), func(i int) { r.Runs[i] = bs[i].run() })
	return r
}

// fairSimulation is the state of a simulation of a service with several workspaces.
type fairSimulation struct {
	seed        uint64
	serverCount int
	scenario    string
	variant     string // FairRun.Way
	workspaces  []workspace

	choiceSimulation
	gates          []*fair.Gate // one for each entry VM
	offered        []int        // requests by workspace
	served         []int        // requests answered within their deadline, by workspace
	refused        int
	otherLatencies durations // of all workspaces but the hog
}

func (b *fairSimulation) run() FairRun {
	b.choiceSimulation = *newChoiceSimulation(b.seed, choice.NewInformed(), b.serverCount, false)
	b.served = make([]int, len(b.workspaces))
	b.offered = make([]int, len(b.workspaces))
	for range choiceVMs {
		g := &fair.Gate{}
		g.SetMinLimit(minLimitRatio * float64(b.serverCount*slotsPerServer) / choiceVMs)
		b.gates = append(b.gates, g)
	}
	var load float64
	for _, t := range b.workspaces {
		load += t.demand
	}
	r := newRand(b.seed, 5)
	for _, a := range poissonArrivals(b.seed, b.serverCount, load) {
		if a.at > fairDuration {
			break
		}
		i := pickWorkspace(b.workspaces, r.Float64()*load)
		b.sim.after(a.at, func() { b.admit(a, i) })
	}
	b.tickGates()
	b.sim.run(fairDuration + time.Minute)
	return b.result()
}

// pickWorkspace returns the index of the workspace at x, where each workspace takes
// an interval as long as its demand.
func pickWorkspace(ts []workspace, x float64) int {
	for i, t := range ts {
		x -= t.demand
		if x < 0 {
			return i
		}
	}
	return len(ts) - 1
}

// tickGates ticks the gates of all VMs and schedules itself again.
func (b *fairSimulation) tickGates() {
	for _, g := range b.gates {
		g.Tick(b.sim.time())
	}
	if b.sim.now < fairDuration+2*fairDeadline {
		b.sim.after(gateTickInterval, b.tickGates)
	}
}

// admit passes a request of workspace i to the gate of its VM.
func (b *fairSimulation) admit(a arrival, i int) {
	if a.at >= choiceWarmup {
		b.offered[i]++
	}
	if b.variant == "None" {
		b.forward(a, i, nil)
		return
	}
	g := b.gates[a.vm]
	q := fair.Request{Workspace: b.workspaces[i].name, Weight: b.workspaces[i].weight}
	if b.variant == "OneQueue" {
		q.Workspace, q.Weight = "all", 1
	}
	q.Deadline = epoch.Add(a.at + fairDeadline)
	var t *fair.Ticket
	q.Notify = func(v fair.Decision) {
		if _, ok := v.(fair.Admitted); ok {
			b.forward(a, i, func() { g.Leave(b.sim.time(), t) })
			return
		}
		b.countRefusal(a)
	}
	var v fair.Decision
	t, v = g.Enter(b.sim.time(), q)
	switch v.(type) {
	case fair.Admitted:
		q.Notify(v)
	case fair.Refused:
		b.countRefusal(a)
	case fair.Waiting:
	}
}

func (b *fairSimulation) countRefusal(a arrival) {
	if a.at >= choiceWarmup {
		b.refused++
	}
}

// forward sends a request to a backend server and calls leave, unless it is nil,
// after the request's end. If no server can be chosen, it drops the request and
// does not call leave.
func (b *fairSimulation) forward(a arrival, i int, leave func()) {
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
			b.countAnswer(a, i)
		}
		if leave != nil {
			leave()
		}
	})
}

// countAnswer counts an answer to workspace i unless it came after the deadline.
func (b *fairSimulation) countAnswer(a arrival, i int) {
	d := b.sim.now - a.at
	if a.at < choiceWarmup || d > fairDeadline {
		return
	}
	b.served[i]++
	if i > 0 {
		b.otherLatencies = append(b.otherLatencies, d)
	}
}

func (b *fairSimulation) result() FairRun {
	r := FairRun{Scenario: b.scenario, Servers: b.serverCount, Way: b.variant, Refused: b.refused, WorstPart: 1}
	// The number of requests that the servers can process after the warm-up.
	capacity := (fairDuration - choiceWarmup).Seconds() * float64(b.serverCount) * slotsPerServer / meanServiceTime.Seconds()
	// The shares follow from the requests that arrived, not from the expected ones.
	for i := range b.workspaces {
		b.workspaces[i].demand = float64(b.offered[i]) / capacity
	}
	for i, p := range fairShares(b.workspaces) {
		share := p * capacity
		ratio := float64(b.served[i]) / share
		r.Served += float64(b.served[i]) / capacity
		if i == 0 {
			r.HogPart = ratio
			continue
		}
		r.WorstPart = min(r.WorstPart, ratio)
		r.WithinShare += int(share)
		r.WrongfulRefusals += max(0, int(share)-b.served[i])
	}
	r.OthersP99 = milliseconds(b.otherLatencies.quantile(0.99))
	return r
}
