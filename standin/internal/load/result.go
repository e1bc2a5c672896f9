package load

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilbend.example/standin/internal/history"
)

// Parameters of the latency histograms, in nanoseconds and decimal digits.
const (
	minLatency         = int64(time.Microsecond)
	maxLatency         = int64(2 * time.Minute)
	significantFigures = 3
)

// WindowLength is the length of the time windows of a result.
const WindowLength = time.Second

// Result is the result of a run.
type Result struct {
	// Seconds is the duration of the run until its last call ended.
	Seconds float64
	// Rate is the number of calls that ended, per second.
	Rate       float64
	Total      CallStats
	Kinds      []CallStats
	Workspaces []CallStats
	// Refusals counts refusals by status and reason, the most frequent first.
	Refusals []Refusal `toml:",omitempty"`

	// Cells holds the counts of each kind and workspace by time window.
	Cells []Cell `toml:"-"`
	// Windows holds the latencies of served calls by the time window in which
	// they were due.
	Windows []*hdrhistogram.Histogram `toml:"-"`
	// Start is the start of the run and of the first window.
	Start time.Time `toml:"-"`
}

// Refusal counts refusals with one status and reason.
type Refusal struct {
	Status int
	Reason string
	Calls  int
}

// CallStats holds the counts and latencies of a group of calls.
type CallStats struct {
	// Name is the name of the kind or workspace; empty for all calls.
	Name  string `toml:",omitempty"`
	Calls uint64
	// Served counts the calls for which history.Call.Served is true.
	Served uint64
	// Limited counts the refusals with status 429, and Refused the others.
	Limited uint64
	Refused uint64
	// Errors counts the answers of backend servers that are incomplete or have
	// a status of 400 or more.
	Errors uint64
	// Unknown counts the refusals, of any status, that do not state that the
	// request was not run.
	Unknown uint64
	// Cut, TimedOut and Failed count the outcomes of these names.
	Cut      uint64
	TimedOut uint64
	Failed   uint64
	// Latency covers the served calls. It is measured from the time when a call
	// was due, so that a delay before the call is sent is included.
	Latency Latency

	histogram *hdrhistogram.Histogram
}

// Latency holds percentiles and the maximum, in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
}

// Cell holds the counts of the calls of one workspace and kind by the window in
// which they were due.
type Cell struct {
	Kind, Workspace string
	Windows         []WindowCount
}

// WindowCount counts the calls that were due in one window.
type WindowCount struct {
	Calls, Served int
}

// collector adds up the outcomes of calls.
type collector struct {
	mu         sync.Mutex
	start      time.Time
	total      *CallStats
	kinds      map[string]*CallStats
	workspaces map[string]*CallStats
	// cells has the names of kind and workspace as its key.
	cells    map[[2]string]*Cell
	windows  []*hdrhistogram.Histogram
	refusals map[history.Refused]int
}

func newCollector(start time.Time, ks []Kind, ws []Workspace) *collector {
	c := &collector{
		start:      start,
		total:      newCallStats(""),
		kinds:      map[string]*CallStats{},
		workspaces: map[string]*CallStats{},
		cells:      map[[2]string]*Cell{},
		refusals:   map[history.Refused]int{},
	}
	for _, k := range ks {
		c.kinds[k.Name] = newCallStats(k.Name)
	}
	for _, w := range ws {
		c.workspaces[w.Name] = newCallStats(w.Name)
	}
	return c
}

func newCallStats(name string) *CallStats {
	return &CallStats{Name: name, histogram: NewHistogram()}
}

// NewHistogram returns an empty histogram of latencies in nanoseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantFigures)
}

// add counts a call that ended.
func (c *collector) add(a arrival, call *history.Call) {
	latency := int64(call.End.Sub(a.due))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range []*CallStats{c.total, c.kinds[a.kind.Name], c.workspaces[a.workspace.Name]} {
		s.add(call, latency)
	}
	if o, ok := call.Outcome.(history.Refused); ok {
		c.refusals[o]++
	}
	w := int(a.due.Sub(c.start) / WindowLength)
	k := [2]string{a.kind.Name, a.workspace.Name}
	if c.cells[k] == nil {
		c.cells[k] = &Cell{Kind: k[0], Workspace: k[1]}
	}
	c.cells[k].add(w, call.Served())
	for len(c.windows) <= w {
		c.windows = append(c.windows, NewHistogram())
	}
	if call.Served() {
		_ = c.windows[w].RecordValue(latency)
	}
}

func (c *Cell) add(window int, served bool) {
	for len(c.Windows) <= window {
		c.Windows = append(c.Windows, WindowCount{})
	}
	c.Windows[window].Calls++
	if served {
		c.Windows[window].Served++
	}
}

func (s *CallStats) add(c *history.Call, latency int64) {
	s.Calls++
	switch o := c.Outcome.(type) {
	case history.Answered:
		if !c.Served() {
			s.Errors++
			return
		}
		s.Served++
		_ = s.histogram.RecordValue(latency)
	case history.Refused:
		if o.Status == 429 {
			s.Limited++
		} else {
			s.Refused++
		}
		if !o.NotRun {
			s.Unknown++
		}
	case history.Cut:
		s.Cut++
	case history.TimedOut:
		s.TimedOut++
	case history.Failed:
		s.Failed++
	}
}

// finish returns the result of a run that took d.
func (c *collector) finish(d time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{
		Seconds:    d.Seconds(),
		Rate:       float64(c.total.Calls) / d.Seconds(),
		Total:      c.total.finish(),
		Kinds:      sortedStats(c.kinds),
		Workspaces: sortedStats(c.workspaces),
		Windows:    c.windows,
		Start:      c.start,
	}
	for _, e := range c.cells {
		r.Cells = append(r.Cells, *e)
	}
	for o, n := range c.refusals {
		r.Refusals = append(r.Refusals, Refusal{Status: o.Status, Reason: o.Reason, Calls: n})
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int { return b.Calls - a.Calls })
	slices.SortFunc(r.Cells, func(a, b Cell) int {
		return strings.Compare(a.Kind+"\n"+a.Workspace, b.Kind+"\n"+b.Workspace)
	})
	return r
}

// sortedStats returns the values of m, finished and sorted by name.
func sortedStats(m map[string]*CallStats) []CallStats {
	var stats []CallStats
	for _, s := range m {
		stats = append(stats, s.finish())
	}
	slices.SortFunc(stats, func(a, b CallStats) int { return strings.Compare(a.Name, b.Name) })
	return stats
}

// finish sets Latency from the histogram and returns a copy.
func (s *CallStats) finish() CallStats {
	s.Latency = Percentiles(s.histogram)
	return *s
}

// Percentiles returns the percentiles of a histogram of latencies in nanoseconds.
func Percentiles(h *hdrhistogram.Histogram) Latency {
	ms := func(p float64) float64 {
		return float64(h.ValueAtPercentile(p)) / float64(time.Millisecond)
	}
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: ms(100)}
}

// ServedRatio returns the fraction of calls that were served, 1 if there were no
// calls.
func (s CallStats) ServedRatio() float64 {
	if s.Calls == 0 {
		return 1
	}
	return float64(s.Served) / float64(s.Calls)
}
