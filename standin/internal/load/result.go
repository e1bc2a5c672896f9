package load

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilbend.example/standin/internal/history"
)

// Bounds of the latency histograms.
const (
	minLatency         = int64(time.Microsecond)
	maxLatency         = int64(2 * time.Minute)
	significantFigures = 3
)

// Window is the length of the time windows of a result.
const Window = time.Second

// Result is what a run gave.
type Result struct {
	// Seconds is how long the run took.
	Seconds float64
	// Rate is the calls a second that ended.
	Rate       float64
	Total      Line
	Kinds      []Line
	Workspaces []Line
	// Refusals are the reasons of refusals, the most frequent first.
	Refusals []Refusal `toml:",omitempty"`

	// Cells holds counts of each kind and workspace by time window.
	Cells []Cell `toml:"-"`
	// Windows holds the latencies of served calls by time window.
	Windows []*hdrhistogram.Histogram `toml:"-"`
	// Start is when the run began.
	Start time.Time `toml:"-"`
}

// Refusal counts refusals with one status and reason.
type Refusal struct {
	Status int
	Reason string
	Calls  int
}

// Line sums up calls.
type Line struct {
	Name   string `toml:",omitempty"`
	Calls  uint64
	Served uint64
	// Limited were refused with status 429, Refused with another, and Errors
	// are bad answers of backend servers.
	Limited uint64
	Refused uint64
	Errors  uint64
	// Unknown are those refusals that do not say "not-run".
	Unknown  uint64
	Cut      uint64
	TimedOut uint64
	Failed   uint64
	// Latency is that of served calls, from when they were due.
	Latency Latency

	histogram *hdrhistogram.Histogram
}

// Latency is in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
}

// Cell counts the calls of one kind and workspace in each window by the time
// that they were due.
type Cell struct {
	Kind, Workspace string
	Windows         []Count
}

// Count counts calls in one window.
type Count struct {
	Calls, Served int
}

// collector adds up the ends of calls.
type collector struct {
	mu         sync.Mutex
	start      time.Time
	total      *Line
	kinds      map[string]*Line
	workspaces map[string]*Line
	cells      map[[2]string]*Cell
	windows    []*hdrhistogram.Histogram
	refusals   map[history.Refused]int
}

func newCollector(start time.Time, ks []Kind, ws []Workspace) *collector {
	c := &collector{
		start:      start,
		total:      newLine(""),
		kinds:      map[string]*Line{},
		workspaces: map[string]*Line{},
		cells:      map[[2]string]*Cell{},
		refusals:   map[history.Refused]int{},
	}
	for _, k := range ks {
		c.kinds[k.Name] = newLine(k.Name)
	}
	for _, w := range ws {
		c.workspaces[w.Name] = newLine(w.Name)
	}
	return c
}

func newLine(name string) *Line {
	return &Line{Name: name, histogram: NewHistogram()}
}

// NewHistogram returns an empty histogram of latencies in nanoseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantFigures)
}

func (c *collector) add(a arrival, e *history.Call) {
	l := int64(e.End.Sub(a.due))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range []*Line{c.total, c.kinds[a.kind.Name], c.workspaces[a.workspace.Name]} {
		n.add(e, l)
	}
	if o, ok := e.Outcome.(history.Refused); ok {
		c.refusals[o]++
	}
	w := int(a.due.Sub(c.start) / Window)
	k := [2]string{a.kind.Name, a.workspace.Name}
	if c.cells[k] == nil {
		c.cells[k] = &Cell{Kind: k[0], Workspace: k[1]}
	}
	c.cells[k].add(w, e.Served())
	for len(c.windows) <= w {
		c.windows = append(c.windows, NewHistogram())
	}
	if e.Served() {
		_ = c.windows[w].RecordValue(l)
	}
}

func (c *Cell) add(window int, served bool) {
	for len(c.Windows) <= window {
		c.Windows = append(c.Windows, Count{})
	}
	c.Windows[window].Calls++
	if served {
		c.Windows[window].Served++
	}
}

func (l *Line) add(e *history.Call, latency int64) {
	l.Calls++
	switch o := e.Outcome.(type) {
	case history.Answered:
		if !e.Served() {
			l.Errors++
			return
		}
		l.Served++
		_ = l.histogram.RecordValue(latency)
	case history.Refused:
		if o.Status == 429 {
			l.Limited++
		} else {
			l.Refused++
		}
		if !o.NotRun {
			l.Unknown++
		}
	case history.Cut:
		l.Cut++
	case history.TimedOut:
		l.TimedOut++
	case history.Failed:
		l.Failed++
	}
}

func (c *collector) finish(d time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{
		Seconds:    d.Seconds(),
		Rate:       float64(c.total.Calls) / d.Seconds(),
		Total:      c.total.finish(),
		Kinds:      lines(c.kinds),
		Workspaces: lines(c.workspaces),
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

func lines(m map[string]*Line) []Line {
	var ls []Line
	for _, l := range m {
		ls = append(ls, l.finish())
	}
	slices.SortFunc(ls, func(a, b Line) int { return strings.Compare(a.Name, b.Name) })
	return ls
}

func (l *Line) finish() Line {
	l.Latency = Summary(l.histogram)
	return *l
}

// Summary returns the percentiles of a histogram of nanoseconds.
func Summary(h *hdrhistogram.Histogram) Latency {
	ms := func(p float64) float64 {
		return float64(h.ValueAtPercentile(p)) / float64(time.Millisecond)
	}
	return Latency{P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: ms(100)}
}

// ServedShare returns the share of calls that were served.
func (l Line) ServedShare() float64 {
	if l.Calls == 0 {
		return 1
	}
	return float64(l.Served) / float64(l.Calls)
}
