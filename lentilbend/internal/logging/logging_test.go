package logging_test

import (
	"bytes"

	"github.com/go-kit/log/level"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/logging"
)

var _ = Describe("Root", func() {
	It("adds the name of the component to each line and applies level changes", func() {
		var b bytes.Buffer
		r, err := logging.New(&b, "logfmt", "warn")
		Expect(err).NotTo(HaveOccurred())
		l := r.Component("store")
		Expect(level.Info(l).Log("msg", "Hidden.")).To(Succeed())
		r.Flush()
		Expect(b.String()).To(BeEmpty())
		Expect(r.SetLevel("info")).To(Succeed())
		Expect(level.Info(l).Log("msg", "Shown.")).To(Succeed())
		r.Flush()
		Expect(b.String()).To(ContainSubstring("level=info part=store msg=Shown."))
		Expect(r.SetLevel("loud")).To(MatchError(ContainSubstring("loud")))
	})
})
