package chooser_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/table"
	deployment "lentilbend.example/platform"

	"lentilbend.example/lentilbend/internal/chooser"
	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/pool"
)

// Guards against a server that is taken out of use, or whose state changes, by what an
// answer to a probe says whose status is not one of HTTP or whose head is malformed.
var _ = DescribeTable("a probe learns nothing from an answer with an invalid status or a malformed head", func(line string, learns bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	probes := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 4<<10)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 " + line + "\r\nServer-Leaving: 1\r\nInstance-Load: 1,0,6,100\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"))
					probes <- struct{}{}
				}
			}()
		}
	}()
	server := netip.MustParseAddrPort(l.Addr().String())
	pools := pool.New(func(netip.AddrPort) int { return 4 })
	pools.MinIdle = 0
	for _, r := range []http.RoundTripper{chooser.NewProbeTransport(), &pool.Transport{Pools: pools, Timeout: time.Second}} {
		t := newTable(1, "In", server, second)
		s := &chooser.Services{
			Policy:         choice.NewInformed(),
			Logger:         log.NewNopLogger(),
			Table:          func() *table.Table { return t },
			VMList:         func() (platform.VMList, bool) { return platform.VMList{}, false },
			ProbeAllowance: func(string) choice.Allowance { return unlimited{} },
		}
		now := time.Now()
		s.Refresh(now)
		v, _ := t.Service("till")
		c, err := s.Choose(now, &exchange.Exchange{Service: v}, []netip.AddrPort{second})
		Expect(err).NotTo(HaveOccurred())
		c.End(now, choice.Failed{})
		p := &chooser.Prober{Services: s, Transport: r, Dialect: deployment.Dialect(), ParseLoad: deployment.Dialect().ParseLoad}
		p.SendDueProbes(context.Background(), now.Add(time.Minute))
		Eventually(probes, "5s").Should(Receive())
		state := func() bool {
			d := s.Dump().([]chooser.ServiceDump)[0].Choice.Servers[0]
			return d.Leaving || d.ReportAge != 0 || d.Requests != 0 || d.PauseLeft != 0
		}
		if learns {
			Eventually(state, "5s").Should(BeTrue())
		} else {
			Consistently(state, "150ms").Should(BeFalse())
		}
	}
},
	Entry("200, for comparison", "200 OK", true),
	Entry("503, for comparison", "503 Service Unavailable", true),
	Entry("000", "000 OK", false),
	Entry("099", "099 OK", false),
	Entry("-00", "-00 OK", false),
	Entry("1000", "1000 OK", false),
	Entry("letters", "abc OK", false),
	Entry("101", "101 OK", false),
	Entry("199", "199 OK", false),
	Entry("600", "600 OK", false),
	Entry("a space in a name", "200 OK\r\nX Y: z", false),
	Entry("a space behind a name", "200 OK\r\nX : z", false),
	Entry("a folded line", "200 OK\r\nX: y\r\n z: 1", false),
	Entry("a control character in a name", "200 OK\r\nX\x01: z", false),
	Entry("a bare line feed", "200 OK\r\nX: y\nZ: z", false),
	Entry("a value that is too long", "200 OK\r\nX: "+strings.Repeat("x", 300<<10), false),
	Entry("too many fields", "200 OK"+strings.Repeat("\r\nX: y", 10_000), false),
)
