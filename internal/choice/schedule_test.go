package choice_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
)

// TestSchedules runs random sequences of calls, outcomes, server changes and
// state updates, and checks the invariants: a server that is out or leaving is
// never chosen, a cold or suspect one only with a token, a server is found
// whenever one in service is warm or in slow start, and the calls in flight are
// counted.
func TestSchedules(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		b := newHarness(rapid.IntRange(1, 8).Draw(t, "servers"), rapid.Uint64().Draw(t, "seed"))
		s := schedule{harness: b, leaving: map[int]bool{}}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			s.step(t)
		}
	})
}

type schedule struct {
	*harness
	calls []choice.Call
	// leaving holds the servers that were leaving and have not been in the VM
	// list without that mark since.
	leaving map[int]bool
}

func (s *schedule) step(t *rapid.T) {
	s.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "millis")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		i := rapid.IntRange(0, len(s.servers)-1).Draw(t, "server")
		s.servers[i].Out = rapid.Bool().Draw(t, "out")
		s.servers[i].Leaving = rapid.Bool().Draw(t, "leaving")
		s.servers[i].Missing = rapid.Bool().Draw(t, "missing")
		s.leaving[i] = s.servers[i].Leaving || s.leaving[i] && s.servers[i].Missing
		s.update()
	case 1:
		s.cold.tokens = rapid.IntRange(0, 3).Draw(t, "allowed")
	case 2:
		i := rapid.IntRange(0, len(s.servers)-1).Draw(t, "server")
		s.set.ApplyUpdates(s.now, address(rapid.IntRange(100, 103).Draw(t, "from")), []choice.StateUpdate{{
			Server: s.servers[i].Address,
			State:  choice.State(rapid.IntRange(0, 5).Draw(t, "state")),
			Age:    time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
		}})
	case 3, 4, 5:
		s.endCall(t)
	default:
		s.chooseServer(t)
	}
	s.checkInFlight(t)
}

func (s *schedule) chooseServer(t *rapid.T) {
	before := s.set.Dump()
	taken := s.coldTaken()
	c, ok := s.set.Choose(s.now, "", nil)
	if !ok {
		for i, d := range before.Servers {
			h := s.servers[i]
			if !h.Out && !s.leaving[i] && (d.Phase == "Warm" || d.Phase == "Ramp") {
				t.Fatalf("no server chosen, although %v is available", d)
			}
		}
		return
	}
	s.calls = append(s.calls, c)
	for i, h := range s.servers {
		if h.Address != c.Server() {
			continue
		}
		if h.Out || s.leaving[i] {
			t.Fatalf("%v was chosen although it is out or leaving", h)
		}
		p := before.Servers[i].Phase
		if (p == "Cold" || p == "Doubt") && s.coldTaken() != taken+1 {
			t.Fatalf("%v was chosen without a token of the allowance", before.Servers[i])
		}
	}
}

func (s *schedule) coldTaken() int {
	n := 0
	for _, k := range s.cold.taken {
		n += k
	}
	return n
}

func (s *schedule) endCall(t *rapid.T) {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
	c := s.calls[i]
	s.calls = append(s.calls[:i], s.calls[i+1:]...)
	r := load.Report{
		Running:  rapid.IntRange(0, 1<<20).Draw(t, "running"),
		Queued:   rapid.IntRange(0, 1<<20).Draw(t, "queued"),
		Cold:     rapid.Bool().Draw(t, "cold"),
		Draining: rapid.Bool().Draw(t, "draining"),
	}
	os := []choice.Outcome{
		choice.Answered{Status: 200, Load: &r, FirstByte: baselineLatency}, choice.Answered{Status: 200},
		choice.Answered{Status: 500, Load: &r}, choice.Shed{Load: &r}, choice.Shed{},
		choice.Failed{}, choice.TimedOut{}, choice.Cancelled{}, choice.NotSent{},
	}
	c.End(s.now, rapid.SampledFrom(os).Draw(t, "outcome"))
}

func (s *schedule) checkInFlight(t *rapid.T) {
	n := 0
	for _, d := range s.set.Dump().Servers {
		n += d.InFlight
	}
	if n != len(s.calls) {
		t.Fatalf("got %d calls in flight, want %d", n, len(s.calls))
	}
}
