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

// limits answers by kind and counts units.
type limits struct {
	answers map[limit.Kind]limit.Answer
	units   int
}

func (l *limits) Take(_ time.Time, k limit.Key, _ time.Time, done func(limit.Answer)) {
	a, ok := l.answers[k.Kind]
	if !ok {
		a = limit.Granted{}
	}
	if _, ok := a.(limit.Granted); ok && k.Kind == limit.Running {
		l.units++
	}
	done(a)
}

func (l *limits) Return(time.Time, limit.Key, limit.Granted) { l.units-- }

// serve passes one request and returns its answer and whether it ran.
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
			Expect(l.units).To(Equal(1))
		}
	}))
	Expect(l.units).To(BeZero())
	return w, ran
}

var _ = Describe("Filter", func() {
	same := func(*exchange.Exchange) {}

	It("passes a request within its row and gives the unit back", func() {
		_, ran := serve(&limits{}, same)
		Expect(ran).To(BeTrue())
	})

	It("passes requests of open routes without a workspace", func() {
		l := &limits{answers: map[limit.Kind]limit.Answer{limit.Rate: limit.Refused{}}}
		_, ran := serve(l, func(x *exchange.Exchange) { x.Workspace, x.Row = nil, nil })
		Expect(ran).To(BeTrue())
	})

	DescribeTable("refuses, and says that the request did not run",
		func(l *limits, change func(*exchange.Exchange), status int, after string) {
			w, ran := serve(l, change)
			Expect(ran).To(BeFalse())
			Expect(w.Code).To(Equal(status))
			Expect(w.Header().Get(exchange.RunHeader)).To(Equal(string(exchange.NotRun)))
			Expect(w.Header().Get("Retry-After")).To(Equal(after))
		},
		Entry("past the rate", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Rate: limit.Refused{RetryAfter: 1500 * time.Millisecond}}}, same, http.StatusTooManyRequests, "2"),
		Entry("past the limit", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Running: limit.Refused{}}}, same, http.StatusTooManyRequests, "1"),
		Entry("while nothing is known of the limit", &limits{answers: map[limit.Kind]limit.Answer{
			limit.Rate: limit.Refused{Unready: true}}}, same, http.StatusServiceUnavailable, "1"),
		Entry("without a row", &limits{}, func(x *exchange.Exchange) { x.Row = nil }, http.StatusForbidden, ""),
	)
})
