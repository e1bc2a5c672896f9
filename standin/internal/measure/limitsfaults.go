package measure

import (
	"time"

	"lentilbend.example/internal/limit/virtual"
)

// Times of the faults. replacementDelay is the time from a crash until the VM is
// replaced, and from the fault of freezeList or failPlatform until a VM starts or
// crashes.
const (
	replacementDelay  = 10 * time.Second
	restartInterval   = 10 * time.Second
	shutdownDuration  = 5 * time.Second
	partitionDuration = time.Minute
	pauseDuration     = 30 * time.Second
)

// after schedules a call of f after the duration d.
func (s *limitsSimulation) after(d time.Duration, f func()) {
	s.world.At(s.world.Now()+d, f)
}

// crashVM crashes a random VM and later starts another one in its data centre.
func (s *limitsSimulation) crashVM() {
	v := s.world.VMs[s.random.Intn(len(s.world.VMs))]
	s.world.Crash(v)
	s.after(replacementDelay, func() { s.world.Start(s.newAddress(), v.DataCentre, false) })
}

// restartAll shuts down one VM after the other gracefully and restarts it at the
// same address.
func (s *limitsSimulation) restartAll() {
	for i, v := range s.world.VMs {
		s.after(time.Duration(i)*restartInterval, func() { s.world.Leave(v) })
		s.after(time.Duration(i)*restartInterval+shutdownDuration, func() {
			s.world.Crash(v)
			s.world.Start(v.ID.Address, v.DataCentre, false)
		})
	}
}

// partitionCentre cuts off one data centre from the others.
func (s *limitsSimulation) partitionCentre() {
	c := centreName(0)
	s.world.Partition(func(a, b *virtual.VM) bool { return (a.DataCentre == c) != (b.DataCentre == c) })
	s.after(partitionDuration, func() { s.world.Partition(nil) })
}

// pauseVM pauses a VM while its clock goes on.
func (s *limitsSimulation) pauseVM() {
	s.world.Freeze(s.world.VMs[0], pauseDuration, false)
}

// suspendVM pauses a VM together with its clock.
func (s *limitsSimulation) suspendVM() {
	s.world.Freeze(s.world.VMs[0], pauseDuration, true)
}

// freezeList makes the VM list stay at its current version, and then starts a VM
// that it does not contain.
func (s *limitsSimulation) freezeList() {
	s.world.Platform.Freeze()
	s.after(replacementDelay, func() { s.world.Start(s.newAddress(), centreName(0), false) })
}

// failPlatform makes all reads of the VM list fail, and later crashes a VM.
func (s *limitsSimulation) failPlatform() {
	s.world.Platform.Down = true
	s.after(replacementDelay, s.crashVM)
}
