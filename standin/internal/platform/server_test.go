package platform

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	"lentilbend.example/internal/platformpb"
)

var _ = ginkgo.Describe("Server", func() {
	var s *Server
	one := netip.MustParseAddrPort("127.0.0.1:1")
	two := netip.MustParseAddrPort("127.0.0.1:2")

	read := func(a netip.AddrPort, path string) (int, *platformpb.ValuesAnswer) {
		w := httptest.NewRecorder()
		s.routes(a).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		m := &platformpb.ValuesAnswer{}
		if w.Code == http.StatusOK {
			gomega.Expect(protojson.Unmarshal(w.Body.Bytes(), m)).To(gomega.Succeed())
		}
		return w.Code, m
	}

	ginkgo.BeforeEach(func() {
		s = &Server{}
		s.Edit(Change{Name: "A", Text: "1"}, Change{Name: "B", Text: "1"})
		s.Edit(Change{Name: "A", Text: "2"})
	})

	ginkgo.It("answers with the newest text of each value changed after a revision", func() {
		_, m := read(one, "/v1/values?after=0&wait=0s")
		gomega.Expect(m.GetRevision()).To(gomega.Equal(uint64(2)))
		gomega.Expect(m.GetValues()).To(gomega.HaveLen(2))
		gomega.Expect(m.GetValues()[0].GetText()).To(gomega.Equal("2"))
		_, m = read(one, "/v1/values?after=1&wait=0s")
		gomega.Expect(m.GetValues()).To(gomega.HaveLen(1))
	})

	ginkgo.It("delays the answer to a waiting read until an edit", func() {
		go func() {
			gomega.Eventually(s.Reads).Should(gomega.Equal(uint64(1)))
			s.Edit(Change{Name: "C", Deleted: true})
		}()
		_, m := read(one, "/v1/values?after=2&wait=1m")
		gomega.Expect(m.GetValues()[0].GetDeleted()).To(gomega.BeTrue())
	})

	ginkgo.It("applies the modes stale, reverted and down to one reader only", func() {
		s.SetReaderMode(one, Stale{Revision: 1})
		_, m := read(one, "/v1/values?after=0&wait=0s")
		gomega.Expect(m.GetRevision()).To(gomega.Equal(uint64(1)))
		_, m = read(two, "/v1/values?after=0&wait=0s")
		gomega.Expect(m.GetRevision()).To(gomega.Equal(uint64(2)))

		s.SetReaderMode(one, Reverted{Revision: 1})
		_, m = read(one, "/v1/values?after=2&wait=1m")
		gomega.Expect(m.GetRevision()).To(gomega.Equal(uint64(1)))

		s.SetReaderMode(one, Down{})
		c, _ := read(one, "/v1/values?after=0&wait=0s")
		gomega.Expect(c).To(gomega.Equal(http.StatusServiceUnavailable))
		s.SetMode(Normal{})
		c, _ = read(one, "/v1/values?after=0&wait=0s")
		gomega.Expect(c).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("answers with a new VM list only after the lag", func() {
		s.Lag = time.Hour
		s.SetVMs([]*platformpb.Vm{EntryVM(one, "a")})
		s.SetVM(EntryVM(two, "a"))
		gomega.Expect(s.vmListAt(time.Now().Add(-s.Lag)).GetVms()).To(gomega.HaveLen(1))
		gomega.Expect(s.vmListAt(time.Now()).GetVms()).To(gomega.HaveLen(2))
	})

	ginkgo.It("parses modes and rejects unknown ones", func() {
		m, err := ParseMode("stale 3")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m).To(gomega.Equal(Stale{Revision: 3}))
		_, err = ParseMode("odd")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
