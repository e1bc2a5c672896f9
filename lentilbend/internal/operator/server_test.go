package operator_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"lentilbend.example/lentilbend/internal/operator"
	"lentilbend.example/lentilbend/internal/settings"
)

// part is a part with a fixed state.
type part struct {
	State string
}

func (p part) Dump() any { return p }

var _ = Describe("Server", func() {
	var (
		base  string
		ready atomic.Pointer[error]
		level atomic.Pointer[string]
	)

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		a := netip.MustParseAddrPort(l.Addr().String())
		Expect(l.Close()).To(Succeed())
		base = "http://" + a.String()
		ready.Store(new(error))
		s := &operator.Server{
			Settings: settings.Operator{Address: a},
			Registry: prometheus.NewRegistry(),
			Ready:    func() error { return *ready.Load() },
			SetLevel: func(v string) error {
				if v != "debug" {
					return errors.New("unknown")
				}
				level.Store(&v)
				return nil
			},
			Parts: map[string]operator.Dumper{"Part": part{State: "On"}},
		}
		go func() { _ = s.Run() }()
		DeferCleanup(s.Close)
		Eventually(func() error {
			r, err := http.Get(base + "/healthz")
			if err == nil {
				_ = r.Body.Close()
			}
			return err
		}, "20s").Should(Succeed())
	})

	get := func(method, path string) (int, string) {
		q, err := http.NewRequest(method, base+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return r.StatusCode, string(b)
	}

	It("tells whether callers may be sent here, and why not", func() {
		c, _ := get(http.MethodGet, "/readyz")
		Expect(c).To(Equal(http.StatusOK))
		err := errors.New("a planned stop has begun")
		ready.Store(&err)
		c, b := get(http.MethodGet, "/readyz")
		Expect(c).To(Equal(http.StatusServiceUnavailable))
		Expect(b).To(ContainSubstring("planned stop"))
		c, _ = get(http.MethodGet, "/healthz")
		Expect(c).To(Equal(http.StatusOK))
	})

	It("dumps the parts", func() {
		_, b := get(http.MethodGet, "/dump")
		Expect(b).To(MatchJSON(`{"Part": {"State": "On"}}`))
	})

	It("changes the log level", func() {
		c, _ := get(http.MethodPut, "/log-level/debug")
		Expect(c).To(Equal(http.StatusNoContent))
		Expect(*level.Load()).To(Equal("debug"))
		c, _ = get(http.MethodPut, "/log-level/loud")
		Expect(c).To(Equal(http.StatusBadRequest))
	})
})
