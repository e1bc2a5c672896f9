// Package logging provides the loggers of the components. It limits the rate of
// log lines and never blocks the caller.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// flushTimeout bounds how long an ending process waits for its last lines to be
// written.
const flushTimeout = 200 * time.Millisecond

// Root is the logger that the loggers of all components write to. Create it with
// New.
type Root struct {
	base log.Logger
	// filtered is base with the filter for the current level.
	filtered atomic.Pointer[log.Logger]
	output   *asyncWriter
	limiter  rateLimiter
}

// New returns a Root that writes lines of level minLevel and above to w, as JSON
// if format is "json" and as logfmt otherwise. Logging never blocks: lines that w
// is too slow for, or that exceed the rate limit of their kind, are dropped and
// counted. It returns an error if minLevel is unknown.
func New(w io.Writer, format, minLevel string) (*Root, error) {
	r := &Root{output: newAsyncWriter(w)}
	r.base = log.NewLogfmtLogger(r.output)
	if format == "json" {
		r.base = log.NewJSONLogger(r.output)
	}
	r.base = log.With(r.base, "ts", log.DefaultTimestampUTC)
	return r, r.SetLevel(minLevel)
}

// SetLevel sets the lowest level that is written: "debug", "info", "warn" or
// "error". It returns an error for any other level.
func (r *Root) SetLevel(minLevel string) error {
	v, err := level.Parse(minLevel)
	if err != nil {
		return fmt.Errorf("logging: unknown level %q", minLevel)
	}
	l := level.NewFilter(r.base, level.Allow(v))
	r.filtered.Store(&l)
	return nil
}

// Log writes one line, unless its level is too low or its kind exceeds the rate
// limit, which counts lines of any level. If a report is due, it also logs how
// many lines the rate limit has dropped since the last report.
func (r *Root) Log(kv ...any) error {
	ok, dropped := r.limiter.allow(time.Now(), kindOf(kv))
	l := *r.filtered.Load()
	if dropped > 0 {
		_ = level.Warn(l).Log("part", "logging", "msg", "Log lines were dropped.", "lines", dropped)
	}
	if !ok {
		return nil
	}
	return l.Log(kv...)
}

// kindOf returns the kind of a line, taken from its "part" and "msg" values.
func kindOf(kv []any) lineKind {
	var k lineKind
	for i := 0; i+1 < len(kv); i += 2 {
		v, ok := kv[i+1].(string)
		if !ok {
			continue
		}
		switch kv[i] {
		case "part":
			k.component = v
		case "msg":
			k.msg = v
		}
	}
	return k
}

// Dropped returns how many lines were dropped since the start, because of the rate
// limit, a full queue or a failed write.
func (r *Root) Dropped() uint64 {
	return r.limiter.dropped.Load() + r.output.dropped.Load()
}

// Flush waits until all queued lines are written, but at most for flushTimeout.
func (r *Root) Flush() {
	r.output.flush(flushTimeout)
}

// Component returns the logger of a component, which adds its name to each line
// under the key "part".
func (r *Root) Component(name string) log.Logger {
	return log.With(r, "part", name)
}
