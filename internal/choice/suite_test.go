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

const usual = 10 * time.Millisecond

// bench is a Set in virtual time.
type bench struct {
	set   *choice.Set
	now   time.Time
	hosts []choice.Server
	cold  *bucket
}

// bucket allows a number of units.
type bucket struct {
	left  int
	taken map[netip.AddrPort]int
}

func (b *bucket) Take(_ time.Time, s netip.AddrPort) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	b.taken[s]++
	return true
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

func newBench(n int, seed uint64) *bench {
	b := &bench{
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		cold: &bucket{taken: map[netip.AddrPort]int{}},
	}
	b.set = &choice.Set{
		Service: "till",
		Policy:  choice.NewInformed(),
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		Cold:    b.cold,
	}
	for i := range n {
		b.hosts = append(b.hosts, choice.Server{Address: address(i), DataCentre: "a"})
	}
	b.update()
	return b
}

func (b *bench) update() {
	b.set.Update(b.now, choice.Config{Slots: 6, ColdFor: 10 * time.Second, VMs: 16, Probeable: true}, b.hosts)
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
}

func (b *bench) choose() choice.Call {
	c, ok := b.set.Choose(b.now, "", nil)
	Expect(ok).To(BeTrue())
	return c
}

// good ends a call with a usual answer and a report.
func (b *bench) good(c choice.Call, r load.Report) {
	c.End(b.now, choice.Answered{Status: 200, Load: &r, FirstByte: usual})
}

// idle is the report of a server that works on one request.
var idle = load.Report{Running: 1, Slots: 6}

// warmUp gives each server answers, so that the usual latency is known.
func (b *bench) warmUp() {
	for range 40 * len(b.hosts) {
		c := b.choose()
		b.pass(usual)
		b.good(c, idle)
	}
}

// spread gives n requests, one after the other, and returns how many each
// server got. The function answers a call.
func (b *bench) spread(n int, answer func(c choice.Call)) map[netip.AddrPort]int {
	got := map[netip.AddrPort]int{}
	for range n {
		c := b.choose()
		got[c.Server()]++
		answer(c)
	}
	return got
}

func (b *bench) answerIdle(c choice.Call) {
	b.pass(usual)
	b.good(c, idle)
}

func (b *bench) dump(i int) choice.ServerDump {
	return b.set.Dump().Servers[i]
}
