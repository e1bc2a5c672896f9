package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on log output.
const (
	// maxQueuedLines is how many lines may wait for a slow reader of the output.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines are the rate and the size of the token
	// bucket of each kind of line: enough to follow single requests, at a low
	// cost compared with the requests themselves.
	linesPerSecond = 10.0
	burstLines     = 50.0
	// maxLineKinds bounds the number of token buckets.
	maxLineKinds = 1024
	// dropReportInterval is the least time between two lines that report how
	// many lines the rate limit dropped.
	dropReportInterval = 5 * time.Second
)

// asyncWriter writes lines in the background, so that an output that nobody
// reads does not block the caller.
type asyncWriter struct {
	lines chan []byte
	// pending is the number of lines queued or being written.
	pending atomic.Int64
	// dropped counts the lines that found the queue full or could not be written.
	dropped atomic.Uint64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for b := range a.lines {
			// A failing log output cannot be logged, only counted.
			if _, err := w.Write(b); err != nil {
				a.dropped.Add(1)
			}
			a.pending.Add(-1)
		}
	}()
	return a
}

// Write queues a copy of line b, or drops it if the queue is full. It never fails.
func (a *asyncWriter) Write(b []byte) (int, error) {
	a.pending.Add(1)
	select {
	case a.lines <- append([]byte(nil), b...):
	default:
		a.pending.Add(-1)
		a.dropped.Add(1)
	}
	return len(b), nil
}

// flush waits until the queued lines are written, but at most for timeout.
func (a *asyncWriter) flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); a.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// rateLimiter limits the lines of each kind with a token bucket. Its zero value
// is ready for use.
type rateLimiter struct {
	mu      sync.Mutex
	buckets map[lineKind]*tokenBucket
	// unreported counts the lines dropped since the last report.
	unreported uint64
	reportedAt time.Time
	// dropped counts the lines dropped since the start.
	dropped atomic.Uint64
}

// lineKind identifies the lines of one component with the same message.
type lineKind struct {
	component, msg string
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// allow reports whether a line of kind k may be written. toReport is the number
// of lines dropped since the last report if a new report is due, and 0 otherwise.
func (l *rateLimiter) allow(now time.Time, k lineKind) (ok bool, toReport uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Dropping all buckets at the limit bounds the memory; each kind starts
	// with a full burst again.
	if l.buckets == nil || len(l.buckets) >= maxLineKinds {
		l.buckets = map[lineKind]*tokenBucket{}
	}
	b := l.buckets[k]
	if b == nil {
		b = &tokenBucket{tokens: burstLines, refilledAt: now}
		l.buckets[k] = b
	}
	b.tokens = min(burstLines, b.tokens+linesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		ok = true
	} else {
		l.unreported++
		l.dropped.Add(1)
	}
	if l.unreported > 0 && now.Sub(l.reportedAt) >= dropReportInterval {
		toReport, l.unreported, l.reportedAt = l.unreported, 0, now
	}
	return ok, toReport
}
