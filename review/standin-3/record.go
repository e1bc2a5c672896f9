package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// run is one execution of a request by an instance.
type run struct {
	at       time.Duration
	id       string
	instance *instance
}

// answer is what a client got for a request.
type answer struct {
	sent, got time.Duration
	id, vm    string
	method    string
	status    int // 0 for none
	note      string
}

// record holds what was sent, answered and run.
type record struct {
	start time.Time

	mu   sync.Mutex
	runs []run
	// arrivals are the requests that reached an instance which they were meant for.
	arrivals []run
	answers  []answer
	events   []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) ran(id string, n *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{at: r.now(), id: id, instance: n})
}

func (r *record) arrived(id string, n *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, run{at: r.now(), id: id, instance: n})
}

func (r *record) answered(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// event notes an event and prints it.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := fmt.Sprintf("%8.3f event  ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(e)
	r.events = append(r.events, e)
}

// write writes the record to a file, ordered by time.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := append([]string(nil), r.events...)
	for _, n := range r.runs {
		lines = append(lines, fmt.Sprintf("%8.3f run    %s on %s in %s", n.at.Seconds(), n.id, n.instance.id, n.instance.zone))
	}
	for _, n := range r.arrivals {
		lines = append(lines, fmt.Sprintf("%8.3f reach  %s at %s in %s", n.at.Seconds(), n.id, n.instance.id, n.instance.zone))
	}
	for _, a := range r.answers {
		lines = append(lines, fmt.Sprintf("%8.3f sent   %s %s to %s", a.sent.Seconds(), a.method, a.id, a.vm),
			fmt.Sprintf("%8.3f answer %s status %d %s", a.got.Seconds(), a.id, a.status, a.note))
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a][:8] < lines[b][:8] })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range lines {
		_, _ = fmt.Fprintln(f, l)
	}
	return f.Close()
}
