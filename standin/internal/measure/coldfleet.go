package measure

import (
	"net/netip"
	"time"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
)

// Times of the fleet-wide limit in the measurement "cold".
const (
	limitTickInterval = 50 * time.Millisecond
	// shareLeaseDuration is how long the share given at each tick stays valid.
	shareLeaseDuration = 20 * time.Second
)

// fleetAllowance is a choice.Allowance that takes tokens from the fleet-wide limit
// as seen by one VM.
type fleetAllowance struct {
	fleet *limit.Fleet
}

// Take takes a token if one is available without a message to another VM.
func (a fleetAllowance) Take(now time.Time, server netip.AddrPort) bool {
	return a.fleet.TryTake(now, coldLimitKey(server))
}

func coldLimitKey(server netip.AddrPort) limit.Key {
	return limit.Key{Kind: limit.Cold, Service: "till", Server: server}
}

// newFleetAllowances starts a limit.Fleet for each VM, connected by the simulated
// network.
func (b *coldSimulation) newFleetAllowances() []fleetAllowance {
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
				b.sim.after(networkDelay(i%choiceDataCentres, index[s.To]%choiceDataCentres), func() {
					as[index[s.To]].fleet.Receive(b.sim.time(), ms[i].ID, s.Message)
				})
			},
		}
		as[i].fleet.Set(epoch, b.coldSpecs())
	}
	b.tickFleets(as, ms)
	return as
}

func (b *coldSimulation) coldSpecs() []limit.Spec {
	var ss []limit.Spec
	for _, v := range b.servers {
		ss = append(ss, limit.Spec{Key: coldLimitKey(v.address), Rate: coldRate, Burst: coldBurst})
	}
	return ss
}

// tickFleets renews the share of every VM, ticks its limit.Fleet and schedules
// itself again.
func (b *coldSimulation) tickFleets(as []fleetAllowance, ms []member.Member) {
	now := b.sim.time()
	s := member.Share{
		Count: choiceVMs, RunningCount: choiceVMs, Usable: true, RunningUsable: true,
		Until: now.Add(shareLeaseDuration), Epoch: 1,
	}
	for _, a := range as {
		a.fleet.SetMembers(now, s, ms)
		a.fleet.Tick(now)
	}
	if b.sim.now < coldDuration {
		b.sim.after(limitTickInterval, func() { b.tickFleets(as, ms) })
	}
}
