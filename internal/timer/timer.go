// Package timer publishes clock ticks and detects pauses of the process.
package timer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lentilbend.example/internal/event"
)

// Reading is the time that the three clocks of a VM show at one moment.
type Reading struct {
	// Monotonic excludes time in which the VM was suspended.
	Monotonic time.Duration
	// Boot includes time in which the VM was suspended.
	Boot time.Duration
	// Wall is the wall clock, which may be set forward or back.
	Wall time.Time
}

// ReadClocks reads the clocks of this VM.
func ReadClocks() Reading {
	return Reading{
		Monotonic: readClock(unix.CLOCK_MONOTONIC),
		Boot:      readClock(unix.CLOCK_BOOTTIME),
		Wall:      time.Now().Round(0),
	}
}

// readClock returns the time of a clock, or 0 if it cannot be read.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// PauseDuration returns how long the process was paused between two readings
// that should be interval apart. It is the most that any clock advanced beyond
// interval, since not every pause shows on all clocks: the suspension of a VM
// shows on Boot and Wall, and a frozen VM may show on Wall alone. A wall clock
// that was set forward or back therefore counts as a pause too.
func PauseDuration(before, after Reading, interval time.Duration) time.Duration {
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
	// MinPause is the shortest pause that is published.
	MinPause time.Duration
	// ReadClocks replaces the function of this name in tests.
	ReadClocks func() Reading

	pauses atomic.Uint64
}

// Pauses returns how many pauses were published.
func (s *Service) Pauses() uint64 {
	return s.pauses.Load()
}

// Run publishes events until ctx is done or the bus returns an error.
func (s *Service) Run(ctx context.Context) error {
	if s.ReadClocks == nil {
		s.ReadClocks = ReadClocks
	}
	t := time.NewTicker(s.Resolution)
	defer t.Stop()
	last := s.ReadClocks()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		r := s.ReadClocks()
		if err := s.publish(last, r); err != nil {
			return err
		}
		last = r
	}
}

// publish publishes the events for the readings of two successive ticks. A pause
// is published before the tick, so that subscribers can discard outdated state
// before the tick makes them act on it.
func (s *Service) publish(last, r Reading) error {
	if d := PauseDuration(last, r, s.Resolution); d >= s.MinPause {
		s.pauses.Add(1)
		if err := s.Bus.Publish(event.Pause{Now: r.Wall, Length: d}); err != nil {
			return fmt.Errorf("timer: %w", err)
		}
	}
	if err := s.Bus.Publish(event.Tick{Now: r.Wall}); err != nil {
		return fmt.Errorf("timer: %w", err)
	}
	return nil
}
