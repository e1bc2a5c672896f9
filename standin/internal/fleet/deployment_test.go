package fleet

import (
	"net"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lentilbend.example/internal/table"
)

var _ = ginkgo.Describe("Deployment", func() {
	ginkgo.DescribeTable("makes a valid table of the stated size",
		func(d Deployment, centres, entries int, instances ...int) {
			b := &block{prefix: [3]byte{127, 1, 1}}
			d.placeServers(b)
			var vs []table.Value
			for _, c := range d.values() {
				vs = append(vs, table.Value{Name: c.Name, Revision: 1, Text: c.Text})
			}
			t, fs := table.Parse(1, vs)
			gomega.Expect(fs).To(gomega.BeEmpty())
			gomega.Expect(t.DataCentres).To(gomega.HaveLen(centres))
			gomega.Expect(d.Entries).To(gomega.HaveLen(entries))
			var got []int
			for _, s := range d.Services {
				got = append(got, len(s.Servers))
			}
			gomega.Expect(got).To(gomega.Equal(instances))
		},
		ginkgo.Entry("Association", Association(), 3, 15, 16, 8, 6, 6),
		ginkgo.Entry("Sennik", Sennik(), 4, 16, 20, 10, 8, 8),
		ginkgo.Entry("small", Small(3), 3, 3, 6, 6),
	)

	ginkgo.It("takes a withdrawn key out of the table", func() {
		d := Small(1)
		d.Workspaces[0].Withdrawn = true
		gomega.Expect(d.workspacesText()).To(gomega.ContainSubstring("KeyDigests = []"))
	})

	ginkgo.It("knows the calls a second that the slots bear", func() {
		d := Association()
		gomega.Expect(d.Capacity()).To(gomega.BeNumerically("~", 36*6/0.02, 1))
	})
})

var _ = ginkgo.Describe("block", func() {
	ginkgo.It("is taken by one fleet only", func() {
		b, err := newBlock()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer b.close()
		a := netip.AddrPortFrom(b.address(lockHost), lockPort)
		_, err = net.Listen("tcp", a.String())
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
