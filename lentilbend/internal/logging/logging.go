// Package logging makes the loggers of the parts, each with its prefix.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Root is the logger that the loggers of all parts write to. Use New.
type Root struct {
	base    log.Logger
	current atomic.Pointer[log.Logger]
}

// New returns a root that writes "logfmt" or "json" lines to w.
func New(w io.Writer, format, lowest string) (*Root, error) {
	w = log.NewSyncWriter(w)
	r := &Root{base: log.NewLogfmtLogger(w)}
	if format == "json" {
		r.base = log.NewJSONLogger(w)
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

// Log writes one line at the current level.
func (r *Root) Log(kv ...any) error {
	return (*r.current.Load()).Log(kv...)
}

// Part returns the logger of a part.
func (r *Root) Part(name string) log.Logger {
	return log.With(r, "part", name)
}
