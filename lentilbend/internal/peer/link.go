package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// queueLimit is how many messages may wait for one peer.
const queueLimit = 8192

// link is the connection to one peer over successive streams.
type link struct {
	address netip.AddrPort

	mu sync.Mutex
	// cancel ends dialling; nil while nobody dials.
	cancel context.CancelFunc
	stream *stream
	// ended is closed when the stream in use ends.
	ended  chan struct{}
	dials  uint64
	opened uint64
	silent uint64
}

// stream is one open stream to a peer.
type stream struct {
	from   member.ID
	send   func(*peerpb.Frame) error
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	pending *peerpb.Frame
	queued  int
	// sent and received count frames with content.
	sent, received uint64
	// marked is a sent frame that the peer has not confirmed, sent at or
	// before markedAt; 0 when all are confirmed.
	marked   uint64
	markedAt time.Time
	// owed is when the oldest frame that was not yet answered came.
	owed time.Time
	// began is when the send in progress began; zero while none is.
	began time.Time
}

func (l *link) current() *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream
}

// attach makes s the stream in use and ends the one before.
func (l *link) attach(s *stream) {
	l.mu.Lock()
	o := l.stream
	l.stream = s
	l.opened++
	if o == nil {
		l.ended = make(chan struct{})
	}
	l.mu.Unlock()
	if o != nil {
		o.cancel()
	}
}

// wait returns when there is no stream or ctx ends.
func (l *link) wait(ctx context.Context) {
	l.mu.Lock()
	s, c := l.stream, l.ended
	l.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-c:
	}
}

func (l *link) detach(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream == s {
		l.stream = nil
		close(l.ended)
	}
}

// stop ends dialling, and a stream that was opened from here.
func (l *link) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
}

func (l *link) add(f *peerpb.Frame) bool {
	s := l.current()
	return s != nil && s.add(f)
}

// add merges f into the next frame.
func (s *stream) add(f *peerpb.Frame) bool {
	n := size(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued+n > queueLimit {
		return false
	}
	s.queued += n
	if s.pending == nil {
		s.pending = &peerpb.Frame{}
	}
	merge(s.pending, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func merge(to, f *peerpb.Frame) {
	to.Member = append(to.Member, f.Member...)
	to.Limit = append(to.Limit, f.Limit...)
	to.Config = append(to.Config, f.Config...)
	to.Load = append(to.Load, f.Load...)
	to.Reports = append(to.Reports, f.Reports...)
	to.Answers = append(to.Answers, f.Answers...)
}

// take returns the next frame to send.
func (s *stream) take(now time.Time) *peerpb.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.pending
	if f == nil {
		return nil
	}
	s.pending, s.queued = nil, 0
	s.owed = time.Time{}
	s.began = now
	f.Received = s.received
	if empty(f) {
		return f
	}
	s.sent++
	if s.marked == 0 {
		s.marked, s.markedAt = s.sent, now
	}
	return f
}

// write sends pending frames until ctx ends or a send fails. Frames added
// while one is sent go out together.
func (s *stream) write(ctx context.Context, c *counters) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		f := s.take(time.Now())
		if f == nil {
			continue
		}
		if s.send(f) != nil {
			return
		}
		c.sentFrames.Add(1)
		s.ready()
	}
}

func (s *stream) ready() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Time{}
}

// note records a frame of the peer. The frames that the peer confirms show that
// this direction works; frames that merely arrive do not.
func (s *stream) note(now time.Time, f *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marked > 0 && f.Received >= s.marked {
		s.marked = 0
		if f.Received < s.sent {
			s.marked, s.markedAt = s.sent, now
		}
	}
	if empty(f) {
		return
	}
	s.received++
	if s.owed.IsZero() {
		s.owed = now
	}
}

// check returns whether the stream is silent, and sends the answer that is
// owed when no frame carried it.
func (s *stream) check(now time.Time, t Times) bool {
	s.mu.Lock()
	late := s.marked > 0 && now.Sub(s.markedAt) > t.Silent
	stuck := !s.began.IsZero() && now.Sub(s.began) > t.Silent
	owes := !s.owed.IsZero() && now.Sub(s.owed) >= t.Acknowledge
	s.mu.Unlock()
	if owes {
		s.add(&peerpb.Frame{})
	}
	return late || stuck
}

// empty tells an acknowledgement, which itself needs no answer.
func empty(f *peerpb.Frame) bool {
	return size(f) == 0
}

// size returns the number of messages in a frame.
func size(f *peerpb.Frame) int {
	return len(f.Member) + len(f.Limit) + len(f.Config) + len(f.Load) + len(f.Reports) + len(f.Answers)
}
