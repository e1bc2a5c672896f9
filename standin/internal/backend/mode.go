package backend

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Mode is a behaviour of a server, in most cases a fault: one of the types below.
// Modes accumulate until Normal ends them all.
type Mode interface {
	mode()
}

// Normal ends all modes. Connections silenced by Blackhole stay silent.
type Normal struct{}

// Cold begins a cold start of the given duration. Meanwhile, the server can take
// Rate requests per second, with bursts of Burst requests. Requests beyond that are
// answered as usual but counted in Counts.
type Cold struct {
	Rate, Burst float64
	Duration    time.Duration
}

// Drain refuses new requests without starting them and sets "draining" in the load
// report.
type Drain struct{}

// Shed refuses new requests without starting them.
type Shed struct{}

// Slow multiplies the service time by Factor.
type Slow struct {
	Factor float64
}

// Silent accepts connections and requests but never answers requests.
type Silent struct{}

// Blackhole makes the connections that are open now silent permanently; new
// connections work.
type Blackhole struct{}

// FailFast answers each request with status 500 at once.
type FailFast struct{}

// Cut aborts answers halfway through the body. Ratio is the fraction of answers
// aborted, 0 to 1.
type Cut struct {
	Ratio float64
}

// Frozen repeats the load report of when the mode was set, whatever the load is.
type Frozen struct{}

func (Normal) mode()    {}
func (Cold) mode()      {}
func (Drain) mode()     {}
func (Shed) mode()      {}
func (Slow) mode()      {}
func (Silent) mode()    {}
func (Blackhole) mode() {}
func (FailFast) mode()  {}
func (Cut) mode()       {}
func (Frozen) mode()    {}

// ParseMode parses a mode such as "normal", "cold 20 4 10s", "drain", "shed",
// "slow 5", "silent", "blackhole", "fail-fast", "cut 0.5" or "frozen".
func ParseMode(text string) (Mode, error) {
	f := strings.Fields(text)
	if len(f) == 0 {
		return nil, fmt.Errorf("backend: no mode given")
	}
	if m, ok := plainModes[f[0]]; ok && len(f) == 1 {
		return m, nil
	}
	switch {
	case f[0] == "cold" && len(f) == 4:
		return parseCold(f)
	case f[0] == "slow" && len(f) == 2:
		x, err := strconv.ParseFloat(f[1], 64)
		return Slow{Factor: x}, wrapModeError(text, err)
	case f[0] == "cut" && len(f) == 2:
		x, err := strconv.ParseFloat(f[1], 64)
		return Cut{Ratio: x}, wrapModeError(text, err)
	}
	return nil, fmt.Errorf("backend: unknown mode %q", text)
}

// plainModes are the modes without parameters.
var plainModes = map[string]Mode{
	"normal":    Normal{},
	"drain":     Drain{},
	"shed":      Shed{},
	"silent":    Silent{},
	"blackhole": Blackhole{},
	"fail-fast": FailFast{},
	"frozen":    Frozen{},
}

func parseCold(f []string) (Mode, error) {
	t := strings.Join(f, " ")
	r, err := strconv.ParseFloat(f[1], 64)
	if err != nil {
		return nil, wrapModeError(t, err)
	}
	b, err := strconv.ParseFloat(f[2], 64)
	if err != nil {
		return nil, wrapModeError(t, err)
	}
	d, err := time.ParseDuration(f[3])
	return Cold{Rate: r, Burst: b, Duration: d}, wrapModeError(t, err)
}

func wrapModeError(text string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("backend: mode %q: %w", text, err)
}

// SetMode adds a mode to those in force; Normal ends them.
func (s *Server) SetMode(m Mode) {
	s.init()
	if _, ok := m.(Blackhole); ok {
		s.conns.silenceAll()
		return
	}
	now := time.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	t := &s.state.modes
	switch m := m.(type) {
	case Normal:
		*t = modes{}
	case Cold:
		t.cold = &coldStart{rate: m.Rate, burst: m.Burst, tokens: m.Burst, last: now, start: now, end: now.Add(m.Duration)}
	case Drain:
		t.drain, t.drainStart = true, now
	case Shed:
		t.shed = true
	case Slow:
		t.slowFactor = m.Factor
	case Silent:
		t.silent = true
	case FailFast:
		t.failFast = true
	case Cut:
		t.cutRatio = m.Ratio
	case Frozen:
		t.frozenReport = s.reportLocked()
	}
}
