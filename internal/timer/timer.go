// Package timer gives the time, publishes ticks and notices when the process
// was paused.
package timer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lentilbend.example/internal/event"
)

// Reading is one look at the three clocks of a VM.
type Reading struct {
	// Monotonic does not count time in which the VM was suspended.
	Monotonic time.Duration
	// Boot counts suspended time too.
	Boot time.Duration
	// Wall is the wall clock, which may jump.
	Wall time.Time
}

// Clocks reads the clocks of this VM.
func Clocks() Reading {
	return Reading{
		Monotonic: clock(unix.CLOCK_MONOTONIC),
		Boot:      clock(unix.CLOCK_BOOTTIME),
		Wall:      time.Now().Round(0),
	}
}

func clock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Gap returns the longest pause between two readings taken interval apart.
// A wall clock that jumps, forward or back, counts as a pause.
func Gap(before, after Reading, interval time.Duration) time.Duration {
	w := after.Wall.Sub(before.Wall)
	m := after.Monotonic - before.Monotonic
	if w < 0 {
		w = -w + interval
	}
	return max(m, after.Boot-before.Boot, w) - interval
}

// Service publishes event.Tick and event.Pause. Set the exported fields before
// Run.
type Service struct {
	Bus *event.Bus
	// Resolution is the time between ticks.
	Resolution time.Duration
	// PauseAfter is the shortest gap that counts as a pause.
	PauseAfter time.Duration
	// Read replaces Clocks in tests.
	Read func() Reading

	pauses atomic.Uint64
}

// Pauses returns how many pauses were seen.
func (s *Service) Pauses() uint64 {
	return s.pauses.Load()
}

// Run publishes until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	if s.Read == nil {
		s.Read = Clocks
	}
	t := time.NewTicker(s.Resolution)
	defer t.Stop()
	last := s.Read()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		r := s.Read()
		if err := s.step(last, r); err != nil {
			return err
		}
		last = r
	}
}

// step publishes what the readings of two successive ticks show. A pause goes
// before the tick, so that nothing is decided on stale knowledge.
func (s *Service) step(last, r Reading) error {
	if g := Gap(last, r, s.Resolution); g >= s.PauseAfter {
		s.pauses.Add(1)
		if err := s.Bus.Publish(event.Pause{Now: r.Wall, Length: g}); err != nil {
			return fmt.Errorf("timer: %w", err)
		}
	}
	if err := s.Bus.Publish(event.Tick{Now: r.Wall}); err != nil {
		return fmt.Errorf("timer: %w", err)
	}
	return nil
}
