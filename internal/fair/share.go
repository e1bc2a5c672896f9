package fair

import (
	"slices"
	"time"
)

// costWeight is the EWMA weight of the latest request in a workspace's cost.
const costWeight = 0.05

// flow holds the requests of one workspace in start-time fair queueing. Each
// admitted request advances the start tag by its cost divided by the weight.
type flow struct {
	name    string
	weight  float64
	tag     float64 // start tag of the next request, in seconds per weight
	cost    float64 // EWMA of a request's running time, in seconds
	queue   []*Ticket
	running int

	arrived  uint64
	admitted uint64
	refused  uint64
}

// flow returns the flow of a workspace, which it creates if needed, and updates
// its weight.
func (g *Gate) flow(name string, weight float64) *flow {
	if g.flows == nil {
		g.flows = map[string]*flow{}
	}
	f := g.flows[name]
	if f == nil {
		f = &flow{name: name, cost: max(g.limit.baseLatency.Seconds(), minCostSeconds)}
		g.flows[name] = f
	}
	f.weight = max(weight, minWeight)
	return f
}

// Lower bounds that keep tags finite and growing.
const (
	minCostSeconds = 1e-4
	minWeight      = 1e-6
)

// maxCreditRequests bounds how many requests of a workspace that has had less than
// its share are admitted ahead of the others'.
const maxCreditRequests = 16

// recordArrival counts a request. If the workspace has none waiting, its start
// tag is raised to the virtual time minus its credit, so that it can't save up
// more credit while it is idle.
func (f *flow) recordArrival(virtualTime float64) {
	f.arrived++
	if len(f.queue) == 0 {
		f.tag = max(f.tag, virtualTime-maxCreditRequests*f.cost/f.weight)
	}
}

func (f *flow) startTag() float64 {
	return f.tag
}

// charge advances the start tag by the cost of one request.
func (f *flow) charge() {
	f.tag += f.cost / f.weight
}

// recordRunTime updates the cost by the running time of a finished request.
func (f *flow) recordRunTime(d time.Duration) {
	f.cost = max(f.cost+costWeight*(d.Seconds()-f.cost), minCostSeconds)
}

// pop removes and returns the request that has waited longest.
func (f *flow) pop() *Ticket {
	t := f.queue[0]
	f.queue[0] = nil
	f.queue = f.queue[1:]
	return t
}

// finishTag returns what the start tag will be once all waiting requests have
// been admitted. The greater it is, the further the workspace is over its share.
func (f *flow) finishTag() float64 {
	return f.tag + float64(len(f.queue))*f.cost/f.weight
}

// enqueue adds t to its flow's queue. If the queues then exceed their capacity, the
// latest request of the workspace furthest over its share is refused; enqueue
// returns false if that is t.
func (g *Gate) enqueue(t *Ticket) bool {
	t.flow.queue = append(t.flow.queue, t)
	g.waiting++
	if g.waiting <= max(minQueueCapacity, queueCapacityFactor*g.limit.current()) {
		return true
	}
	f := g.mostOverShare()
	last := len(f.queue) - 1
	dropped := f.queue[last]
	f.queue[last] = nil
	f.queue = f.queue[:last]
	g.waiting--
	if dropped == t {
		return false
	}
	g.refuse(dropped)
	return true
}

// removeWaiting removes a waiting request from its queue.
func (g *Gate) removeWaiting(t *Ticket) {
	i := slices.Index(t.flow.queue, t)
	if i < 0 {
		return
	}
	t.flow.queue = slices.Delete(t.flow.queue, i, i+1)
	g.waiting--
}

// nextFlow returns the flow with waiting requests that is to be served next: that
// with the smallest start tag.
func (g *Gate) nextFlow() *flow {
	var next *flow
	for _, f := range g.flows {
		if len(f.queue) == 0 {
			continue
		}
		if next == nil || f.tag < next.tag || f.tag == next.tag && f.name < next.name {
			next = f
		}
	}
	return next
}

// mostOverShare returns the flow with waiting requests that is furthest over its
// share.
func (g *Gate) mostOverShare() *flow {
	var most *flow
	for _, f := range g.flows {
		if len(f.queue) == 0 {
			continue
		}
		if most == nil || f.finishTag() > most.finishTag() || f.finishTag() == most.finishTag() && f.name < most.name {
			most = f
		}
	}
	return most
}

// deleteIdle deletes a flow that has no requests and whose start tag doesn't exceed
// the virtual time, so that the number of flows is bounded by the recently active
// workspaces. A flow with a greater start tag has had more than its share and stays.
func (g *Gate) deleteIdle(f *flow) {
	if len(f.queue) == 0 && f.running == 0 && f.tag <= g.virtualTime && len(g.flows) > maxIdleFlows {
		delete(g.flows, f.name)
	}
}

// maxIdleFlows is the number of flows up to which idle ones are kept, so that they
// appear in the dump.
const maxIdleFlows = 64
