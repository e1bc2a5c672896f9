package chooser_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/load"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/platform"
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:80")
	second = netip.MustParseAddrPort("10.0.0.2:80")
	peer   = netip.MustParseAddrPort("10.1.0.1:90")
)

// values returns a table of one service with two servers.
func values(revision uint64, state string, servers ...netip.AddrPort) *table.Table {
	s := "Slots = 6\nConnections = 10\nColdRate = 1.0\nColdBurst = 1.0\nColdFor = \"1s\"\n" +
		"ProbeRate = 100.0\nLoadPath = \"/load\"\n"
	for i, a := range servers {
		s += "[[Server]]\nAddress = \"" + a.String() + "\"\nDataCentre = \"" + []string{"a", "b"}[i] + "\"\n"
	}
	t, fs := table.Parse(revision, []table.Value{{Name: "DataCentres", Revision: revision, Text: "[[DataCentre]]\nName = \"a\"\nRegion = \"r\"\nState = \"" + state + "\"\n" +
		"[[DataCentre]]\nName = \"b\"\nRegion = \"r\"\nState = \"In\"\n",
	}, {Name: "Services/till", Revision: revision, Text: s},
		{Name: "Routes", Revision: revision, Text: "Route = []"},
		{Name: "Workspaces", Revision: revision, Text: "Workspace = []"}})
	Expect(fs).To(BeEmpty())
	return t
}

var _ = Describe("the services", func() {
	var s *chooser.Services
	var t *table.Table
	var vms platform.VMs
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	BeforeEach(func() {
		t = values(1, "In", first, second)
		vms = platform.VMs{}
		s = &chooser.Services{
			Policy: choice.NewInformed(),
			Logger: log.NewNopLogger(),
			Table:  func() *table.Table { return t },
			VMs:    func() (platform.VMs, bool) { return vms, vms.Revision > 0 },
		}
	})

	choose := func() map[netip.AddrPort]bool {
		got := map[netip.AddrPort]bool{}
		v, ok := t.Service("till")
		Expect(ok).To(BeTrue())
		for range 100 {
			if c, ok := s.Choose(now, &exchange.Exchange{Service: v}, nil); ok {
				got[c.Server()] = true
			}
		}
		return got
	}

	It("choose from the first request on", func() {
		Expect(choose()).To(HaveLen(2))
	})

	It("give nothing to a data centre that is out", func() {
		s.Refresh(now)
		t = values(2, "Out", first, second)
		s.Refresh(now)
		Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
	})

	It("give nothing to a leaving server, and serve on when the list lacks one", func() {
		vms = platform.VMs{Revision: 1, VMs: []platform.VM{{Address: first, Role: platform.RoleBackend, Leaving: true}}}
		s.Refresh(now)
		Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
	})

	Context("when servers are missing from the table", func() {
		var age time.Duration

		BeforeEach(func() {
			age = 0
			s.ReadAge = func() (time.Duration, bool) { return age, true }
			s.Refresh(now)
		})
		later := func(d time.Duration) {
			s.Tick(now.Add(d))
		}

		It("give them nothing more", func() {
			t = values(2, "In", second)
			s.Refresh(now)
			Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
		})

		It("keep one of them too after the platform was away", func() {
			age = 3 * time.Second
			t = values(2, "In", second)
			s.Refresh(now)
			Expect(choose()).To(HaveLen(2))
		})

		It("keep them for two seconds after the platform was away", func() {
			age = 3 * time.Second
			later(time.Second)
			age = 0
			t = values(2, "In")
			s.Refresh(now.Add(1500 * time.Millisecond))
			Expect(choose()).To(HaveLen(2))
			n, ok := s.Held(first)
			Expect(ok).To(BeTrue())
			Expect(n).To(Equal(10))
			later(2900 * time.Millisecond)
			Expect(choose()).To(HaveLen(2))
			later(3 * time.Second)
			Expect(choose()).To(BeEmpty())
		})

		It("keep them when the table comes before the word that the platform is back", func() {
			age = 3 * time.Second
			t = values(2, "In")
			s.Refresh(now)
			Expect(choose()).To(HaveLen(2))
		})

		It("keep all while the table names no data centre, and do not take them as cold later", func() {
			age = 3 * time.Second
			t = values(2, "In")
			t.DataCentres = nil
			t.BuildIndexes()
			s.Refresh(now)
			Expect(choose()).To(HaveLen(2))
			t = values(3, "In", first, second)
			s.Refresh(now)
			d := s.Dump().([]chooser.ServiceDump)
			Expect(d[0].Choice.Servers[0].Phase).To(Equal("Warm"))
		})

		It("give nothing more to one whose data centre is out", func() {
			age = 3 * time.Second
			t = values(2, "Out", first, second)
			v, _ := t.Service("till")
			v.Servers = nil
			s.Refresh(now)
			Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
		})

		It("keep them as what they were once they are entered again", func() {
			age = 3 * time.Second
			t = values(2, "In")
			s.Refresh(now)
			age = 0
			t = values(3, "In", first, second)
			s.Refresh(now.Add(time.Second))
			later(5 * time.Second)
			Expect(choose()).To(HaveLen(2))
		})

		It("give nothing more to one whose address another service has", func() {
			age = 3 * time.Second
			t = values(2, "In")
			t.Services = append(t.Services, table.Service{Name: "other", Servers: []table.Server{{Address: first, DataCentre: "a"}}})
			t.BuildIndexes()
			s.Refresh(now)
			Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
		})

		It("give nothing more to one that said that it leaves", func() {
			t = values(2, "In", first, second)
			v, _ := t.Service("till")
			v.Servers[0].Leaving = true
			s.Refresh(now)
			age = 3 * time.Second
			t = values(3, "In")
			s.Refresh(now)
			Expect(choose()).To(Equal(map[netip.AddrPort]bool{second: true}))
		})
	})

	It("pass news on to another VM, also before its table", func() {
		s.Refresh(now)
		v, _ := t.Service("till")
		c, ok := s.Choose(now, &exchange.Exchange{Service: v}, []netip.AddrPort{second})
		Expect(ok).To(BeTrue())
		c.End(now, choice.Answered{Status: 200, Load: &load.Report{Slots: 6, Cold: true}})
		ms := s.News(now)
		Expect(ms).To(HaveLen(1))
		Expect(s.Standing(now)).To(HaveLen(1))
		o := &chooser.Services{Policy: s.Policy, Logger: s.Logger, Table: s.Table, VMs: s.VMs}
		o.Hear(now, peer, ms)
		o.Refresh(now)
		d := o.Dump().([]chooser.ServiceDump)
		Expect(d[0].Choice.Servers[0].Phase).To(Equal("Cold"))
		Expect(d[0].Choice.Servers[1].Phase).To(Equal("Warm"))
	})

	It("bear hostile news", func() {
		s.Hear(now, peer, []*peerpb.LoadMessage{
			nil, {Service: "other"}, {Service: "till", News: []*peerpb.ServerNews{
				nil, {Address: []byte{1}}, {Address: make([]byte, 1000), State: 77, AgeMillis: 1<<32 - 1},
			}},
		})
		s.Refresh(now)
		Expect(choose()).To(HaveLen(2))
	})

	It("feed the gate", func() {
		s.Refresh(now)
		v, _ := t.Service("till")
		c, _ := s.Choose(now, &exchange.Exchange{Service: v}, nil)
		c.End(now.Add(time.Second), choice.Answered{Status: 200, FirstByte: time.Second})
		Expect(s.Gate("till").Dump().Latency).To(Equal(time.Second))
		Expect(s.Gate("other")).To(BeNil())
	})

	It("show their state in metrics", func() {
		s.Refresh(now)
		r := prometheus.NewPedanticRegistry()
		Expect(r.Register(s)).To(Succeed())
		_, err := r.Gather()
		Expect(err).NotTo(HaveOccurred())
	})

	It("probe a server that only a probe can tell of", func() {
		got := make(chan string, 1)
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(load.Header, "running=0, slots=6")
			select {
			case got <- q.URL.Path:
			default:
			}
		}))
		defer h.Close()
		a := netip.MustParseAddrPort(h.Listener.Addr().String())
		t = values(1, "In", a)
		s.Probes = func(string) choice.Allowance { return always{} }
		s.Refresh(now)
		v, _ := t.Service("till")
		c, _ := s.Choose(now, &exchange.Exchange{Service: v}, nil)
		c.End(now, choice.Failed{})
		p := &chooser.Prober{Services: s, Transport: &http.Transport{DisableKeepAlives: true}}
		p.Step(context.Background(), now.Add(time.Minute))
		Eventually(got).Should(Receive(Equal("/load")))
	})
})

type always struct{}

func (always) Take(time.Time, netip.AddrPort) bool { return true }
