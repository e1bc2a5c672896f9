package logging_test

import (
	"bytes"

	"github.com/go-kit/log/level"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/logging"
)

var _ = Describe("Root", func() {
	It("writes lines with the prefix of a part, at a level that can be changed", func() {
		var b bytes.Buffer
		r, err := logging.New(&b, "logfmt", "warn")
		Expect(err).NotTo(HaveOccurred())
		l := r.Part("store")
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
