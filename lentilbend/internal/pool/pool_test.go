package pool

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Pool", func() {
	It("keeps to the connection limit and hands a released connection to a waiter", func() {
		f := newFixture(1)
		c := f.take()
		got := make(chan *Conn)
		go func() {
			defer GinkgoRecover()
			got <- f.take()
		}()
		Eventually(func() int { return f.pool.state().Waiting }).Should(Equal(1))
		Expect(f.send(c, "/now", RequestInfo{})).To(Succeed())
		c.Release()
		Expect(<-got).To(BeIdenticalTo(c))
		Expect(f.pool.state().Opened).To(Equal(uint64(1)))
		_, err := f.pool.Take(context.Background(), false)
		Expect(err).To(MatchError(ErrBusy))
	})

	It("returns ErrUnreachable, not ErrBusy, when a connection cannot be opened in time", func() {
		f := newFixture(1)
		f.pool.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, err := f.pool.Take(context.Background(), true)
		Expect(err).To(MatchError(ErrUnreachable))
	})

	It("opens idle connections ahead of need", func() {
		f := newFixture(10)
		f.set.MinIdle = 2
		f.serveOne("/now")
		f.serveOne("/now")
		Eventually(func() int { return f.pool.state().Idle }).Should(BeNumerically(">=", 2))
	})

	DescribeTable("writes nothing of a request that was delayed",
		func(delay, timeout time.Duration, streamed bool, want error) {
			f := newFixture(1)
			c := f.take()
			c.tracked.beginRequest(RequestInfo{Deadline: f.Now().Add(timeout), Streamed: streamed})
			f.advance(delay)
			n, err := c.tracked.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(c.Written()).To(BeTrue())
				return
			}
			Expect(err).To(MatchError(want))
			Expect(n).To(BeZero())
			Expect(c.Written()).To(BeFalse())
		},
		Entry("until its deadline", time.Second, time.Second, false, ErrDeadlinePassed),
		Entry("until its deadline, with a streamed body", time.Second, time.Second, true, ErrDeadlinePassed),
		Entry("for more than maxSendDelay", 21*time.Millisecond, time.Second, false, ErrDelayed),
		Entry("for more than maxSendDelay by its streamed body, which is allowed", 21*time.Millisecond, time.Second, true, nil),
		Entry("for less than maxSendDelay, which is allowed", time.Millisecond, time.Second, false, nil),
	)

	It("closes suspect connections when the test connection brings an answer", func() {
		f := newFixture(10)
		f.openTwoIdle()
		f.startSilent()
		f.advance(defaultSilenceTimeout)
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

	It("restores suspect connections when the test connection is silent too", func() {
		f := newFixture(10)
		f.openTwoIdle()
		f.startSilent()
		f.advance(defaultSilenceTimeout)
		f.set.Sweep(f.Now())
		Eventually(func() int { return f.pool.state().Idle }).Should(Equal(1))
		f.startSilent()
		f.advance(defaultSilenceTimeout)
		f.set.Sweep(f.Now())
		s := f.pool.state()
		Expect(s.InDoubt).To(BeZero())
		Expect(s.Idle).To(Equal(1))
		Expect(s.Condemned).To(BeZero())
		close(f.late)
	})

	It("restores suspect connections when the silent request is answered late", func() {
		f := newFixture(10)
		f.openTwoIdle()
		done := f.startSilent()
		f.advance(defaultSilenceTimeout)
		f.set.Sweep(f.Now())
		Expect(f.pool.state().InDoubt).To(Equal(1))
		close(f.late)
		Eventually(done).Should(BeClosed())
		Expect(f.pool.state().InDoubt).To(BeZero())
	})

	It("closes a suspect connection to open the test connection within the limit", func() {
		f := newFixture(2)
		f.openTwoIdle()
		f.startSilent()
		f.advance(defaultSilenceTimeout)
		f.set.Sweep(f.Now())
		f.serveOne("/now")
		s := f.pool.state()
		Expect(s.Idle + s.Busy + s.InDoubt).To(Equal(2))
		close(f.late)
	})

	It("calls OnSilent once", func() {
		f := newFixture(1)
		c := f.take()
		calls := 0
		go func() { _ = f.send(c, "/late", RequestInfo{OnSilent: func() { calls++ }}) }()
		Eventually(f.received).Should(Receive())
		for range 3 {
			f.advance(defaultSilenceTimeout)
			f.set.Sweep(f.Now())
		}
		Expect(calls).To(Equal(1))
		close(f.late)
	})

	It("uses no connection near the server's idle timeout for a non-idempotent request", func() {
		f := newFixture(10)
		f.serveOne("/now")
		f.pool.mu.Lock()
		f.pool.recordIdleClose(4 * time.Second)
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

	It("removes the pool of an unused server", func() {
		f := newFixture(10)
		f.serveOne("/now")
		f.advance(f.set.IdleTimeout + 1)
		f.set.Sweep(f.Now())
		Expect(f.set.States()).To(BeEmpty())
	})
})

var _ = DescribeTable("silenceTimeout", func(latencies []time.Duration, lowest, highest time.Duration) {
	b := &baseline{}
	for _, d := range latencies {
		b.add(d)
	}
	Expect(b.silenceTimeout()).To(And(BeNumerically(">=", lowest), BeNumerically("<=", highest)))
},
	Entry("is the default with too few samples", []time.Duration{time.Millisecond}, defaultSilenceTimeout, defaultSilenceTimeout),
	Entry("is at least minSilenceTimeout", repeat(time.Millisecond, 50), minSilenceTimeout, minSilenceTimeout),
	Entry("follows the latency of answers", repeat(100*time.Millisecond, 200), 100*time.Millisecond, 130*time.Millisecond),
)

func repeat(d time.Duration, n int) []time.Duration {
	ds := make([]time.Duration, n)
	for i := range ds {
		ds[i] = d
	}
	return ds
}
