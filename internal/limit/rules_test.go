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

// Bounds from the users' letters.
const (
	wrongfulBound = 0.001
	quietSeconds  = 600
)

func fleetOf(n int, specs ...limit.Spec) *virtual.World {
	w := &virtual.World{
		Random: rand.New(rand.NewSource(1)), MinDelay: time.Millisecond, MaxJitter: time.Millisecond,
		Drift: 0.01, MaxClockError: 0.0005, LongTermDrift: 0.0005,
		LeaseDuration: 20 * time.Second, MaxForgetDelay: time.Second, MaxRunTime: longestWork, Specs: specs,
	}
	for i := range n {
		w.Start(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), "", true)
	}
	return w
}

// refusals sprays arrivals and returns how many there were, how many the fleet
// refused and how many one exact bucket refuses.
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

var _ = Describe("a calm fleet of 16", func() {
	for _, r := range []float64{4, 40, 400} {
		It(fmt.Sprintf("serves %v/s at 90 %% nearly as one bucket", r), func() {
			p := limit.Spec{Key: key(limit.Rate, "w"), Rate: r, Burst: 2 * r}
			w := fleetOf(16, p)
			w.Run(30 * time.Second)
			n, refused, ideal := refusals(w, p, 0.9, time.Duration(quietSeconds/max(1, r/40))*time.Second)
			Expect(float64(refused - ideal)).To(BeNumerically("<=", wrongfulBound*float64(n-ideal)))
		})
	}

	It("keeps a tenant at ten times its rate from costing others anything", func() {
		p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 40, Burst: 80}
		o := limit.Spec{Key: key(limit.Rate, "loud"), Rate: 400, Burst: 800}
		w := fleetOf(16, p, o)
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
		Expect(float64(refused - ideal)).To(BeNumerically("<=", wrongfulBound*float64(n-ideal)))
		Expect(w.Messages / 61 / 16).To(BeNumerically("<", 60))
	})
})

// pair is the two fleets of a limit whose messages the test carries.
type pair struct {
	home, lender *limit.Fleet
	toHome       []*peerpb.LimitMessage
	toLender     []*peerpb.LimitMessage
}

func newPair(t time.Time, p limit.Spec) *pair {
	a := member.ID{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1}
	b := member.ID{Address: netip.MustParseAddrPort("10.0.0.1:2"), Incarnation: 2}
	r := &pair{}
	for _, ids := range [][2]member.ID{{a, b}, {b, a}} {
		f := &limit.Fleet{Self: ids[0], Drift: 0.01, Send: func(limit.Send) {}}
		f.Set(t, []limit.Spec{p})
		share(t, f, ids[1])
		if f.Dump().(limit.Dump).Limits[0].Self {
			r.home = f
			f.Send = func(s limit.Send) { r.toLender = append(r.toLender, s.Message) }
			continue
		}
		r.lender = f
		f.Send = func(s limit.Send) { r.toHome = append(r.toHome, s.Message) }
	}
	return r
}

func share(t time.Time, f *limit.Fleet, other member.ID) {
	s := member.Share{Count: 2, Usable: true, Until: t.Add(time.Hour)}
	f.Members(t, s, []member.Member{{ID: other, Answering: true}})
}

// lend makes the lender lend its share, and returns its renewal.
func (r *pair) lend(t time.Time) *peerpb.LimitMessage {
	r.home.Tick(t)
	r.lender.Receive(t, r.home.Self, r.toLender[len(r.toLender)-1])
	r.lender.Tick(t.Add(time.Millisecond))
	m := r.toHome[len(r.toHome)-1]
	Expect(m.GetLent()).To(HaveLen(1))
	return m
}

func (r *pair) dump() limit.LimitDump {
	return r.home.Dump().(limit.Dump).Limits[0]
}

var _ = Describe("a loan", func() {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := limit.Spec{Key: key(limit.Rate, "w"), Rate: 0.001, Burst: 10}

	It("brings its level once, however often it is repeated", func() {
		p := p
		p.Rate = 1
		r := newPair(t, p)
		m := r.lend(t.Add(4 * time.Second))
		Expect(m.GetLevel()[0]).To(BeNumerically(">", 1000))
		for i := range 3 {
			m.Sent += uint64(i)
			r.home.Receive(t.Add(4*time.Second+5*time.Millisecond), r.lender.Self, m)
		}
		Expect(r.dump().Held).To(BeNumerically("~", 1))
		Expect(r.dump().Level).To(BeNumerically("<=", 4.1))
	})

	It("is not taken if it counts from before a pause", func() {
		r := newPair(t, p)
		m := r.lend(t)
		n := t.Add(10 * time.Millisecond)
		r.home.Pause(n)
		share(n, r.home, r.lender.Self)
		r.home.Receive(n, r.lender.Self, m)
		Expect(r.dump().Loans).To(BeZero())
	})

	It("is not used by the lender until it has ended by any clock", func() {
		r := newPair(t, p)
		r.lend(t)
		d := r.lender.Dump().(limit.Dump).Limits[0]
		Expect(d.Held).To(BeZero())
		r.lender.Tick(t.Add(3 * time.Second))
		Expect(r.lender.Dump().(limit.Dump).Limits[0].Held).To(BeZero())
		r.lender.Tick(t.Add(4 * time.Second))
		Expect(r.lender.Dump().(limit.Dump).Limits[0].Held).To(BeNumerically("~", 0.5))
	})
})
