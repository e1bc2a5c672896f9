package fair_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilbend.example/internal/fair"
)

// TestSchedules runs random sequences of requests, their ends, samples and ticks.
// It checks that no request is notified twice, that the gate's counts are right,
// and that no requests wait while none runs.
func TestSchedules(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{harness: newHarness()}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.step(t)
		}
	})
}

type schedule struct {
	*harness
	entries []*entry
}

func (s *schedule) step(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "millis")) * time.Millisecond)
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		s.gate.Tick(s.now)
	case 1, 2:
		s.gate.Observe(s.now, fair.Sample{
			Latency:  time.Duration(rapid.IntRange(0, 500).Draw(t, "latency")) * time.Millisecond,
			Reported: rapid.Bool().Draw(t, "reported"),
			Queued:   rapid.IntRange(0, 100).Draw(t, "queued"),
			Slots:    rapid.IntRange(0, 6).Draw(t, "slots"),
			Shed:     rapid.Bool().Draw(t, "shed"),
		})
	case 3:
		if len(s.running) > 0 {
			s.leave()
		}
	case 4:
		s.withdraw(t)
	default:
		w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			s.entries = append(s.entries, s.enter(w, rapid.Float64Range(0, 100).Draw(t, "weight"), time.Second))
		}
	}
	s.check(t)
}

// withdraw withdraws a waiting request.
func (s *schedule) withdraw(t *rapid.T) {
	for _, e := range s.entries {
		if _, ok := e.decision.(fair.Waiting); ok {
			s.gate.Leave(s.now, e.ticket)
			e.decision = fair.Refused{}
			return
		}
	}
}

func (s *schedule) check(t *rapid.T) {
	waiting := 0
	for _, e := range s.entries {
		if e.notified > 1 {
			t.Fatalf("%v was notified %d times", e, e.notified)
		}
		if _, ok := e.decision.(fair.Waiting); ok {
			waiting++
		}
	}
	d := s.gate.Dump()
	if d.Waiting != waiting || d.Running != len(s.running) {
		t.Fatalf("%d requests waiting and %d running, but the dump says %d and %d", waiting, len(s.running), d.Waiting, d.Running)
	}
	if waiting > 0 && d.Limit >= 1 && d.Running == 0 {
		t.Fatalf("%d requests wait while none runs", waiting)
	}
}
