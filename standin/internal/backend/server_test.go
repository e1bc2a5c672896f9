package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lentilbend.example/internal/load"
)

var _ = ginkgo.Describe("Server", func() {
	var s *Server

	ginkgo.BeforeEach(func() {
		s = &Server{Slots: 1, LoadPath: "/load", Recorder: &Recorder{}, Keys: []string{"secret"}}
		s.init()
	})

	call := func(r *http.Request) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.routes().ServeHTTP(w, r)
		return w
	}
	request := func() *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/till/1", strings.NewReader("body"))
		r.Header.Set(IDHeader, "7")
		return r
	}

	ginkgo.It("answers a call with its ID, records the execution and detects a key in a header", func() {
		r := request()
		r.Header.Set("Cookie", "k=secret")
		w := call(r)
		gomega.Expect(w.Body.Bytes()).To(gomega.Equal(AnswerBody("7", BodyDigest([]byte("body")), s.Address.String(), 0)))
		gomega.Expect(w.Header().Get(load.Header)).To(gomega.Equal("running=1, queued=0, slots=1"))
		e := s.Recorder.Executions(0)
		gomega.Expect(e).To(gomega.HaveLen(1))
		gomega.Expect(e[0].KeySeen).To(gomega.BeTrue())
	})

	ginkgo.It("reports that shed requests were not started", func() {
		for _, m := range []Mode{Shed{}, Drain{}} {
			s.SetMode(Normal{})
			s.SetMode(m)
			w := call(request())
			gomega.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
			gomega.Expect(w.Header().Get(load.RunHeader)).To(gomega.Equal(load.NotRun))
		}
		gomega.Expect(s.Recorder.Executions(0)).To(gomega.BeEmpty())
	})

	ginkgo.It("sheds a request if all slots and the queue are full", func() {
		s.slots <- struct{}{}
		w := call(request())
		gomega.Expect(w.Header().Get(load.RunHeader)).To(gomega.Equal(load.NotRun))
	})

	ginkgo.It("counts requests beyond the rate and burst of a cold start", func() {
		s.SetMode(Cold{Rate: 0.001, Burst: 2, Duration: time.Hour})
		for range 5 {
			call(request())
		}
		gomega.Expect(s.Counts().ColdBeyond).To(gomega.Equal(uint64(3)))
	})

	ginkgo.It("stops processing when the request is cancelled", func() {
		s.ServiceTime = time.Hour
		c, cancel := context.WithCancel(context.Background())
		cancel()
		gomega.Expect(func() { call(request().WithContext(c)) }).To(gomega.Panic())
		gomega.Expect(s.Recorder.Executions(0)[0].Cancelled).To(gomega.BeTrue())
	})

	ginkgo.It("stops processing when the Request-Timeout has passed", func() {
		s.ServiceTime = time.Hour
		r := request()
		r.Header.Set("Request-Timeout", "1ms")
		gomega.Expect(call(r).Code).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(s.Recorder.Executions(0)[0].Cancelled).To(gomega.BeTrue())
	})

	ginkgo.It("aborts answers in mode Cut", func() {
		s.SetMode(Cut{Ratio: 1})
		gomega.Expect(func() { call(request()) }).To(gomega.Panic())
	})

	ginkgo.It("makes open connections silent in mode Blackhole while new ones work", func() {
		v := httptest.NewUnstartedServer(s.routes())
		v.Listener = &listener{Listener: v.Listener, server: s}
		v.Start()
		defer s.conns.closeAll()
		c := v.Client()
		c.Timeout = time.Second
		a, err := c.Get(v.URL + "/load")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Body.Close()).To(gomega.Succeed())
		s.SetMode(Blackhole{})
		_, err = c.Get(v.URL + "/load")
		gomega.Expect(err).To(gomega.HaveOccurred())
		c.CloseIdleConnections()
		a, err = c.Get(v.URL + "/load")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Body.Close()).To(gomega.Succeed())
	})

	ginkgo.It("parses modes and rejects invalid parameters", func() {
		m, err := ParseMode("cold 20 4 10s")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m).To(gomega.Equal(Cold{Rate: 20, Burst: 4, Duration: 10 * time.Second}))
		_, err = ParseMode("slow x")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
