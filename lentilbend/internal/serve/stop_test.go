package serve

import (
	"net/netip"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/settings"
)

var _ = Describe("graceful shutdown of the process", func() {
	start := func(wait time.Duration) (*Process, chan error) {
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		p := &Process{
			Settings: &settings.Settings{
				Caller:   settings.Caller{Address: loopback},
				Operator: settings.Operator{Address: loopback},
				Peer:     settings.Peer{Address: loopback, ListAge: time.Second},
				Platform: settings.Platform{Addresses: []netip.AddrPort{loopback}, Timeout: time.Second},
				Log:      settings.Log{Level: "error", Format: "logfmt"},
				Stop:     settings.Stop{Wait: wait, Timeout: 10 * time.Second},
				Limits:   settings.Limits{Header: 4096},
			},
			Signals: make(chan os.Signal, 2),
		}
		ended := make(chan error, 1)
		go func() { ended <- p.Run() }()
		p.Signals <- syscall.SIGTERM
		Eventually(p.stopping.Load, "5s").Should(BeTrue())
		return p, ended
	}

	It("ends without an error after a signal, and is not ready meanwhile", func() {
		p, ended := start(100 * time.Millisecond)
		Expect(p.ready()).To(MatchError(ContainSubstring("planned stop")))
		Eventually(ended, "10s").Should(Receive(Succeed()))
	})

	It("ends at once after a second signal", func() {
		p, ended := start(time.Hour)
		p.Signals <- syscall.SIGTERM
		Eventually(ended, "10s").Should(Receive(MatchError(ContainSubstring("second signal"))))
	})
})
