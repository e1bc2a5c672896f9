package timer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/timer"
)

var _ = Describe("PauseDuration", func() {
	start := timer.Reading{Monotonic: time.Hour, Boot: time.Hour, Wall: time.Unix(1000, 0)}

	after := func(m, b, w time.Duration) timer.Reading {
		return timer.Reading{Monotonic: start.Monotonic + m, Boot: start.Boot + b, Wall: start.Wall.Add(w)}
	}

	DescribeTable("is the most that any clock advanced beyond the interval",
		func(r timer.Reading, want time.Duration) {
			Expect(timer.PauseDuration(start, r, time.Second)).To(Equal(want))
		},
		Entry("no pause", after(time.Second, time.Second, time.Second), time.Duration(0)),
		Entry("a stopped process", after(31*time.Second, 31*time.Second, 31*time.Second), 30*time.Second),
		Entry("a suspended VM", after(time.Second, 31*time.Second, 31*time.Second), 30*time.Second),
		Entry("a frozen VM whose pause only the wall clock shows", after(time.Second, time.Second, 31*time.Second), 30*time.Second),
		Entry("a wall clock set back", after(time.Second, time.Second, -30*time.Second), 30*time.Second),
	)
})
