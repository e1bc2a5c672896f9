package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/history"
)

var _ = ginkgo.Describe("Generator", func() {
	var handler http.HandlerFunc
	var g *Generator

	ginkgo.BeforeEach(func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(w, r) }))
		ginkgo.DeferCleanup(s.Close)
		a := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		g = &Generator{
			Entries:    []Entry{{Caller: a, Operator: a}},
			Kinds:      []Kind{{Name: "k", Method: "POST", Path: "/", Share: 1, BodySize: 100, AnswerSize: 300}},
			Workspaces: []Workspace{{Name: "w", Key: "secret", Share: 1}},
			Rate:       1000,
			Duration:   20 * time.Millisecond,
			Recorder:   &history.Recorder{},
		}
	})

	outcomes := func() []history.Outcome {
		_, err := g.Run(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var os []history.Outcome
		for _, c := range g.Recorder.History().Calls {
			os = append(os, c.Outcome)
		}
		gomega.Expect(os).NotTo(gomega.BeEmpty())
		return os
	}

	ginkgo.It("records the complete answer to its own call", func() {
		s := &backend.Server{Address: g.Entries[0].Caller}
		handler = s.ServeHTTP
		s.SetMode(backend.Normal{})
		outcomes()
		for _, c := range g.Recorder.History().Calls {
			gomega.Expect(c.Served()).To(gomega.BeTrue())
			a := c.Outcome.(history.Answered)
			gomega.Expect([]string{a.ID, a.BodyDigest}).To(gomega.Equal([]string{c.ID, c.BodyDigest}))
		}
	})

	ginkgo.It("records an answer that is too short as incomplete", func() {
		handler = func(w http.ResponseWriter, r *http.Request) {
			b := backend.AnswerBody(r.Header.Get(backend.IDHeader), "d", "s", 300)
			_, _ = w.Write(b[:200])
		}
		for _, o := range outcomes() {
			gomega.Expect(o.(history.Answered).Whole).To(gomega.BeFalse())
		}
	})

	ginkgo.It("records an answer whose connection is closed early as cut", func() {
		handler = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		for _, o := range outcomes() {
			gomega.Expect(o).To(gomega.Equal(history.Cut{}))
		}
	})

	ginkgo.It("records a refusal that states that the request was not run", func() {
		handler = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Lentilbend-Run", "not-run")
			w.WriteHeader(http.StatusTooManyRequests)
		}
		for _, o := range outcomes() {
			gomega.Expect(o).To(gomega.Equal(history.Refused{Status: 429, NotRun: true}))
		}
	})

	ginkgo.It("does not retry a call when its connection is closed", func() {
		var mu sync.Mutex
		seen := map[string]int{}
		handler = func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			seen[r.Header.Get(backend.IDHeader)]++
			n := len(seen)
			mu.Unlock()
			if n > 5 {
				panic(http.ErrAbortHandler)
			}
		}
		g.Kinds[0].Method, g.Kinds[0].BodySize = "GET", 0
		outcomes()
		for _, n := range seen {
			gomega.Expect(n).To(gomega.Equal(1))
		}
	})

	ginkgo.It("generates the same schedule from the same seed", func() {
		g.Rate = 1e6
		g.Duration = time.Millisecond
		g.Kinds = append(g.Kinds, Kind{Name: "l", Share: 2})
		scheduledKinds := func() []string {
			var ns []string
			g.schedule(context.Background(), time.Now(), func(a arrival) { ns = append(ns, a.kind.Name) })
			return ns
		}
		a, b := scheduledKinds(), scheduledKinds()
		gomega.Expect(len(a)).To(gomega.BeNumerically(">", 100))
		gomega.Expect(a).To(gomega.Equal(b))
		gomega.Expect(a).To(gomega.ContainElements("k", "l"))
	})
})
