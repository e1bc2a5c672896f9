package choice_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

func TestChoice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choice")
}

const baselineLatency = 10 * time.Millisecond

// harness runs a Set in virtual time.
type harness struct {
	set     *choice.Set
	now     time.Time
	servers []choice.Server
	cold    *countedAllowance
}

// countedAllowance is an Allowance of a fixed number of tokens. It counts those
// taken for each server.
type countedAllowance struct {
	tokens int
	taken  map[netip.AddrPort]int
}

func (b *countedAllowance) Take(_ time.Time, s netip.AddrPort) bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	b.taken[s]++
	return true
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func newHarness(n int, seed uint64) *harness {
	b := &harness{
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		cold: &countedAllowance{taken: map[netip.AddrPort]int{}},
	}
	b.set = &choice.Set{
		Service: "till",
		Policy:  choice.NewInformed(),
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		Cold:    b.cold,
	}
	for i := range n {
		b.servers = append(b.servers, choice.Server{Address: address(i), DataCentre: "a"})
	}
	b.update()
	return b
}

func (b *harness) update() {
	b.set.Update(b.now, choice.Config{Slots: 6, ColdFor: 10 * time.Second, VMs: 16, Probeable: true}, b.servers)
}

func (b *harness) advance(d time.Duration) {
	b.now = b.now.Add(d)
}

func (b *harness) choose() choice.Call {
	c, ok := b.set.Choose(b.now, "", nil)
	Expect(ok).To(BeTrue())
	return c
}

// answer ends a call with an answer of the baseline latency and a load report.
func (b *harness) answer(c choice.Call, r load.Report) {
	c.End(b.now, choice.Answered{Status: 200, Load: &r, FirstByte: baselineLatency})
}

// idleReport is the report of a server that processes one request.
var idleReport = load.Report{Running: 1, Slots: 6}

// learnLatency lets each server answer, so that the baseline latency is known.
func (b *harness) learnLatency() {
	for range 40 * len(b.servers) {
		c := b.choose()
		b.advance(baselineLatency)
		b.answer(c, idleReport)
	}
}

// send sends n requests, one after the other, and returns how many each server
// got. The function end ends each call.
func (b *harness) send(n int, end func(c choice.Call)) map[netip.AddrPort]int {
	got := map[netip.AddrPort]int{}
	for range n {
		c := b.choose()
		got[c.Server()]++
		end(c)
	}
	return got
}

func (b *harness) answerIdle(c choice.Call) {
	b.advance(baselineLatency)
	b.answer(c, idleReport)
}

func (b *harness) dump(i int) choice.ServerDump {
	return b.set.Dump().Servers[i]
}
