package fair_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/fair"
)

func TestFair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fair")
}

// bench is a Gate in virtual time.
type bench struct {
	gate *fair.Gate
	now  time.Time
	runs []*entry
	log  []string
}

// entry is a request in the gate.
type entry struct {
	workspace string
	ticket    *fair.Ticket
	verdict   fair.Verdict
	resolved  int
}

func newBench() *bench {
	return &bench{gate: &fair.Gate{}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (b *bench) enter(workspace string, weight float64, within time.Duration) *entry {
	e := &entry{workspace: workspace}
	r := fair.Request{Workspace: workspace, Weight: weight, Deadline: b.now.Add(within)}
	r.Done = func(v fair.Verdict) {
		e.verdict = v
		e.resolved++
		b.note(e)
	}
	t, v := b.gate.Enter(b.now, r)
	e.ticket = t
	if e.resolved == 0 {
		e.verdict = v
	}
	if _, ok := v.(fair.Admitted); ok {
		b.note(e)
	}
	return e
}

func (b *bench) note(e *entry) {
	if _, ok := e.verdict.(fair.Admitted); ok {
		b.runs = append(b.runs, e)
		b.log = append(b.log, e.workspace)
	}
}

// leave ends the request that runs longest.
func (b *bench) leave() {
	e := b.runs[0]
	b.runs = b.runs[1:]
	b.gate.Leave(b.now, e.ticket)
}

// narrow makes the gate learn a limit of n or less from full servers.
func (b *bench) narrow(n float64) {
	for b.gate.Dump().Limit == 0 || b.gate.Dump().Limit > n {
		b.now = b.now.Add(10 * time.Millisecond)
		b.gate.Observe(b.now, fair.Sample{Latency: 10 * time.Millisecond, Reported: true, Queued: 12, Slots: 6})
	}
}

func (b *bench) counts() map[string]int {
	n := map[string]int{}
	for _, w := range b.log {
		n[w]++
	}
	return n
}

func (e *entry) String() string {
	return fmt.Sprintf("%s %T", e.workspace, e.verdict)
}
