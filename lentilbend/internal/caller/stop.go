package caller

import (
	"context"
	"fmt"
	"time"
)

// stopPoll is the time between looks at what is left during a stop.
const stopPoll = 5 * time.Millisecond

// Leave asks the callers, with each answer, to use another connection.
func (s *Server) Leave() {
	s.Handler.Leave()
	s.listener.leaving.Store(true)
}

// Shutdown stops listening and waits until the running requests have ended and
// all connections are closed, or until ctx ends. It cuts no request: the
// library's own Shutdown drops a request that it reads after the call, so it
// comes last, when only HTTP/2 connections are left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	if err := s.endListening(ctx); err != nil {
		return err
	}
	if err := s.poll(ctx, func() bool { return s.listener.closeIdle(time.Now()) == 0 }); err != nil {
		return err
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return s.poll(ctx, func() bool { return s.listener.open() == 0 })
}

// endListening closes the listener after the connections on their way have
// been accepted. Without the packet filter it closes it all the same.
func (s *Server) endListening(ctx context.Context) error {
	if s.listener.refuseNew() == nil {
		end := time.Now().Add(drainTime)
		if err := s.poll(ctx, func() bool { return time.Now().After(end) }); err != nil {
			return err
		}
	}
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

// poll waits until done is true or ctx ends.
func (s *Server) poll(ctx context.Context, done func() bool) error {
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("caller: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}
