package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/platformpb"
)

var _ = Describe("Large values", func() {
	// tableWith returns the values of a table whose routes end with text.
	tableWith := func(text string) *platformpb.ValuesAnswer {
		return &platformpb.ValuesAnswer{Revision: 9, Values: []*platformpb.Value{
			{Name: "DataCentres", Revision: 9, Text: "DataCentre = []"},
			{Name: "Routes", Revision: 9, Text: "Route = []" + text},
			{Name: "Workspaces", Revision: 9, Text: "Workspace = []"},
		}}
	}
	// comments is about 200 kB long, far more than minPackSize.
	var comments strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&comments, "\n# route %d to a service that many share", i)
	}

	It("are sent packed and accepted by all VMs", func() {
		_, rs := startFleet(3)
		rs[0].Store.ApplyPlatform(0, tableWith(comments.String()))
		Eventually(lowestRevision(rs), "3s").Should(Equal(uint64(9)))
		Expect(rs[2].Store.Accepted()).To(Equal(rs[0].Store.Accepted()))
		a := rs[0].AnswerPull(&peerpb.PullRequest{Unpacks: true})
		Expect(a.GetValues()).To(BeEmpty())
		Expect(proto.Size(a)).To(BeNumerically("<", comments.Len()/8))
		Expect(rs[0].AnswerPull(&peerpb.PullRequest{Unpacks: true}).GetPacked()).To(Equal(a.GetPacked()))
	})

	It("are sent unpacked to a peer that cannot unpack them, as are small values", func() {
		_, rs := startFleet(1)
		rs[0].Store.ApplyPlatform(0, tableWith(comments.String()))
		Expect(rs[0].AnswerPull(&peerpb.PullRequest{}).GetValues()).To(HaveLen(3))
		_, rs = startFleet(1)
		rs[0].Store.ApplyPlatform(0, tableWith(""))
		Expect(rs[0].AnswerPull(&peerpb.PullRequest{Unpacks: true}).GetValues()).To(HaveLen(3))
	})

	It("are not accepted if they cannot be unpacked or exceed the maximum size", func() {
		var bomb bytes.Buffer
		g := gzip.NewWriter(&bomb)
		zeros := make([]byte, 1<<20)
		for range 65 {
			_, err := g.Write(zeros)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(g.Close()).To(Succeed())
		for _, b := range [][]byte{{1, 2, 3}, bomb.Bytes(), bomb.Bytes()[:1000]} {
			w, rs := startFleet(2)
			var pulled atomic.Bool
			w.setPullAnswer(rs[1], func(context.Context) *peerpb.PullAnswer {
				pulled.Store(true)
				return &peerpb.PullAnswer{Accepted: 9, Digest: 1, Packed: b}
			})
			rs[0].Receive(time.Now(), netip.MustParseAddrPort("10.0.0.2:7"), []*peerpb.ConfigMessage{{Accepted: 9, Digest: 1}})
			Eventually(pulled.Load, "3s").Should(BeTrue())
			Consistently(func() uint64 { return rs[0].Store.Accepted().Revision }, 300*time.Millisecond).Should(BeZero())
		}
	})
})
