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

// fixedDumper is a component with a fixed state.
type fixedDumper struct {
	State string
}

func (p fixedDumper) Dump() any { return p }

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
			Dumpers: map[string]operator.Dumper{"Part": fixedDumper{State: "On"}},
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

	do := func(method, path string) (int, string) {
		q, err := http.NewRequest(method, base+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return r.StatusCode, string(b)
	}

	It("reports whether the VM is ready, and why not", func() {
		c, _ := do(http.MethodGet, "/readyz")
		Expect(c).To(Equal(http.StatusOK))
		err := errors.New("a planned stop has begun")
		ready.Store(&err)
		c, b := do(http.MethodGet, "/readyz")
		Expect(c).To(Equal(http.StatusServiceUnavailable))
		Expect(b).To(ContainSubstring("planned stop"))
		c, _ = do(http.MethodGet, "/healthz")
		Expect(c).To(Equal(http.StatusOK))
	})

	It("dumps the state of the components", func() {
		_, b := do(http.MethodGet, "/dump")
		Expect(b).To(MatchJSON(`{"Part": {"State": "On"}}`))
	})

	It("changes the log level", func() {
		c, _ := do(http.MethodPut, "/log-level/debug")
		Expect(c).To(Equal(http.StatusNoContent))
		Expect(*level.Load()).To(Equal("debug"))
		c, _ = do(http.MethodPut, "/log-level/loud")
		Expect(c).To(Equal(http.StatusBadRequest))
	})
})
