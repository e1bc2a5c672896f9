package fair_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilbend.example/internal/fair"
)

// TestSchedules runs random schedules of requests, ends, samples and ticks and
// checks that every request gets one verdict and that the counts agree.
func TestSchedules(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{bench: newBench()}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.step(t)
		}
	})
}

type schedule struct {
	*bench
	all []*entry
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
		if len(s.runs) > 0 {
			s.leave()
		}
	case 4:
		s.abandon(t)
	default:
		w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			s.all = append(s.all, s.enter(w, rapid.Float64Range(0, 100).Draw(t, "weight"), time.Second))
		}
	}
	s.check(t)
}

// abandon takes back a request that waits.
func (s *schedule) abandon(t *rapid.T) {
	for _, e := range s.all {
		if _, ok := e.verdict.(fair.Waiting); ok {
			s.gate.Leave(s.now, e.ticket)
			e.verdict = fair.Refused{}
			return
		}
	}
}

func (s *schedule) check(t *rapid.T) {
	waiting := 0
	for _, e := range s.all {
		if e.resolved > 1 {
			t.Fatalf("%v resolved %d times", e, e.resolved)
		}
		if _, ok := e.verdict.(fair.Waiting); ok {
			waiting++
		}
	}
	d := s.gate.Dump()
	if d.Waiting != waiting || d.Running != len(s.runs) {
		t.Fatalf("waiting %d running %d, the gate says %d %d", waiting, len(s.runs), d.Waiting, d.Running)
	}
	if waiting > 0 && d.Limit >= 1 && d.Running == 0 {
		t.Fatalf("%d wait while nothing runs", waiting)
	}
}
