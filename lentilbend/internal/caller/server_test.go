package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/settings"
)

const headerLimit = 4 << 10

// newTestServer returns a server whose requests are ended by h.
func newTestServer(h exchange.HandlerFunc) *Server {
	return &Server{
		Settings: settings.Caller{
			Address:       netip.MustParseAddrPort("127.0.0.1:0"),
			HeaderTimeout: 200 * time.Millisecond,
			IdleTimeout:   time.Minute,
		},
		Sizes:   settings.Limits{Header: headerLimit},
		Handler: &Handler{Table: func() *table.Table { return &table.Table{} }, Next: h, HeaderLimit: headerLimit},
	}
}

// run starts a server.
func run(s *Server) chan error {
	GinkgoHelper()
	Expect(s.Listen()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	return ended
}

// start runs a server whose requests are ended by h.
func start(h exchange.HandlerFunc) (*Server, chan error) {
	GinkgoHelper()
	s := newTestServer(h)
	return s, run(s)
}

// echo answers with the request's body.
func echo(x *exchange.Exchange) {
	b, err := io.ReadAll(x.Request.Body)
	if err != nil {
		x.Refuse(exchange.Refusal{Status: 400, Run: exchange.NotRun})
		return
	}
	_, _ = x.Writer.Write(b)
}

// dial opens a raw connection.
func dial(s *Server) (net.Conn, *bufio.Reader) {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.Address().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c, bufio.NewReader(c)
}

// send writes a raw text and reads one answer.
func send(c net.Conn, r *bufio.Reader, text string) *http.Response {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	a, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, a.Body)
	Expect(err).NotTo(HaveOccurred())
	return a
}

var _ = Describe("hostile input", func() {
	var s *Server
	var reached atomic.Int64

	BeforeEach(func() {
		reached.Store(0)
		s, _ = start(func(x *exchange.Exchange) {
			reached.Add(1)
			echo(x)
		})
		DeferCleanup(s.server.Close)
	})

	DescribeTable("gets a clear refusal and runs nothing", func(text string, status int) {
		c, r := dial(s)
		Expect(send(c, r, text).StatusCode).To(Equal(status))
		Expect(reached.Load()).To(BeZero())
	},
		Entry("two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
		Entry("no host", "GET / HTTP/1.1\r\n\r\n", 400),
		Entry("two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400),
		Entry("a signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx", 400),
		Entry("an unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", 501),
		Entry("two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n", 501),
		Entry("a space before the colon", "GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n", 400),
		Entry("a folded line", "GET / HTTP/1.1\r\nHost: a\r\n X: b\r\n\r\n", 400),
		Entry("a NUL", "GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", 400),
		Entry("a broken method", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
		Entry("a large header", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", headerLimit)+"\r\n\r\n", 431),
		Entry("a huge header", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 10*headerLimit)+"\r\n\r\n", 431),
		Entry("a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 501),
	)

	It("ends the connection when both a length and a coding are given", func() {
		c, r := dial(s)
		a := send(c, r, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(a.Close).To(BeTrue())
		_, err := http.ReadResponse(r, nil)
		Expect(err).To(HaveOccurred())
		Expect(reached.Load()).To(BeNumerically("<=", 1))
	})

	It("refuses a bad chunk", func() {
		c, r := dial(s)
		a := send(c, r, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
		Expect(a.StatusCode).To(Equal(400))
	})

	It("leaves a caller that sends its header slowly", func() {
		c, r := dial(s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHos")
		Expect(err).NotTo(HaveOccurred())
		b, err := io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Or(BeEmpty(), HavePrefix("HTTP/1.1 4")))
		Expect(reached.Load()).To(BeZero())
	})
})

var _ = Describe("a planned stop", func() {
	It("answers a request that arrives on a connection about to be closed", func() {
		s, _ := start(echo)
		c, r := dial(s)
		Expect(send(c, r, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").Close).To(BeFalse())
		s.Leave()
		now := time.Now()
		Expect(s.listener.closeIdle(now)).To(Equal(1))
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.listener.closeIdle(now.Add(quietTime))).To(Equal(1))
		a := send(c, r, "Host: a\r\nContent-Length: 1\r\n\r\nx")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.Close).To(BeTrue())
		Expect(s.Shutdown(context.Background())).To(Succeed())
	})

	It("closes a connection on which nothing arrives", func() {
		s, ended := start(echo)
		c, r := dial(s)
		send(c, r, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(s.Shutdown(context.Background())).To(Succeed())
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(<-ended).To(Succeed())
		Expect(s.Open()).To(BeZero())
	})

	It("gives up at the end of its time", func() {
		begun, release := make(chan struct{}), make(chan struct{})
		s, _ := start(func(*exchange.Exchange) {
			close(begun)
			<-release
		})
		c, _ := dial(s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		<-begun
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(s.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
		close(release)
	})

	DescribeTable("cuts no request under load", func(h2 bool) {
		s, ended := start(echo)
		l := &loader{url: fmt.Sprintf("http://%s/", s.Address()), h2: h2}
		l.run(50)
		Eventually(l.whole.Load, "10s").Should(BeNumerically(">", 1000))
		s.Leave()
		n := l.whole.Load()
		Eventually(l.whole.Load, "10s").Should(BeNumerically(">", n+2000))
		Expect(s.Shutdown(context.Background())).To(Succeed())
		Expect(<-ended).To(Succeed())
		l.wait()
		Expect(l.cuts).To(BeEmpty())
	},
		Entry("HTTP/1.1", false),
		Entry("HTTP/2", true),
	)
})

// loader sends requests that its client cannot repeat, over kept connections,
// until a new connection is refused.
type loader struct {
	url   string
	h2    bool
	whole atomic.Int64
	group sync.WaitGroup
	mu    sync.Mutex
	cuts  []error
}

func (l *loader) run(workers int) {
	for i := range workers {
		t := &http.Transport{Protocols: new(http.Protocols)}
		t.Protocols.SetHTTP1(!l.h2)
		t.Protocols.SetUnencryptedHTTP2(l.h2)
		l.group.Go(func() {
			defer t.CloseIdleConnections()
			for n := 0; l.one(t, n); n++ {
				time.Sleep(time.Duration(i%10) * time.Millisecond)
			}
		})
	}
}

// one sends one request; it returns false when the server listens no more.
func (l *loader) one(t *http.Transport, n int) bool {
	want := strings.Repeat("x", 1+n%1000)
	r, err := http.NewRequest("POST", l.url, io.NopCloser(strings.NewReader(want)))
	if err != nil {
		return l.cut(err)
	}
	a, err := t.RoundTrip(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if err != nil {
		return l.cut(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil || string(b) != want {
		return l.cut(fmt.Errorf("status %d, %d bytes: %w", a.StatusCode, len(b), err))
	}
	l.whole.Add(1)
	return true
}

func (l *loader) cut(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, err)
	return true
}

func (l *loader) wait() {
	l.group.Wait()
}
