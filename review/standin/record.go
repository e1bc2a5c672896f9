package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and counts the violations.
type record struct {
	start time.Time

	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	violations int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// logf writes a line with the time since the start of the run.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violatef writes a line about a violation of the rule and counts it.
func (r *record) violatef(format string, args ...any) {
	r.logf("VIOLATION "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
}

func (r *record) violationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
