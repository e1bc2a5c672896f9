package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of what is logged.
const (
	// linesQueued is how many lines may wait for a slow reader of the output.
	linesQueued = 1024
	// linesRate and linesBurst bound the lines of one kind, in lines a second:
	// enough to follow single requests, little beside the requests' own cost.
	linesRate  = 10.0
	linesBurst = 50.0
	// kindsMost is how many kinds of lines are told apart.
	kindsMost = 1024
	// reportEvery is the time between lines that say how many were left out.
	reportEvery = 5 * time.Second
)

// output writes lines in the background, so that an output that nobody reads
// stops nothing.
type output struct {
	lines   chan []byte
	pending atomic.Int64
	dropped atomic.Uint64
}

func newOutput(w io.Writer) *output {
	o := &output{lines: make(chan []byte, linesQueued)}
	go func() {
		for b := range o.lines {
			// There is no other place to tell of an output that fails.
			if _, err := w.Write(b); err != nil {
				o.dropped.Add(1)
			}
			o.pending.Add(-1)
		}
	}()
	return o
}

// Write queues a line, or drops it when too many wait.
func (o *output) Write(b []byte) (int, error) {
	o.pending.Add(1)
	select {
	case o.lines <- append([]byte(nil), b...):
	default:
		o.pending.Add(-1)
		o.dropped.Add(1)
	}
	return len(b), nil
}

// flush waits until the queued lines are written, but not beyond t.
func (o *output) flush(t time.Duration) {
	for end := time.Now().Add(t); o.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// bounds limits the lines of each kind, which are those of one part with one
// message.
type bounds struct {
	mu       sync.Mutex
	kinds    map[kind]*bucket
	left     uint64
	reported time.Time
	total    atomic.Uint64
}

type kind struct {
	part, msg string
}

type bucket struct {
	tokens float64
	filled time.Time
}

// pass tells whether a line may be written, and how many were left out when
// that is due to be said.
func (b *bounds) pass(now time.Time, k kind) (ok bool, left uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kinds == nil || len(b.kinds) >= kindsMost {
		b.kinds = map[kind]*bucket{}
	}
	u := b.kinds[k]
	if u == nil {
		u = &bucket{tokens: linesBurst, filled: now}
		b.kinds[k] = u
	}
	u.tokens = min(linesBurst, u.tokens+linesRate*now.Sub(u.filled).Seconds())
	u.filled = now
	if u.tokens >= 1 {
		u.tokens--
		ok = true
	} else {
		b.left++
		b.total.Add(1)
	}
	if b.left > 0 && now.Sub(b.reported) >= reportEvery {
		left, b.left, b.reported = b.left, 0, now
	}
	return ok, left
}
