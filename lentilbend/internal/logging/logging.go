// Package logging makes the loggers of the parts, each with its prefix.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// flushTimeout is how long the end of a process waits for its last lines.
const flushTimeout = 200 * time.Millisecond

// Root is the logger that the loggers of all parts write to. Use New.
type Root struct {
	base    log.Logger
	current atomic.Pointer[log.Logger]
	output  *output
	bounds  bounds
}

// New returns a root that writes "logfmt" or "json" lines to w. It never blocks:
// lines beyond what w takes, or beyond the rate of their kind, are left out and
// counted.
func New(w io.Writer, format, lowest string) (*Root, error) {
	r := &Root{output: newOutput(w)}
	r.base = log.NewLogfmtLogger(r.output)
	if format == "json" {
		r.base = log.NewJSONLogger(r.output)
	}
	r.base = log.With(r.base, "ts", log.DefaultTimestampUTC)
	return r, r.SetLevel(lowest)
}

// SetLevel sets the lowest level that is written: "debug", "info", "warn" or
// "error".
func (r *Root) SetLevel(lowest string) error {
	v, err := level.Parse(lowest)
	if err != nil {
		return fmt.Errorf("logging: unknown level %q", lowest)
	}
	l := level.NewFilter(r.base, level.Allow(v))
	r.current.Store(&l)
	return nil
}

// Log writes one line at the current level, unless there are too many of its
// kind.
func (r *Root) Log(kv ...any) error {
	ok, left := r.bounds.pass(time.Now(), kindOf(kv))
	l := *r.current.Load()
	if left > 0 {
		_ = level.Warn(l).Log("part", "logging", "msg", "Lines were left out.", "lines", left)
	}
	if !ok {
		return nil
	}
	return l.Log(kv...)
}

// kindOf returns the kind of a line.
func kindOf(kv []any) kind {
	var k kind
	for i := 0; i+1 < len(kv); i += 2 {
		v, ok := kv[i+1].(string)
		if !ok {
			continue
		}
		switch kv[i] {
		case "part":
			k.part = v
		case "msg":
			k.msg = v
		}
	}
	return k
}

// Dropped returns how many lines were left out since the start.
func (r *Root) Dropped() uint64 {
	return r.bounds.total.Load() + r.output.dropped.Load()
}

// Flush waits until what was logged is written, but not for long.
func (r *Root) Flush() {
	r.output.flush(flushTimeout)
}

// Part returns the logger of a part.
func (r *Root) Part(name string) log.Logger {
	return log.With(r, "part", name)
}
