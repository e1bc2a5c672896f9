package serve

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/settings"
)

var _ = DescribeTable("needsRestart",
	func(change func(s *settings.Settings), want bool) {
		a := netip.MustParseAddrPort
		read := func() *settings.Settings {
			return &settings.Settings{
				DataCentre: "z1",
				Peer:       settings.Peer{Address: a("192.0.2.1:1"), Seeds: []netip.AddrPort{a("192.0.2.2:1")}},
				Platform:   settings.Platform{Addresses: []netip.AddrPort{a("192.0.2.9:1")}, Form: settings.FormStore},
				Fleet:      settings.Fleet{RateOverage: 0.25, RateTolerance: 20, RetryPart: 0.2},
			}
		}
		n := read()
		change(n)
		Expect(needsRestart(read(), n)).To(Equal(want))
	},
	Entry("is false without a change", func(*settings.Settings) {}, false),
	Entry("is false for the log level", func(s *settings.Settings) { s.Log.Level = "debug" }, false),
	Entry("is false for seeds", func(s *settings.Settings) { s.Peer.Seeds = nil }, false),
	Entry("is false for the rate overage and tolerance", func(s *settings.Settings) { s.Fleet.RateOverage, s.Fleet.RateTolerance = 0.1, 5 }, false),
	Entry("is false for the grace period", func(s *settings.Settings) { s.Stop.Grace = time.Second }, false),
	Entry("is true for the platform's address", func(s *settings.Settings) { s.Platform.Addresses[0] = netip.MustParseAddrPort("192.0.2.8:1") }, true),
	Entry("is true for the platform's timeout", func(s *settings.Settings) { s.Platform.Timeout = time.Second }, true),
	Entry("is false for the wait after the start", func(s *settings.Settings) { s.Platform.InitialWait = time.Second }, false),
	Entry("is true for the retry budget", func(s *settings.Settings) { s.Fleet.RetryPart = 0.1 }, true),
	Entry("is true for the peer address", func(s *settings.Settings) { s.Peer.Address = netip.MustParseAddrPort("192.0.2.1:2") }, true),
	Entry("is true for the data centre", func(s *settings.Settings) { s.DataCentre = "z2" }, true),
)
