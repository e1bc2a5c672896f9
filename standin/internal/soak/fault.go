package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lentilbend.example/platform/platformtest"

	"lentilbend.example/standin/internal/fleet"
)

const (
	meanFaultInterval = 400 * time.Millisecond
	minFaultDuration  = 100 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	linkDelay         = 60 * time.Millisecond
	// maxShutdownTime is the users' grace of 6 s plus a margin for a busy machine.
	maxShutdownTime = 8 * time.Second
	// signalReadyDelay is how long a new process needs to install its signal
	// handlers. A termination signal before that ends it without a graceful
	// shutdown, which is no violation, since it has served nothing yet.
	signalReadyDelay = 200 * time.Millisecond
	// leavingDuration is how long a server is marked as leaving before its entry
	// is removed from the store.
	leavingDuration = 300 * time.Millisecond
	// maxLostWrites bounds the writes that a copy of the store lacks: the first five are
	// the configuration and the entries of the servers. maxWriteAgainDelay bounds the time
	// until these are made again, for which the platform promises 2 s.
	maxLostWrites      = 8
	maxWriteAgainDelay = 1500 * time.Millisecond
	// maxReservedVMs bounds how many VMs are killed, stopped, paused or reloaded at
	// once, so that most VMs stay up.
	maxReservedVMs = 2
)

// fault is a fault to inject. Its name is written to the run's log.
type fault struct {
	name           string
	inject, revert func() error
}

// injectFaults injects overlapping faults for the duration of the run, reverts
// each and returns the first error.
func (s *Soak) injectFaults(ctx context.Context) error {
	errs := make(chan error, 1)
	var g sync.WaitGroup
	g.Go(s.restoreStore)
	for time.Since(s.start) < s.Duration && ctx.Err() == nil {
		f := s.drawFault()
		d := minFaultDuration + time.Duration(s.rand.Int64N(int64(maxFaultDuration-minFaultDuration)))
		s.logf("%s for %s", f.name, d.Round(10*time.Millisecond))
		g.Go(func() {
			err := f.inject()
			if err == nil {
				time.Sleep(d)
				err = f.revert()
			}
			if err != nil {
				select {
				case errs <- fmt.Errorf("soak: %s: %w", f.name, err):
				default:
				}
			}
		})
		time.Sleep(time.Duration(s.rand.Int64N(int64(2 * meanFaultInterval))))
	}
	g.Wait()
	s.logf("all faults have ended")
	select {
	case err := <-errs:
		return err
	default:
		return ctx.Err()
	}
}

// restoreStore restores the store once from a copy that lacks its last writes, which are
// made again after a while. It draws from a sequence of its own, so that the seeds stand
// for the same other faults as without it.
func (s *Soak) restoreStore() {
	r := rand.New(rand.NewPCG(s.Seed, 2))
	time.Sleep(s.Duration/4 + time.Duration(r.Int64N(int64(s.Duration/2))))
	n, d := 1+r.IntN(maxLostWrites), time.Duration(r.Int64N(int64(maxWriteAgainDelay)))
	s.logf("store restored from a copy that lacks %d writes, which are made again after %s", n, d.Round(10*time.Millisecond))
	writeAgain := s.store.Restore(n)
	time.Sleep(d)
	writeAgain()
}

// drawFault returns the next random fault. The order of the cases and draws
// decides which faults a seed stands for.
func (s *Soak) drawFault() fault {
	i := s.rand.IntN(s.VMs)
	a := s.fleet.Entries[i]
	b := s.fleet.Entries[(i+1+s.rand.IntN(s.VMs-1))%s.VMs]
	v := s.servers[s.rand.IntN(len(s.servers))]
	name := fmt.Sprintf("VM %d", a.Index+1)
	pair := fmt.Sprintf("%s and VM %d", name, b.Index+1)
	switch s.rand.IntN(13) {
	case 0, 1:
		return s.processFault("kill "+name, a, a.Kill)
	case 2:
		return s.processFault("stop "+name, a, func() error { return s.shutDown(a) })
	case 3:
		return s.processFault("pause "+name, a, a.Pause)
	case 4:
		return fault{"reload " + name, func() error { return s.sendSignal(a, a.Reload) }, noRevert}
	case 5:
		return s.linkFault("cut off "+name, s.otherEntries(a), a, fleet.LinkFaults{BlockIn: true, BlockOut: true})
	case 6:
		return s.linkFault("cut one way "+pair, []*fleet.Entry{b}, a, fleet.LinkFaults{BlockIn: true})
	case 7:
		return s.linkFault("delay "+pair, []*fleet.Entry{b}, a, fleet.LinkFaults{Delay: linkDelay})
	case 8:
		return fault{"reset " + pair, func() error { s.fleet.ResetConnections(a, b); return nil }, noRevert}
	case 9, 10:
		mode := []string{"busy", "silent", "forgotten"}[s.rand.IntN(3)]
		return fault{"store " + mode, func() error { s.store.SetFault(mode); return nil }, func() error { s.store.SetFault(""); return nil }}
	case 11:
		mode := []string{"lost", "slow", "shed"}[s.rand.IntN(3)]
		return fault{"server " + v.Name + " " + mode, func() error { v.Set(mode); return nil }, func() error { v.Set(""); return nil }}
	}
	return s.withdrawServer(v)
}

func noRevert() error { return nil }

// withdrawServer returns a fault that marks a server as leaving, removes its
// entry from the store and later adds it again.
func (s *Soak) withdrawServer(v *platformtest.Server) fault {
	return fault{"entry of " + v.Name + " goes", func() error {
		s.store.PutServer(v, true)
		time.Sleep(leavingDuration)
		s.store.RemoveServer(v)
		return nil
	}, func() error {
		s.store.PutServer(v, false)
		return nil
	}}
}

// processFault returns a fault that ends or pauses a VM's process, and starts or
// resumes it again. It does nothing if the VM cannot be reserved.
func (s *Soak) processFault(name string, e *fleet.Entry, action func() error) fault {
	reserved := false
	return fault{name, func() error {
		if reserved = s.reserve(e); !reserved {
			s.logf("%s: skipped", name)
			return nil
		}
		return action()
	}, func() error {
		if !reserved {
			return nil
		}
		defer s.release(e)
		if e.Running() {
			return e.Resume()
		}
		defer time.Sleep(signalReadyDelay)
		return e.Start()
	}}
}

// shutDown runs a graceful shutdown of a VM, which must exit with code 0 within
// maxShutdownTime.
func (s *Soak) shutDown(e *fleet.Entry) error {
	t := time.Now()
	c, err := e.Stop()
	if err != nil {
		return err
	}
	if c != 0 || time.Since(t) > maxShutdownTime {
		s.logf("VM %d: %s", e.Index+1, e.LogTail())
		s.addViolation("VM %d: graceful shutdown ended with exit code %d after %s", e.Index+1, c, time.Since(t))
	}
	return nil
}

// sendSignal runs an action that signals a VM's process, unless the VM cannot be
// reserved.
func (s *Soak) sendSignal(e *fleet.Entry, action func() error) error {
	if !s.reserve(e) {
		return nil
	}
	defer s.release(e)
	return action()
}

// reserve reserves a VM's process for one fault, so that signals to the process do
// not overlap. It returns false if another fault has reserved it or maxReservedVMs
// are reserved.
func (s *Soak) reserve(e *fleet.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[e] || len(s.reserved) >= maxReservedVMs {
		return false
	}
	s.reserved[e] = true
	return true
}

// release ends a reservation.
func (s *Soak) release(e *fleet.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, e)
}

func (s *Soak) otherEntries(e *fleet.Entry) []*fleet.Entry {
	var es []*fleet.Entry
	for _, o := range s.fleet.Entries {
		if o != e {
			es = append(es, o)
		}
	}
	return es
}

// linkFault returns a fault that changes the links between a VM and others. The
// directions in l are relative to e.
func (s *Soak) linkFault(name string, others []*fleet.Entry, e *fleet.Entry, l fleet.LinkFaults) fault {
	set := func(l fleet.LinkFaults) func() error {
		return func() error {
			for _, o := range others {
				s.fleet.SetLinkFaults(e, o, l)
				s.fleet.SetLinkFaults(o, e, fleet.LinkFaults{BlockIn: l.BlockOut, BlockOut: l.BlockIn, Delay: l.Delay})
			}
			return nil
		}
	}
	return fault{name, set(l), set(fleet.LinkFaults{})}
}
