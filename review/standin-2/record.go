package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, start: time.Now()}
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt writes a line about something that happened at a time.
func (r *record) addAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// addRuns writes what an instance has run.
func (r *record) addRuns(is ...*instance) {
	for _, i := range is {
		for _, x := range i.executions() {
			r.addAt(x.at, "%s runs %s %s, id %s, body %q", i.id, x.method, x.path, x.id, x.body)
		}
	}
}
