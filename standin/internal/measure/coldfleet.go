package measure

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// Times of the fleet-wide limit in the measurement.
const (
	fleetTick    = 50 * time.Millisecond
	fleetPromise = 20 * time.Second
)

// fleetAllowance is the fleet-wide limit of one VM as the choice uses it.
type fleetAllowance struct {
	fleet *limit.Fleet
}

// Take uses a token that is at hand.
func (a fleetAllowance) Take(now time.Time, server netip.AddrPort) bool {
	return a.fleet.TryTake(now, coldLimit(server))
}

func coldLimit(server netip.AddrPort) limit.Key {
	return limit.Key{Kind: limit.Cold, Service: "till", Server: server}
}

// limits connects a fleet-wide limit for each VM with the others.
func (b *coldBench) limits() []fleetAllowance {
	as := make([]fleetAllowance, choiceVMs)
	ms := make([]member.Member, choiceVMs)
	for i := range as {
		ms[i] = member.Member{ID: member.ID{Address: serverAddress(500 + i), Incarnation: 1}, Answering: true}
	}
	index := map[member.ID]int{}
	for i := range as {
		index[ms[i].ID] = i
		as[i].fleet = &limit.Fleet{
			Self:          ms[i].ID,
			MaxClockDrift: limit.DefaultMaxClockDrift,
			LongTermDrift: limit.DefaultLongTermDrift,
			Send: func(s limit.Envelope) {
				b.sim.after(delay(i%choiceCentres, index[s.To]%choiceCentres), func() {
					as[index[s.To]].fleet.Receive(b.sim.time(), ms[i].ID, s.Message)
				})
			},
		}
		as[i].fleet.Set(epoch, b.coldSpecs())
	}
	b.tickLimits(as, ms)
	return as
}

func (b *coldBench) coldSpecs() []limit.Spec {
	var ss []limit.Spec
	for _, v := range b.servers {
		ss = append(ss, limit.Spec{Key: coldLimit(v.address), Rate: coldRate, Burst: coldBurst})
	}
	return ss
}

func (b *coldBench) tickLimits(as []fleetAllowance, ms []member.Member) {
	now := b.sim.time()
	s := member.Share{
		Count: choiceVMs, RunningCount: choiceVMs, Usable: true, RunningUsable: true,
		Until: now.Add(fleetPromise), Epoch: 1,
	}
	for _, a := range as {
		a.fleet.SetMembers(now, s, ms)
		a.fleet.Tick(now)
	}
	if b.sim.now < coldLength {
		b.sim.after(fleetTick, func() { b.tickLimits(as, ms) })
	}
}
