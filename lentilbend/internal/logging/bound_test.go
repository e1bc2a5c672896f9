package logging_test

import (
	"bytes"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/logging"
)

// stuck is an output that nobody reads.
type stuck struct{}

func (stuck) Write([]byte) (int, error) {
	select {}
}

var _ = Describe("bounded logs", func() {
	It("leaves out lines of one kind beyond their rate, and counts them", func() {
		var b bytes.Buffer
		r, err := logging.New(&b, "logfmt", "info")
		Expect(err).NotTo(HaveOccurred())
		l := r.Part("caller")
		for range 1000 {
			_ = level.Info(l).Log("msg", "Often.")
		}
		_ = level.Info(l).Log("msg", "Once.")
		r.Flush()
		Expect(strings.Count(b.String(), "Often.")).To(BeNumerically("<", 100))
		Expect(b.String()).To(ContainSubstring("Once."))
		Expect(b.String()).To(ContainSubstring("Lines were left out."))
		Expect(r.Dropped()).To(BeNumerically(">", 900))
	})

	It("never waits for an output that is not read", func() {
		r, err := logging.New(stuck{}, "json", "info")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 5000 {
				_ = level.Info(r.Part("p")).Log("msg", strings.Repeat("x", i%700))
			}
			r.Flush()
		}()
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(r.Dropped()).To(BeNumerically(">", 3000))
	})
})
