package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/platform/platformtest"
)

var _ = Describe("the checks", func() {
	server := &platformtest.Server{Name: "i-1"}
	right := call{id: "a", status: 200, echo: "a", signature: server.Signature(), body: server.Body("a")}

	DescribeTable("find a broken promise",
		func(c call, ran []string, broken bool) {
			s := &Soak{}
			s.checkCall(c, ran, map[string]*platformtest.Server{server.Signature(): server}[c.signature])
			Expect(len(s.found) > 0).To(Equal(broken), "%v", s.found)
		},
		Entry("none in a right answer", right, []string{"i-1"}, false),
		Entry("none when a request that may run twice does", right, []string{"i-1", "i-2"}, false),
		Entry("a request that must not run twice", call{id: "a", unsafe: true}, []string{"i-1", "i-2"}, true),
		Entry("a refusal of what ran", call{id: "a", status: 503}, []string{"i-1"}, true),
		Entry("a refusal over the rate of what ran", call{id: "a", status: 429}, []string{"i-1"}, true),
		Entry("none in a true refusal", call{id: "a", status: 503}, nil, false),
		Entry("none in an unknown outcome", call{id: "a", status: 502}, []string{"i-1"}, false),
		Entry("an answer to another request", call{id: "b", status: 200, echo: "b", signature: right.signature, body: right.body}, []string{"i-1"}, true),
		Entry("an answer that was cut short", call{id: "a", status: 200, echo: "a", signature: right.signature, body: right.body[:4]}, []string{"i-1"}, true),
		Entry("an answer of nobody", call{id: "a", status: 200, echo: "a", body: right.body}, []string{"i-1"}, true),
		Entry("a key in force that is denied", call{id: "a", key: platformtest.SouthKey, status: 401}, nil, true),
		Entry("none in a key that is not", call{id: "a", key: "other", status: 401}, nil, false),
	)

	DescribeTable("find a rate that is passed",
		func(n int, over time.Duration, broken bool) {
			s := &Soak{}
			var at []time.Time
			for i := range n {
				at = append(at, time.Unix(1000, 0).Add(over*time.Duration(i)/time.Duration(n)))
			}
			s.checkRate(at)
			Expect(len(s.found) > 0).To(Equal(broken), "%v", s.found)
		},
		Entry("in one window", int(most)+1, window, true),
		Entry("not just below it", int(most), window, false),
		Entry("not over a longer time", int(2*most), 3*window, false),
	)
})
