package measure

import (
	"time"

	"lentilbend.example/internal/limit/virtual"
)

// Times of the faults.
const (
	replaceAfter = 10 * time.Second
	restartEvery = 10 * time.Second
	stopLasts    = 5 * time.Second
	cutLasts     = time.Minute
	pauseLasts   = 30 * time.Second
)

func (s *limitsSim) after(d time.Duration, f func()) {
	s.world.At(s.world.Now()+d, f)
}

func (s *limitsSim) crashOne() {
	v := s.world.VMs[s.random.Intn(len(s.world.VMs))]
	s.world.Crash(v)
	s.after(replaceAfter, func() { s.world.Start(s.address(), v.DataCentre, false) })
}

// rollingRestarts stops each VM in a planned way and starts it anew at its
// address.
func (s *limitsSim) rollingRestarts() {
	for i, v := range s.world.VMs {
		s.after(time.Duration(i)*restartEvery, func() { s.world.Leave(v) })
		s.after(time.Duration(i)*restartEvery+stopLasts, func() {
			s.world.Crash(v)
			s.world.Start(v.ID.Address, v.DataCentre, false)
		})
	}
}

func (s *limitsSim) cutCentre() {
	c := centre(0)
	s.world.Partition(func(a, b *virtual.VM) bool { return (a.DataCentre == c) != (b.DataCentre == c) })
	s.after(cutLasts, func() { s.world.Partition(nil) })
}

func (s *limitsSim) pauseOne() {
	s.world.Freeze(s.world.VMs[0], pauseLasts, false)
}

func (s *limitsSim) suspendOne() {
	s.world.Freeze(s.world.VMs[0], pauseLasts, true)
}

func (s *limitsSim) frozenList() {
	s.world.Platform.Freeze()
	s.after(replaceAfter, func() { s.world.Start(s.address(), centre(0), false) })
}

func (s *limitsSim) platformDown() {
	s.world.Platform.Down = true
	s.after(replaceAfter, s.crashOne)
}
