package limit_test

import (
	"fmt"
	"math/rand"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/limit/virtual"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Bounds required by the users.
const (
	// maxWrongRefusals bounds the requests that the fleet refuses although one
	// exact bucket would not, as a fraction of those that the bucket accepts.
	maxWrongRefusals = 0.001
	// steadySeconds is how long refusals are counted at up to 40 requests per
	// second; higher rates need less time for as many requests.
	steadySeconds = 600
)

// newWorld returns a fleet of n VMs.
func newWorld(n int, specs ...limit.Spec) *virtual.World {
	w := &virtual.World{
		Random: rand.New(rand.NewSource(1)), MinDelay: time.Millisecond, MaxJitter: time.Millisecond,
		MaxClockDrift: 0.01, MaxClockError: 0.0005, LongTermDrift: 0.0005,
		LeaseDuration: 20 * time.Second, MaxForgetDelay: time.Second, MaxRunTime: maxRunTime, Specs: specs,
	}
	for i := range n {
		w.Start(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), "", true)
	}
	return w
}

// refusals sends requests to random VMs for the time d, at load times the rate of
// p, and returns how many there were, how many the fleet refused, and how many one
// exact bucket would have refused.
func refusals(w *virtual.World, p limit.Spec, load float64, d time.Duration) (calls, refused, ideal int) {
	exact := &virtual.Checker{Rate: p.Rate, Burst: p.Burst}
	end := w.Now() + d
	var next func()
	next = func() {
		g := time.Duration(w.Random.ExpFloat64() / (p.Rate * load) * float64(time.Second))
		w.At(w.Now()+g, func() {
			if w.Now() > end {
				return
			}
			next()
			calls++
			if !exact.TryTake(w.Now()) {
				ideal++
			}
			v := w.VMs[w.Random.Intn(len(w.VMs))]
			v.Fleet.Take(v.Now(), p.Key, v.Now().Add(time.Second), func(a limit.Answer) {
				if _, ok := a.(limit.Refused); ok {
					refused++
				}
			})
		})
	}
	next()
	w.Run(end + time.Second)
	return calls, refused, ideal
}

var _ = Describe("a fleet of 16 VMs without faults", func() {
	for _, r := range []float64{4, 40, 400} {
		It(fmt.Sprintf("refuses hardly more than one bucket would for %v/s at 90 %% load", r), func() {
			p := limit.Spec{Key: key(limit.Rate, "w"), Rate: r, Burst: 2 * r}
			w := newWorld(16, p)
			w.Run(30 * time.Second)
			n, refused, ideal := refusals(w, p, 0.9, time.Duration(steadySeconds/max(1, r/40))*time.Second)
			Expect(float64(refused - ideal)).To(BeNumerically("<=", maxWrongRefusals*float64(n-ideal)))
		})
	}

	It("keeps the refusals of a workspace within the bound while another one sends ten times its rate", func() {
		p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 40, Burst: 80}
		o := limit.Spec{Key: key(limit.Rate, "loud"), Rate: 400, Burst: 800}
		w := newWorld(16, p, o)
		w.Run(30 * time.Second)
		var next func()
		next = func() {
			w.At(w.Now()+time.Duration(w.Random.ExpFloat64()/4000*float64(time.Second)), func() {
				next()
				v := w.VMs[w.Random.Intn(len(w.VMs))]
				v.Fleet.Take(v.Now(), o.Key, v.Now().Add(time.Second), func(limit.Answer) {})
			})
		}
		next()
		w.Messages = 0
		n, refused, ideal := refusals(w, p, 0.9, 60*time.Second)
		Expect(float64(refused - ideal)).To(BeNumerically("<=", maxWrongRefusals*float64(n-ideal)))
		// Messages per second of each VM.
		Expect(w.Messages / 61 / 16).To(BeNumerically("<", 60))
	})
})

// pair is a fleet of two VMs, the owner and a delegator of a limit. The test
// delivers their messages.
type pair struct {
	owner, delegator *limit.Fleet
	toOwner          []*peerpb.LimitMessage
	toDelegator      []*peerpb.LimitMessage
}

func newPair(t time.Time, p limit.Spec) *pair {
	a := member.ID{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1}
	b := member.ID{Address: netip.MustParseAddrPort("10.0.0.1:2"), Incarnation: 2}
	r := &pair{}
	for _, ids := range [][2]member.ID{{a, b}, {b, a}} {
		f := &limit.Fleet{Self: ids[0], MaxClockDrift: 0.01, Send: func(limit.Envelope) {}}
		f.Set(t, []limit.Spec{p})
		share(t, f, ids[1])
		if f.Dump().(limit.Dump).Limits[0].Self {
			r.owner = f
			f.Send = func(e limit.Envelope) { r.toDelegator = append(r.toDelegator, e.Message) }
			continue
		}
		r.delegator = f
		f.Send = func(e limit.Envelope) { r.toOwner = append(r.toOwner, e.Message) }
	}
	return r
}

// share gives f half of each limit.
func share(t time.Time, f *limit.Fleet, other member.ID) {
	s := member.Share{Count: 2, Usable: true, Until: t.Add(time.Hour)}
	f.SetMembers(t, s, []member.Member{{ID: other, Answering: true}})
}

// delegate makes the delegator delegate its share, and returns its renewal.
func (r *pair) delegate(t time.Time) *peerpb.LimitMessage {
	r.owner.Tick(t)
	r.delegator.Receive(t, r.owner.Self, r.toDelegator[len(r.toDelegator)-1])
	r.delegator.Tick(t.Add(time.Millisecond))
	m := r.toOwner[len(r.toOwner)-1]
	Expect(m.GetLent()).To(HaveLen(1))
	return m
}

// dump returns the owner's dump of the limit.
func (r *pair) dump() limit.LimitDump {
	return r.owner.Dump().(limit.Dump).Limits[0]
}

var _ = Describe("a delegation", func() {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 0.001, Burst: 10}

	It("adds its level once, even if the renewal is duplicated", func() {
		p := p
		p.Rate = 1
		r := newPair(t, p)
		m := r.delegate(t.Add(4 * time.Second))
		Expect(m.GetLevel()[0]).To(BeNumerically(">", 1000))
		for i := range 3 {
			m.Sent += uint64(i)
			r.owner.Receive(t.Add(4*time.Second+5*time.Millisecond), r.delegator.Self, m)
		}
		Expect(r.dump().Held).To(BeNumerically("~", 1))
		Expect(r.dump().Level).To(BeNumerically("<=", 4.1))
	})

	It("is ignored if its length counts from before a pause", func() {
		r := newPair(t, p)
		m := r.delegate(t)
		n := t.Add(10 * time.Millisecond)
		r.owner.Pause(n)
		share(n, r.owner, r.delegator.Self)
		r.owner.Receive(n, r.delegator.Self, m)
		Expect(r.dump().Loans).To(BeZero())
	})

	It("is not used by the delegator until it has expired by any clock", func() {
		r := newPair(t, p)
		r.delegate(t)
		d := r.delegator.Dump().(limit.Dump).Limits[0]
		Expect(d.Held).To(BeZero())
		r.delegator.Tick(t.Add(3 * time.Second))
		Expect(r.delegator.Dump().(limit.Dump).Limits[0].Held).To(BeZero())
		r.delegator.Tick(t.Add(4 * time.Second))
		Expect(r.delegator.Dump().(limit.Dump).Limits[0].Held).To(BeNumerically("~", 0.5))
	})
})
