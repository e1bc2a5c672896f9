package share_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/fair"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/share"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

var _ = Describe("Filter", func() {
	var g *fair.Gate
	var f *share.Filter
	var ran int

	BeforeEach(func() {
		g, ran = &fair.Gate{}, 0
		f = &share.Filter{Gate: func(string) *fair.Gate { return g }}
	})

	serve := func(ctx context.Context) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		x := &exchange.Exchange{
			Writer:   w,
			Request:  httptest.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody),
			Service:  &table.Service{Name: "till"},
			Deadline: time.Now().Add(time.Hour),
		}
		f.Filter(x, exchange.HandlerFunc(func(*exchange.Exchange) { ran++ }))
		return w
	}

	// fill fills the gate until a request is queued.
	fill := func() {
		for {
			q := fair.Request{Workspace: "a", Weight: 1, Notify: func(fair.Decision) {}}
			if _, v := g.Enter(time.Now(), q); v == (fair.Waiting{}) {
				return
			}
		}
	}

	It("passes requests on and releases their slots", func() {
		for range 200 {
			serve(context.Background())
		}
		Expect(ran).To(Equal(200))
		Expect(g.Dump().Running).To(BeZero())
	})

	It("releases the slot when the handler panics", func() {
		x := &exchange.Exchange{Service: &table.Service{Name: "till"}, Deadline: time.Now().Add(time.Hour)}
		Expect(func() {
			f.Filter(x, exchange.HandlerFunc(func(*exchange.Exchange) { panic(http.ErrAbortHandler) }))
		}).To(Panic())
		Expect(g.Dump().Running).To(BeZero())
	})

	It("refuses a queued request as not run when its time in the queue is over", func() {
		fill()
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- serve(context.Background()) }()
		Eventually(g.Waiting).Should(Equal(2))
		g.Tick(time.Now().Add(time.Hour))
		w := <-done
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get(exchange.RunHeader)).To(Equal(string(exchange.NotRun)))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		Expect(ran).To(BeZero())
	})

	It("removes a request from the queue when its caller goes away", func() {
		fill()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- serve(ctx) }()
		Eventually(g.Waiting).Should(Equal(2))
		cancel()
		<-done
		Expect(g.Waiting()).To(Equal(1))
		Expect(ran).To(BeZero())
	})
})
