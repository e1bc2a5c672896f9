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

// blockedWriter is an output that nobody reads: Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) {
	select {}
}

var _ = Describe("log limits", func() {
	It("drops and counts lines that exceed the rate limit of their kind", func() {
		var b bytes.Buffer
		r, err := logging.New(&b, "logfmt", "info")
		Expect(err).NotTo(HaveOccurred())
		l := r.Component("caller")
		for range 1000 {
			_ = level.Info(l).Log("msg", "Often.")
		}
		_ = level.Info(l).Log("msg", "Once.")
		r.Flush()
		Expect(strings.Count(b.String(), "Often.")).To(BeNumerically("<", 100))
		Expect(b.String()).To(ContainSubstring("Once."))
		Expect(b.String()).To(ContainSubstring("Log lines were dropped."))
		Expect(r.Dropped()).To(BeNumerically(">", 900))
	})

	It("does not block on an output that nobody reads", func() {
		r, err := logging.New(blockedWriter{}, "json", "info")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 5000 {
				_ = level.Info(r.Component("p")).Log("msg", strings.Repeat("x", i%700))
			}
			r.Flush()
		}()
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(r.Dropped()).To(BeNumerically(">", 3000))
	})
})
