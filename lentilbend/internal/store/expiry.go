package store

import (
	"context"
	"time"
)

// sourceCarryOver is logged when carried values cease to be in effect.
const sourceCarryOver = "carry-over"

// Run ends the effect of carried values when their time is over, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var timeout <-chan time.Time
		if t, ok := s.NextExpiry(); ok {
			timeout = time.After(t.Sub(s.now()))
		}
		select {
		case <-ctx.Done():
		case <-s.expirySignal():
		case <-timeout:
			s.Expire()
		}
	}
	return nil
}

// NextExpiry returns when the next carried value ceases to be in effect, or false if
// none does by itself.
func (s *Store) NextExpiry() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accepted.nextExpiry()
	if n, known := s.newest.nextExpiry(); known && (!ok || n.Before(a)) {
		return n, true
	}
	return a, ok
}

// Expire ends the effect of the carried values whose time is over.
func (s *Store) Expire() {
	defer s.publishEvents()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest, _ = s.newest.withoutExpired(s.now())
	if n, changed := s.accepted.withoutExpired(s.now()); changed {
		s.accepted = n
		s.acceptIfValid(n, sourceCarryOver)
	}
}

// LacksCarried reports whether peers may carry over values that this VM does not know
// of, since it started when the platform had been restored.
func (s *Store) LacksCarried() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lacksCarried()
}

func (s *Store) lacksCarried() bool {
	return s.now().Before(s.lacksCarriedUntil)
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Store) policy() carryPolicy {
	return carryPolicy{time: s.CarryTime, precedence: s.Precedence}
}

// expirySignal returns the channel by which Run learns of a change of the carried values.
func (s *Store) expirySignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expiryChannel()
}

func (s *Store) expiryChannel() chan struct{} {
	if s.expiryChanged == nil {
		s.expiryChanged = make(chan struct{}, 1)
	}
	return s.expiryChanged
}

// signalExpiry wakes Run. mu must be held.
func (s *Store) signalExpiry() {
	select {
	case s.expiryChannel() <- struct{}{}:
	default:
	}
}
