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

// harness drives a Gate in virtual time.
type harness struct {
	gate *fair.Gate
	now  time.Time
	// running holds the admitted requests, oldest first.
	running []*entry
	// admitted holds the workspaces of all admitted requests in order.
	admitted []string
}

// entry is a request at the gate.
type entry struct {
	workspace string
	ticket    *fair.Ticket
	decision  fair.Decision
	// notified counts the calls of Request.Notify.
	notified int
}

func newHarness() *harness {
	return &harness{gate: &fair.Gate{}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// enter enters a request whose deadline is timeout from now.
func (h *harness) enter(workspace string, weight float64, timeout time.Duration) *entry {
	e := &entry{workspace: workspace}
	r := fair.Request{Workspace: workspace, Weight: weight, Deadline: h.now.Add(timeout)}
	r.Notify = func(d fair.Decision) {
		e.decision = d
		e.notified++
		h.recordAdmission(e)
	}
	t, d := h.gate.Enter(h.now, r)
	e.ticket = t
	if e.notified == 0 {
		e.decision = d
	}
	if _, ok := d.(fair.Admitted); ok {
		h.recordAdmission(e)
	}
	return e
}

// recordAdmission records e if it was admitted.
func (h *harness) recordAdmission(e *entry) {
	if _, ok := e.decision.(fair.Admitted); ok {
		h.running = append(h.running, e)
		h.admitted = append(h.admitted, e.workspace)
	}
}

// leave ends the request that has run longest.
func (h *harness) leave() {
	e := h.running[0]
	h.running = h.running[1:]
	h.gate.Leave(h.now, e.ticket)
}

// lowerLimit reports full servers until the limit is n or less.
func (h *harness) lowerLimit(n float64) {
	for h.gate.Dump().Limit == 0 || h.gate.Dump().Limit > n {
		h.now = h.now.Add(10 * time.Millisecond)
		h.gate.Observe(h.now, fair.Sample{Latency: 10 * time.Millisecond, Reported: true, Queued: 12, Slots: 6})
	}
}

// countAdmitted returns the number of admitted requests of each workspace.
func (h *harness) countAdmitted() map[string]int {
	n := map[string]int{}
	for _, w := range h.admitted {
		n[w]++
	}
	return n
}

func (e *entry) String() string {
	return fmt.Sprintf("%s %T", e.workspace, e.decision)
}
