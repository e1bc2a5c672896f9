package backend

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Mode is a way in which a server behaves: one of the types below. Modes add
// up until Normal ends all of them.
type Mode interface {
	mode()
}

// Normal ends every other mode.
type Normal struct{}

// Cold begins a cold start in which the server bears Rate requests a second
// and Burst beyond them.
type Cold struct {
	Rate, Burst float64
	For         time.Duration
}

// Drain refuses new work without starting it and reports so.
type Drain struct{}

// Shed refuses new work without starting it.
type Shed struct{}

// Slow multiplies the time of work by Factor.
type Slow struct {
	Factor float64
}

// Silent accepts connections and requests and never answers.
type Silent struct{}

// Blackhole makes the connections open now silent for good; new ones work.
type Blackhole struct{}

// FailFast answers each request with an error at once.
type FailFast struct{}

// Cut ends a share of the answers in their middle.
type Cut struct {
	Share float64
}

// Frozen repeats the load report of now whatever the load is.
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

// ParseMode reads a mode such as "normal", "cold 20 4 10s", "drain", "shed",
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
		return Slow{Factor: x}, wrap(text, err)
	case f[0] == "cut" && len(f) == 2:
		x, err := strconv.ParseFloat(f[1], 64)
		return Cut{Share: x}, wrap(text, err)
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
		return nil, wrap(t, err)
	}
	b, err := strconv.ParseFloat(f[2], 64)
	if err != nil {
		return nil, wrap(t, err)
	}
	d, err := time.ParseDuration(f[3])
	return Cold{Rate: r, Burst: b, For: d}, wrap(t, err)
}

func wrap(text string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("backend: mode %q: %w", text, err)
}

// SetMode changes how the server behaves.
func (s *Server) SetMode(m Mode) {
	s.prepare()
	if _, ok := m.(Blackhole); ok {
		s.conns.silence()
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
		t.cold = &coldStart{rate: m.Rate, burst: m.Burst, tokens: m.Burst, last: now, begin: now, until: now.Add(m.For)}
	case Drain:
		t.drain, t.drainAt = true, now
	case Shed:
		t.shed = true
	case Slow:
		t.slow = m.Factor
	case Silent:
		t.silent = true
	case FailFast:
		t.failFast = true
	case Cut:
		t.cut = m.Share
	case Frozen:
		t.frozen = s.reportLocked()
	}
}
