package rate_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
	"lentilbend.example/lentilbend/internal/filter/rate"
)

// limits is a fake that answers by the kind of limit and counts the permits in
// use.
type limits struct {
	answers map[limit.Kind]limit.Answer
	permits int
}

func (l *limits) Take(_ time.Time, k limit.Key, _ time.Time, done func(limit.Answer)) {
	a, ok := l.answers[k.Kind]
	if !ok {
		a = limit.Granted{}
	}
	if _, ok := a.(limit.Granted); ok && k.Kind == limit.Running {
		l.permits++
	}
	done(a)
}

func (l *limits) Return(time.Time, limit.Key, limit.Granted) { l.permits-- }

// serve passes one request through the filter and returns its answer and whether
// it was served.
func serve(l *limits, change func(*exchange.Exchange)) (*httptest.ResponseRecorder, bool) {
	w := httptest.NewRecorder()
	x := &exchange.Exchange{
		Writer:    w,
		Request:   httptest.NewRequest(http.MethodGet, "/till/", nil),
		Deadline:  time.Now().Add(time.Second),
		Service:   &table.Service{Name: "till"},
		Workspace: &table.Workspace{Name: "gasabo"},
		Row:       &table.Row{Workspace: "gasabo"},
	}
	change(x)
	ran := false
	(&rate.Filter{Limits: l}).Filter(x, exchange.HandlerFunc(func(*exchange.Exchange) {
		ran = true
		if x.Workspace != nil {
			Expect(l.permits).To(Equal(1))
		}
	}))
	Expect(l.permits).To(BeZero())
	return w, ran
}

var _ = Describe("Filter", func() {
	unchanged := func(*exchange.Exchange) {}

	It("passes a request within its limits and returns the permit", func() {
		_, ran := serve(&limits{}, unchanged)
		Expect(ran).To(BeTrue())
	})

	It("passes requests of open routes without a workspace", func() {
		l := &limits{answers: map[limit.Kind]limit.Answer{limit.Rate: limit.Refused{}}}
		_, ran := serve(l, func(x *exchange.Exchange) { x.Workspace, x.Row = nil, nil })
		Expect(ran).To(BeTrue())
	})

	DescribeTable("refuses and reports that the request did not run",
		func(l *limits, change func(*exchange.Exchange), status int, after string) {
			w, ran := serve(l, change)
			Expect(ran).To(BeFalse())
			Expect(w.Code).To(Equal(status))
			Expect(w.Header().Get(exchange.RunHeader)).To(Equal(string(exchange.NotRun)))
			Expect(w.Header().Get("Retry-After")).To(Equal(after))
		},
		Entry("beyond the rate", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Rate: limit.Refused{RetryAfter: 1500 * time.Millisecond}}}, unchanged, http.StatusTooManyRequests, "2"),
		Entry("beyond the number of running requests", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Running: limit.Refused{}}}, unchanged, http.StatusTooManyRequests, "1"),
		Entry("while no VM with a share of the limit is reachable", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Rate: limit.Refused{Unready: true}}}, unchanged, http.StatusServiceUnavailable, "1"),
		Entry("without a row", &limits{}, func(x *exchange.Exchange) { x.Row = nil }, http.StatusForbidden, ""),
	)
})
