package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lentilbend.example/platform/platformtest"

	"lentilbend.example/standin/internal/fleet"
)

// Times between faults and how long one lasts.
const (
	faultEvery   = 400 * time.Millisecond
	leastFault   = 100 * time.Millisecond
	longestFault = 2500 * time.Millisecond
	linkDelay    = 60 * time.Millisecond
	// stopWithin is the users' grace of 6 s and a margin for a busy machine.
	stopWithin = 8 * time.Second
	// signalsAfter is how long a new process needs to take signals: one that ends
	// it earlier does so without its doing, before it served anything.
	signalsAfter  = 200 * time.Millisecond
	goneWithout   = 300 * time.Millisecond
	mostOutAtOnce = 2
)

// fault is one trouble: begin brings it about, end takes it back.
type fault struct {
	name       string
	begin, end func() error
}

// trouble brings faults about, which overlap, and takes all back.
func (s *Soak) trouble(ctx context.Context) error {
	errs := make(chan error, 1)
	var g sync.WaitGroup
	for time.Since(s.began) < s.For && ctx.Err() == nil {
		f := s.draw()
		d := leastFault + time.Duration(s.rand.Int64N(int64(longestFault-leastFault)))
		s.tell("%s for %s", f.name, d.Round(10*time.Millisecond))
		g.Go(func() {
			err := f.begin()
			if err == nil {
				time.Sleep(d)
				err = f.end()
			}
			if err != nil {
				select {
				case errs <- fmt.Errorf("soak: %s: %w", f.name, err):
				default:
				}
			}
		})
		time.Sleep(time.Duration(s.rand.Int64N(int64(2 * faultEvery))))
	}
	g.Wait()
	s.tell("faults end")
	select {
	case err := <-errs:
		return err
	default:
		return ctx.Err()
	}
}

// draw returns the next fault.
func (s *Soak) draw() fault {
	i := s.rand.IntN(s.VMs)
	a := s.fleet.Entries[i]
	b := s.fleet.Entries[(i+1+s.rand.IntN(s.VMs-1))%s.VMs]
	v := s.servers[s.rand.IntN(len(s.servers))]
	name := fmt.Sprintf("VM %d", a.Index+1)
	pair := fmt.Sprintf("%s and VM %d", name, b.Index+1)
	switch s.rand.IntN(13) {
	case 0, 1:
		return s.process("kill "+name, a, a.Kill)
	case 2:
		return s.process("stop "+name, a, func() error { return s.stop(a) })
	case 3:
		return s.process("pause "+name, a, a.Pause)
	case 4:
		return fault{"reload " + name, func() error { return s.signal(a, a.Reload) }, none}
	case 5:
		return s.links("cut off "+name, s.others(a), a, fleet.LinkFaults{BlockIn: true, BlockOut: true})
	case 6:
		return s.links("cut one way "+pair, []*fleet.Entry{b}, a, fleet.LinkFaults{BlockIn: true})
	case 7:
		return s.links("delay "+pair, []*fleet.Entry{b}, a, fleet.LinkFaults{Delay: linkDelay})
	case 8:
		return fault{"reset " + pair, func() error { s.fleet.ResetConnections(a, b); return nil }, none}
	case 9, 10:
		how := []string{"busy", "silent", "forgotten"}[s.rand.IntN(3)]
		return fault{"store " + how, func() error { s.store.SetFault(how); return nil }, func() error { s.store.SetFault(""); return nil }}
	case 11:
		how := []string{"lost", "slow", "shed"}[s.rand.IntN(3)]
		return fault{"server " + v.Name + " " + how, func() error { v.Set(how); return nil }, func() error { v.Set(""); return nil }}
	}
	return s.away(v)
}

func none() error { return nil }

// away takes a server's entry out of the store and puts it back.
func (s *Soak) away(v *platformtest.Server) fault {
	return fault{"entry of " + v.Name + " goes", func() error {
		s.store.PutServer(v, true)
		time.Sleep(goneWithout)
		s.store.RemoveServer(v)
		return nil
	}, func() error {
		s.store.PutServer(v, false)
		return nil
	}}
}

// process returns a fault that ends or pauses a process, and lets it go on.
// Signals to one process do not overlap, and most stay up.
func (s *Soak) process(name string, e *fleet.Entry, do func() error) fault {
	mine := false
	return fault{name, func() error {
		if mine = s.take(e); !mine {
			s.tell("%s: left out", name)
			return nil
		}
		return do()
	}, func() error {
		if !mine {
			return nil
		}
		defer s.give(e)
		if e.Running() {
			return e.Resume()
		}
		defer time.Sleep(signalsAfter)
		return e.Start()
	}}
}

// stop is a planned stop, which must end well within the grace.
func (s *Soak) stop(e *fleet.Entry) error {
	t := time.Now()
	c, err := e.Stop()
	if err != nil {
		return err
	}
	if c != 0 || time.Since(t) > stopWithin {
		s.tell("VM %d: %s", e.Index+1, e.LogTail())
		s.broken("VM %d ended with code %d after %s", e.Index+1, c, time.Since(t))
	}
	return nil
}

// signal sends a signal unless the process is in trouble already.
func (s *Soak) signal(e *fleet.Entry, do func() error) error {
	if !s.take(e) {
		return nil
	}
	defer s.give(e)
	return do()
}

// take reserves a process for one fault.
func (s *Soak) take(e *fleet.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out[e] || len(s.out) >= mostOutAtOnce {
		return false
	}
	s.out[e] = true
	return true
}

func (s *Soak) give(e *fleet.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.out, e)
}

func (s *Soak) others(e *fleet.Entry) []*fleet.Entry {
	var es []*fleet.Entry
	for _, o := range s.fleet.Entries {
		if o != e {
			es = append(es, o)
		}
	}
	return es
}

// links returns a fault of the connections between a VM and others.
func (s *Soak) links(name string, others []*fleet.Entry, e *fleet.Entry, l fleet.LinkFaults) fault {
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
