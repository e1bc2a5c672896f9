package caller

import (
	"context"
	"fmt"
	"time"
)

// shutdownPollInterval is the interval at which a shutdown checks for open
// connections.
const shutdownPollInterval = 5 * time.Millisecond

// Numbers of checks in a row after which a graceful shutdown closes a connection
// that waits for a request. A caller that sends one at that moment finds the
// connection closed, which a longer wait makes less likely.
const (
	idleChecks   = int(500 * time.Millisecond / shutdownPollInterval)
	unusedChecks = int(time.Second / shutdownPollInterval)
)

// StartDrain makes every further answer tell the caller to use another connection.
// The server still accepts connections and requests.
func (s *Server) StartDrain() {
	s.Handler.StartDrain()
	s.listener.draining.Store(true)
	s.http1.StartDrain()
}

// Shutdown stops listening and waits until the running requests have ended and
// all connections are closed, or until ctx ends. It aborts no request. New
// connections may turn out to speak HTTP/2, so net/http is shut down only once no
// HTTP/1.1 connection is left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	if err := s.stopListening(ctx); err != nil {
		return err
	}
	if err := s.poll(ctx, func() bool { return s.http1.CloseIdle(idleChecks, unusedChecks) == 0 }); err != nil {
		return err
	}
	if err := s.http2.Shutdown(ctx); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return s.poll(ctx, func() bool { return s.listener.connCount() == 0 })
}

// stopListening closes the listener after the TCP handshakes in progress have been
// accepted, or at once if the packet filter can't be attached.
func (s *Server) stopListening(ctx context.Context) error {
	if s.listener.dropNewHandshakes() == nil {
		end := time.Now().Add(acceptGracePeriod)
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
	t := time.NewTicker(shutdownPollInterval)
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
