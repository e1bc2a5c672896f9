package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// maxQueuedMessages limits the messages waiting to be sent to one peer.
const maxQueuedMessages = 8192

// link is the state kept for one peer across successive streams.
type link struct {
	address netip.AddrPort

	mu sync.Mutex
	// cancel stops maintainStream; nil while it does not run.
	cancel context.CancelFunc
	stream *stream
	// disconnected is closed when stream becomes nil.
	disconnected chan struct{}
	// dials, opened and silentStreams are shown by LinkDump.
	dials         uint64
	opened        uint64
	silentStreams uint64
}

// stream is one open stream to a peer.
type stream struct {
	from   member.ID
	send   func(*peerpb.Frame) error
	cancel context.CancelFunc
	// wake signals a pending frame to writeFrames.
	wake chan struct{}

	mu sync.Mutex
	// pending is the next frame to send, with queued messages in it.
	pending *peerpb.Frame
	queued  int
	// sent and received count frames with messages.
	sent, received uint64
	// awaitedAck is the number of a sent frame that the peer has not yet
	// acknowledged; 0 if all are acknowledged. The frame was sent at awaitedSince
	// or before.
	awaitedAck   uint64
	awaitedSince time.Time
	// ackDueSince is when the oldest frame that was not yet acknowledged arrived;
	// zero if there is none.
	ackDueSince time.Time
	// sendStart is when the send in progress started; zero if there is none.
	sendStart time.Time
	// unacknowledged holds the send times of frames that the peer has not yet
	// acknowledged, the oldest first and at least sendTimeStep apart.
	unacknowledged []sendTime
	// sentAfter is a time after which the peer enqueued the messages of the last
	// received frame: when the newest frame that it acknowledges was sent, or else
	// when this VM opened the stream. It is zero if unknown.
	sentAfter time.Time
}

// sendTimeStep is the minimum time between two entries of stream.unacknowledged.
const sendTimeStep = 10 * time.Millisecond

// sendTime is the time at which a frame was sent.
type sendTime struct {
	number uint64
	at     time.Time
}

// newStream returns a stream that this VM opened at the given time; zero if the
// peer opened it.
func newStream(from member.ID, send func(*peerpb.Frame) error, cancel context.CancelFunc, opened time.Time) *stream {
	return &stream{from: from, send: send, cancel: cancel, wake: make(chan struct{}, 1), sentAfter: opened}
}

func (l *link) current() *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream
}

// attach makes s the current stream and cancels the previous one.
func (l *link) attach(s *stream) {
	l.mu.Lock()
	o := l.stream
	l.stream = s
	l.opened++
	if o == nil {
		l.disconnected = make(chan struct{})
	}
	l.mu.Unlock()
	if o != nil {
		o.cancel()
	}
}

// waitDisconnected blocks until there is no stream or ctx ends.
func (l *link) waitDisconnected(ctx context.Context) {
	l.mu.Lock()
	s, c := l.stream, l.disconnected
	l.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// detach removes s if it is still the current stream.
func (l *link) detach(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream == s {
		l.stream = nil
		close(l.disconnected)
	}
}

// stopDialling stops maintainStream, which also ends a stream that this VM
// opened.
func (l *link) stopDialling() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
}

func (l *link) enqueue(f *peerpb.Frame) bool {
	s := l.current()
	return s != nil && s.enqueue(f)
}

// enqueue adds the messages of f to the next frame. It returns false if the
// queue is full.
func (s *stream) enqueue(f *peerpb.Frame) bool {
	n := messageCount(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued+n > maxQueuedMessages {
		return false
	}
	s.queued += n
	if s.pending == nil {
		// The acknowledgement tells the peer how old the messages can be, so a frame
		// received while they are queued is left to the next one.
		s.pending = &peerpb.Frame{Received: s.received}
	}
	appendMessages(s.pending, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func appendMessages(to, f *peerpb.Frame) {
	to.Member = append(to.Member, f.Member...)
	to.Limit = append(to.Limit, f.Limit...)
	to.Config = append(to.Config, f.Config...)
	to.Load = append(to.Load, f.Load...)
	to.Reports = append(to.Reports, f.Reports...)
	to.Answers = append(to.Answers, f.Answers...)
}

// nextFrame removes the pending frame and returns it, or nil if no frame is
// pending.
func (s *stream) nextFrame(now time.Time) *peerpb.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.pending
	if f == nil {
		return nil
	}
	s.pending, s.queued = nil, 0
	if f.Received == s.received {
		s.ackDueSince = time.Time{}
	}
	s.sendStart = now
	if hasNoMessages(f) {
		return f
	}
	s.sent++
	if s.awaitedAck == 0 {
		s.awaitedAck, s.awaitedSince = s.sent, now
	}
	if n := len(s.unacknowledged); n == 0 || now.Sub(s.unacknowledged[n-1].at) >= sendTimeStep {
		s.unacknowledged = append(s.unacknowledged, sendTime{s.sent, now})
	}
	return f
}

// writeFrames sends pending frames until ctx ends or a send fails. Messages
// enqueued during a send are sent together in the next frame.
func (s *stream) writeFrames(ctx context.Context, c *counters) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		f := s.nextFrame(time.Now())
		if f == nil {
			continue
		}
		if s.send(f) != nil {
			return
		}
		c.sentFrames.Add(1)
		s.finishSend()
	}
}

func (s *stream) finishSend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendStart = time.Time{}
}

// recordFrame records a received frame and its acknowledgement. Only an
// acknowledgement proves that the connection works in the direction to the peer;
// a received frame as such proves only the other direction.
func (s *stream) recordFrame(now time.Time, f *peerpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitedAck > 0 && f.Received >= s.awaitedAck {
		s.awaitedAck = 0
		if f.Received < s.sent {
			s.awaitedAck, s.awaitedSince = s.sent, now
		}
	}
	for len(s.unacknowledged) > 0 && s.unacknowledged[0].number <= f.Received {
		s.sentAfter = s.unacknowledged[0].at
		s.unacknowledged = s.unacknowledged[1:]
	}
	if hasNoMessages(f) {
		return
	}
	s.received++
	if s.ackDueSince.IsZero() {
		s.ackDueSince = now
	}
}

func (s *stream) lastSentAfter() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentAfter
}

// checkSilence reports whether the stream is silent: a frame takes longer than
// SilenceTimeout to send or to be acknowledged. It also enqueues an
// acknowledgement that has waited AckDelay without a frame to carry it.
func (s *stream) checkSilence(now time.Time, t Timing) bool {
	s.mu.Lock()
	unacknowledged := s.awaitedAck > 0 && now.Sub(s.awaitedSince) > t.SilenceTimeout
	blocked := !s.sendStart.IsZero() && now.Sub(s.sendStart) > t.SilenceTimeout
	ackDue := !s.ackDueSince.IsZero() && now.Sub(s.ackDueSince) >= t.AckDelay
	s.mu.Unlock()
	if ackDue {
		s.enqueue(&peerpb.Frame{})
	}
	return unacknowledged || blocked
}

// hasNoMessages reports whether a frame carries only an acknowledgement or
// Hello. Such frames are not acknowledged.
func hasNoMessages(f *peerpb.Frame) bool {
	return messageCount(f) == 0
}

// messageCount returns the number of messages in a frame.
func messageCount(f *peerpb.Frame) int {
	return len(f.Member) + len(f.Limit) + len(f.Config) + len(f.Load) + len(f.Reports) + len(f.Answers)
}
