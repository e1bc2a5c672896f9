package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testServer serves connections on loopback and records the paths of the requests
// that its handler got.
type testServer struct {
	Server
	listener net.Listener
	mu       sync.Mutex
	paths    []string
	running  atomic.Int64
	most     atomic.Int64
}

// startServer serves requests with h; all but POST requests may run at the same time.
func startServer(h http.HandlerFunc, options ...func(*Server)) *testServer {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{listener: l}
	s.HeaderTimeout = time.Second
	s.IdleTimeout = time.Minute
	s.Concurrent = func(r *http.Request) bool { return r.Method != http.MethodPost }
	s.Refuse = func(w http.ResponseWriter, _ *http.Request, e *Error) { w.WriteHeader(e.Status) }
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := s.running.Add(1)
		defer s.running.Add(-1)
		for m := s.most.Load(); n > m && !s.most.CompareAndSwap(m, n); m = s.most.Load() {
		}
		s.mu.Lock()
		s.paths = append(s.paths, r.URL.Path)
		s.mu.Unlock()
		h(w, r)
	})
	for _, o := range options {
		o(&s.Server)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.ServeConn(c, c, NewReader(c))
		}
	}()
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		s.Close()
	})
	return s
}

// requested returns the paths of the requests so far.
func (s *testServer) requested() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

// dial opens a connection.
func (s *testServer) dial() (*net.TCPConn, *bufio.Reader) {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn), bufio.NewReader(c)
}

// send writes text to c.
func send(c net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// readAnswer reads one answer and its body.
func readAnswer(r *bufio.Reader) (*http.Response, string) {
	GinkgoHelper()
	a, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return a, string(b)
}

// get returns a GET request for a path.
func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 800\r\n\r\n"
}

// answerPath answers with the request's path.
func answerPath(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.URL.Path)
}

var _ = Describe("pipelined requests", func() {
	DescribeTable("are all answered in order, however they are cut", func(size int, pause time.Duration) {
		s := startServer(answerPath)
		c, r := s.dial()
		text := ""
		for i := range 21 {
			text += get(fmt.Sprint("/", i))
		}
		go func() {
			defer GinkgoRecover()
			for len(text) > 0 {
				n := min(size, len(text))
				send(c, text[:n])
				text = text[n:]
				time.Sleep(pause)
			}
		}()
		for i := range 21 {
			a, b := readAnswer(r)
			Expect(a.StatusCode).To(Equal(200))
			Expect(b).To(Equal(fmt.Sprint("/", i)))
		}
	},
		Entry("3 bytes", 3, time.Millisecond),
		Entry("7 bytes", 7, time.Millisecond),
		Entry("90 bytes", 90, time.Millisecond),
		Entry("all at once", 10000, time.Duration(0)),
	)

	It("are answered when thousands come in one write", func() {
		s := startServer(answerPath)
		c, r := s.dial()
		go func() {
			defer GinkgoRecover()
			send(c, strings.Repeat(get("/x"), 3001))
		}()
		for range 3001 {
			a, b := readAnswer(r)
			Expect(a.StatusCode).To(Equal(200))
			Expect(b).To(Equal("/x"))
		}
		Expect(s.most.Load()).To(BeNumerically("<=", maxPipelined))
	})

	It("run at the same time if they are safe", func() {
		release := make(chan struct{})
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			answerPath(w, r)
		})
		c, r := s.dial()
		send(c, get("/slow")+get("/1")+get("/2"))
		Eventually(s.requested).Should(ConsistOf("/slow", "/1", "/2"))
		Consistently(r.Buffered, "50ms").Should(BeZero())
		close(release)
		for _, p := range []string{"/slow", "/1", "/2"} {
			_, b := readAnswer(r)
			Expect(b).To(Equal(p))
		}
	})

	It("wait for each other if they are not safe", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			answerPath(w, r)
		})
		c, r := s.dial()
		post := "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
		send(c, get("/1")+post+post+get("/2"))
		for _, p := range []string{"/1", "/post", "/post", "/2"} {
			_, b := readAnswer(r)
			Expect(b).To(Equal(p))
		}
		Expect(s.requested()).To(Equal([]string{"/1", "/post", "/post", "/2"}))
		Expect(s.most.Load()).To(BeEquivalentTo(1))
	})

	It("are not served behind an answer that closes the connection", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			answerPath(w, r)
		})
		c, r := s.dial()
		post := "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		send(c, post+post)
		a, _ := readAnswer(r)
		Expect(a.Close).To(BeTrue())
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(s.requested()).To(HaveLen(1))
	})

	It("are all answered if they run already when the server begins to drain", func() {
		release := make(chan struct{})
		var s *testServer
		s = startServer(func(w http.ResponseWriter, r *http.Request) {
			<-release
			if s.draining.Load() {
				w.Header().Set("Connection", "close")
			}
			answerPath(w, r)
		})
		c, r := s.dial()
		send(c, get("/1")+get("/2")+get("/3"))
		Eventually(s.requested).Should(HaveLen(3))
		s.StartDrain()
		send(c, get("/4"))
		time.Sleep(20 * time.Millisecond)
		close(release)
		for i := range 3 {
			a, b := readAnswer(r)
			Expect(b).To(Equal(fmt.Sprint("/", i+1)))
			Expect(a.Close).To(Equal(i == 2))
		}
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(s.requested()).To(HaveLen(3))
	})

	It("that are malformed are refused in their turn, and nothing behind them is served", func() {
		s := startServer(answerPath)
		c, r := s.dial()
		send(c, get("/1")+"GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+get("/3"))
		a, _ := readAnswer(r)
		Expect(a.StatusCode).To(Equal(200))
		a, _ = readAnswer(r)
		Expect(a.StatusCode).To(Equal(400))
		Expect(a.Close).To(BeTrue())
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(s.requested()).To(Equal([]string{"/1"}))
	})

	It("hold a bounded part of the answers that wait", func() {
		release := make(chan struct{})
		part := strings.Repeat("x", 1000)
		var written atomic.Int64
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
				return
			}
			for range 1000 {
				_, _ = io.WriteString(w, part)
				written.Add(int64(len(part)))
			}
		})
		c, r := s.dial()
		send(c, get("/slow")+strings.Repeat(get("/large"), 5))
		Eventually(written.Load).Should(BeNumerically(">", maxHeldBytes/2))
		Consistently(written.Load, "100ms").Should(BeNumerically("<=", maxHeldBytes+5*writeBufferSize))
		close(release)
		readAnswer(r)
		for range 5 {
			_, b := readAnswer(r)
			Expect(b).To(HaveLen(1000 * len(part)))
		}
	})

	It("are cancelled when the caller goes away", func() {
		cancelled := make(chan struct{}, 3)
		s := startServer(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			cancelled <- struct{}{}
		})
		c, _ := s.dial()
		send(c, get("/1")+get("/2")+get("/3"))
		Eventually(s.requested).Should(HaveLen(3))
		Expect(c.Close()).To(Succeed())
		for range 3 {
			Eventually(cancelled, "1s").Should(Receive())
		}
		Eventually(s.Len).Should(BeZero())
	})

	It("are cancelled when the caller goes away and more than the limit were sent", func() {
		s := startServer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		c, _ := s.dial()
		send(c, strings.Repeat(get("/1"), 10*maxPipelined))
		Eventually(s.requested).Should(HaveLen(maxPipelined))
		Expect(c.Close()).To(Succeed())
		Eventually(s.running.Load, "1s").Should(BeZero())
		Eventually(s.Len).Should(BeZero())
	})
})

var _ = Describe("answers", func() {
	It("that are aborted cut the connection, and no request behind them is answered", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		c, r := s.dial()
		send(c, get("/1")+get("/2"))
		a, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(a.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("that end with the connection reset it when they are aborted", func() {
		s := startServer(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		c, r := s.dial()
		send(c, "GET / HTTP/1.0\r\n\r\n")
		_, err := io.ReadAll(r)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
	})

	It("of a handler that panics end only their own connection", func() {
		var value atomic.Value
		s := startServer(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				panic("unexpected")
			}
		}, func(s *Server) { s.Panicked = func(v any) { value.Store(v) } })
		c, r := s.dial()
		send(c, get("/panic"))
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(value.Load()).To(Equal("unexpected"))
		c, r = s.dial()
		send(c, get("/"))
		a, _ := readAnswer(r)
		Expect(a.StatusCode).To(Equal(200))
	})

	It("reach a caller that has sent more than is read", func() {
		s := startServer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(413) })
		c, r := s.dial()
		send(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50000))
		a, _ := readAnswer(r)
		Expect(a.StatusCode).To(Equal(413))
		Expect(a.Close).To(BeTrue())
	})

	It("leave the connection open if a short body was not read", func() {
		s := startServer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) })
		c, r := s.dial()
		for range 2 {
			send(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
			a, _ := readAnswer(r)
			Expect(a.StatusCode).To(Equal(429))
			Expect(a.Close).To(BeFalse())
		}
	})

	It("ask for a body that the caller holds back", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		c, r := s.dial()
		send(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
		_, err = r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		send(c, "ab")
		_, b := readAnswer(r)
		Expect(b).To(Equal("ab"))
	})

	It("to HEAD have no body, and a trailer follows the last chunk, also of one that waits", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodHead {
				time.Sleep(20 * time.Millisecond)
			}
			w.Header().Set("Trailer", "X")
			_, _ = io.WriteString(w, "abc")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set("X", "y")
		})
		c, r := s.dial()
		send(c, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"+get("/")+get("/"))
		a, err := http.ReadResponse(r, &http.Request{Method: "HEAD"})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(200))
		for range 2 {
			a, b := readAnswer(r)
			Expect(b).To(Equal("abc"))
			Expect(a.Trailer.Get("X")).To(Equal("y"))
		}
	})
})

var _ = Describe("a connection", func() {
	It("is closed when it is idle for too long", func() {
		s := startServer(answerPath, func(s *Server) { s.IdleTimeout = 50 * time.Millisecond })
		c, r := s.dial()
		send(c, get("/"))
		readAnswer(r)
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("is not idle while a request runs", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			answerPath(w, r)
		}, func(s *Server) { s.IdleTimeout = 20 * time.Millisecond })
		c, r := s.dial()
		send(c, get("/"))
		_, b := readAnswer(r)
		Expect(b).To(Equal("/"))
	})

	It("is refused with 408 when a header stops arriving", func() {
		s := startServer(answerPath, func(s *Server) { s.HeaderTimeout = 50 * time.Millisecond })
		c, r := s.dial()
		send(c, "GET / HTTP/1.1\r\nHos")
		a, _ := readAnswer(r)
		Expect(a.StatusCode).To(Equal(408))
	})

	It("has as much time for a header as it takes if there is no limit", func() {
		s := startServer(answerPath, func(s *Server) { s.HeaderTimeout = 0 })
		c, r := s.dial()
		send(c, "GET / HTTP/1.1\r\nHos")
		time.Sleep(20 * time.Millisecond)
		send(c, "t: a\r\n\r\n")
		a, _ := readAnswer(r)
		Expect(a.StatusCode).To(Equal(200))
	})

	It("gives the time at which a request had arrived, also one that had to wait", func() {
		var waited atomic.Int64
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			waited.Store(int64(time.Since(w.(ArrivalRecorder).ReceivedAt())))
			time.Sleep(50 * time.Millisecond)
		})
		c, r := s.dial()
		post := "POST / HTTP/1.1\r\nHost: a\r\n\r\n"
		send(c, post+post)
		readAnswer(r)
		readAnswer(r)
		Expect(time.Duration(waited.Load())).To(BeNumerically(">=", 50*time.Millisecond))
	})

	It("is left to HTTP/2 after its preface", func() {
		s := startServer(answerPath)
		a, b := net.Pipe()
		go func() { _, _ = io.WriteString(a, http2Preface+"rest") }()
		r := NewReader(b)
		Expect(s.ServeConn(b, b, r)).To(BeTrue())
		text := make([]byte, len(http2Preface)+4)
		_, err := io.ReadFull(r, text)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(http2Preface + "rest"))
	})

	It("ends the context of its requests", func() {
		ended := make(chan error, 1)
		s := startServer(func(_ http.ResponseWriter, r *http.Request) {
			ctx := r.Context()
			go func() {
				<-ctx.Done()
				ended <- context.Cause(ctx)
			}()
		})
		c, r := s.dial()
		send(c, get("/"))
		readAnswer(r)
		Expect(c.Close()).To(Succeed())
		Eventually(ended, "1s").Should(Receive(MatchError(errCallerGone)))
	})
})

var _ = Describe("an invalid status", func() {
	// Guards against bytes that are no answer, with a success behind them.
	DescribeTable("closes the connection in place of an answer", func(status int) {
		s := startServer(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "ok")
		})
		c, r := s.dial()
		send(c, get("/"))
		b, err := io.ReadAll(r)
		Expect(b).To(BeEmpty())
		Expect(err).To(Or(Not(HaveOccurred()), MatchError(syscall.ECONNRESET)))
	},
		Entry("0", 0),
		Entry("99", 99),
		Entry("1000", 1000),
		Entry("-1", -1),
	)
})

var _ = Describe("pipelined answers with trailers", func() {
	// Guards against a fatal error that ends the process: the end of one answer wrote the
	// header of the next one while that one's handler set its trailer.
	It("are whole when they end at the same time", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				time.Sleep(time.Millisecond)
				return
			}
			h := w.Header()
			h["Trailer"] = []string{"X-Sum"}
			_, _ = io.WriteString(w, "second")
			_ = http.NewResponseController(w).Flush()
			for end := time.Now().Add(3 * time.Millisecond); time.Now().Before(end); {
				h["X-Sum"] = []string{"7"}
				h[http.TrailerPrefix+"X-More"] = []string{"8"}
				delete(h, http.TrailerPrefix+"X-More")
			}
		})
		var group sync.WaitGroup
		for range 16 {
			c, r := s.dial()
			group.Go(func() {
				defer GinkgoRecover()
				for range 40 {
					send(c, get("/first")+get("/second"))
					_, _ = readAnswer(r)
					a, b := readAnswer(r)
					Expect(b).To(Equal("second"))
					Expect(a.Header.Get("Date")).NotTo(BeEmpty())
					Expect(a.Trailer.Get("X-Sum")).To(Equal("7"))
				}
			})
		}
		group.Wait()
	})

	It("that are flushed early close the connection if they ask for it", func() {
		s := startServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				time.Sleep(20 * time.Millisecond)
				return
			}
			w.Header()["Connection"] = []string{"close"}
			w.Header()["X-Own"] = []string{"1"}
			_ = http.NewResponseController(w).Flush()
			w.Header()["X-Own"] = []string{"2"}
		})
		c, r := s.dial()
		send(c, get("/first")+get("/second"))
		_, _ = readAnswer(r)
		a, _ := readAnswer(r)
		Expect(a.Close).To(BeTrue())
		Expect(a.Header["X-Own"]).To(Equal([]string{"1"}))
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})
