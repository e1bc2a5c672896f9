package fleet

import (
	"net"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lentilbend.example/internal/table"
)

var _ = ginkgo.Describe("Deployment", func() {
	ginkgo.DescribeTable("generates a valid table with the expected number of data centres, entry VMs and servers",
		func(d Deployment, dataCentres, entries int, instances ...int) {
			b := &addressBlock{prefix: [3]byte{127, 1, 1}}
			d.assignServers(b)
			var vs []table.Value
			for _, c := range d.tableValues() {
				vs = append(vs, table.Value{Name: c.Name, Revision: 1, Text: c.Text})
			}
			t, fs := table.Parse(1, vs)
			gomega.Expect(fs).To(gomega.BeEmpty())
			gomega.Expect(t.DataCentres).To(gomega.HaveLen(dataCentres))
			gomega.Expect(d.EntryDataCentres).To(gomega.HaveLen(entries))
			var got []int
			for _, s := range d.Services {
				got = append(got, len(s.Servers))
			}
			gomega.Expect(got).To(gomega.Equal(instances))
		},
		ginkgo.Entry("Association", AssociationDeployment(), 3, 15, 16, 8, 6, 6),
		ginkgo.Entry("Sennik", SennikDeployment(), 4, 16, 20, 10, 8, 8),
		ginkgo.Entry("small", SmallDeployment(3), 3, 3, 6, 6),
	)

	ginkgo.It("omits a withdrawn key from the table", func() {
		d := SmallDeployment(1)
		d.Workspaces[0].KeyWithdrawn = true
		gomega.Expect(d.workspacesTOML()).To(gomega.ContainSubstring("KeyDigests = []"))
	})

	ginkgo.It("computes the capacity from the slots and service times of all servers", func() {
		d := AssociationDeployment()
		gomega.Expect(d.Capacity()).To(gomega.BeNumerically("~", 36*6/0.02, 1))
	})
})

var _ = ginkgo.Describe("addressBlock", func() {
	ginkgo.It("cannot be reserved twice", func() {
		b, err := newAddressBlock()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer b.close()
		a := netip.AddrPortFrom(b.address(lockHost), lockPort)
		_, err = net.Listen("tcp", a.String())
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
