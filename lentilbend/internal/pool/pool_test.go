package pool

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a pool", func() {
	It("keeps to its allowance and hands connections on", func() {
		f := newFixture(1)
		c := f.take()
		got := make(chan *Conn)
		go func() {
			defer GinkgoRecover()
			got <- f.take()
		}()
		Eventually(func() int { return f.pool.state().Waiting }).Should(Equal(1))
		Expect(f.trip(c, "/now", Trip{})).To(Succeed())
		c.Release()
		Expect(<-got).To(BeIdenticalTo(c))
		Expect(f.pool.state().Opened).To(Equal(uint64(1)))
		_, err := f.pool.Take(context.Background(), false)
		Expect(err).To(MatchError(ErrBusy))
	})

	It("tells a server that cannot be reached from a busy one", func() {
		f := newFixture(1)
		f.pool.client.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, err := f.pool.Take(context.Background(), true)
		Expect(err).To(MatchError(ErrUnreachable))
	})

	It("opens ahead of need", func() {
		f := newFixture(10)
		f.set.Ahead = 2
		f.serveOne("/now")
		f.serveOne("/now")
		Eventually(func() int { return f.pool.state().Idle }).Should(BeNumerically(">=", 2))
	})

	DescribeTable("writes nothing of a request that was held up",
		func(held, left time.Duration, streamed bool, want error) {
			f := newFixture(1)
			c := f.take()
			c.wire.begin(Trip{Deadline: f.Now().Add(left), Streamed: streamed})
			f.advance(held)
			n, err := c.wire.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Written()).To(BeTrue())
				return
			}
			Expect(err).To(MatchError(want))
			Expect(n).To(BeZero())
			Expect(c.Written()).To(BeFalse())
		},
		Entry("beyond the deadline", time.Second, time.Second, false, ErrLate),
		Entry("beyond the deadline, streamed", time.Second, time.Second, true, ErrLate),
		Entry("for long", 21*time.Millisecond, time.Second, false, ErrStale),
		Entry("for long by its body", 21*time.Millisecond, time.Second, true, nil),
		Entry("for a moment", time.Millisecond, time.Second, false, nil),
	)

	It("closes connections that a new one proves lost", func() {
		f := newFixture(10)
		f.twoIdle()
		f.silent()
		f.advance(patienceUnknown)
		f.set.Sweep(f.Now())
		Expect(f.pool.state().InDoubt).To(Equal(1))
		Eventually(func() int { return f.pool.state().Idle }).Should(Equal(1))
		f.serveOne("/now")
		s := f.pool.state()
		Expect(s.InDoubt).To(BeZero())
		Expect(s.Condemned).To(Equal(uint64(1)))
		Expect(s.Opened).To(Equal(uint64(3)))
		close(f.late)
	})

	It("keeps connections when the new one is silent too", func() {
		f := newFixture(10)
		f.twoIdle()
		f.silent()
		f.advance(patienceUnknown)
		f.set.Sweep(f.Now())
		Eventually(func() int { return f.pool.state().Idle }).Should(Equal(1))
		f.silent()
		f.advance(patienceUnknown)
		f.set.Sweep(f.Now())
		s := f.pool.state()
		Expect(s.InDoubt).To(BeZero())
		Expect(s.Idle).To(Equal(1))
		Expect(s.Condemned).To(BeZero())
		close(f.late)
	})

	It("keeps connections when the silent one answers late", func() {
		f := newFixture(10)
		f.twoIdle()
		done := f.silent()
		f.advance(patienceUnknown)
		f.set.Sweep(f.Now())
		Expect(f.pool.state().InDoubt).To(Equal(1))
		close(f.late)
		Eventually(done).Should(BeClosed())
		Expect(f.pool.state().InDoubt).To(BeZero())
	})

	It("makes room for the trial within the allowance", func() {
		f := newFixture(2)
		f.twoIdle()
		f.silent()
		f.advance(patienceUnknown)
		f.set.Sweep(f.Now())
		f.serveOne("/now")
		s := f.pool.state()
		Expect(s.Idle + s.Busy + s.InDoubt).To(Equal(2))
		close(f.late)
	})

	It("calls Silent once", func() {
		f := newFixture(1)
		c := f.take()
		calls := 0
		go func() { _ = f.trip(c, "/late", Trip{Silent: func() { calls++ }}) }()
		Eventually(f.read).Should(Receive())
		for range 3 {
			f.advance(patienceUnknown)
			f.set.Sweep(f.Now())
		}
		Expect(calls).To(Equal(1))
		close(f.late)
	})

	It("learns when the server closes idle connections", func() {
		f := newFixture(10)
		f.serveOne("/now")
		f.pool.mu.Lock()
		f.pool.noteClosed(4 * time.Second)
		f.pool.mu.Unlock()
		f.advance(3*time.Second + 1)
		c := f.take()
		Expect(f.pool.state().Opened).To(Equal(uint64(2)))
		c.Close()
		c, err := f.pool.Take(context.Background(), false)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.pool.state().Opened).To(Equal(uint64(2)))
		c.Close()
	})

	It("forgets a server that is not used", func() {
		f := newFixture(10)
		f.serveOne("/now")
		f.advance(f.set.IdleTimeout + 1)
		f.set.Sweep(f.Now())
		Expect(f.set.States()).To(BeEmpty())
	})
})

var _ = DescribeTable("patience", func(latencies []time.Duration, least, most time.Duration) {
	u := &usual{}
	for _, d := range latencies {
		u.add(d)
	}
	Expect(u.patience()).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
},
	Entry("is long when little is known", []time.Duration{time.Millisecond}, patienceUnknown, patienceUnknown),
	Entry("has a least value", steady(time.Millisecond, 50), patienceLeast, patienceLeast),
	Entry("follows the latency", steady(100*time.Millisecond, 200), 100*time.Millisecond, 130*time.Millisecond),
)

func steady(d time.Duration, n int) []time.Duration {
	ds := make([]time.Duration, n)
	for i := range ds {
		ds[i] = d
	}
	return ds
}
