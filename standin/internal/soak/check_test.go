package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/platform/platformtest"
)

var _ = Describe("the checks of a run", func() {
	server := &platformtest.Server{Name: "i-1"}
	valid := call{id: "a", status: 200, echoedID: "a", signature: server.Signature(), body: server.Body("a")}

	DescribeTable("find calls that violate a requirement",
		func(c call, ranOn []string, violated bool) {
			s := &Soak{}
			s.checkCall(c, ranOn, map[string]*platformtest.Server{server.Signature(): server}[c.signature])
			Expect(len(s.violations) > 0).To(Equal(violated), "%v", s.violations)
		},
		Entry("accepts a correct answer", valid, []string{"i-1"}, false),
		Entry("accepts a repeatable request that ran twice", valid, []string{"i-1", "i-2"}, false),
		Entry("rejects an at-most-once request that ran twice", call{id: "a", atMostOnce: true}, []string{"i-1", "i-2"}, true),
		Entry("rejects a refusal (503) of a request that ran", call{id: "a", status: 503}, []string{"i-1"}, true),
		Entry("rejects a rate limit refusal (429) of a request that ran", call{id: "a", status: 429}, []string{"i-1"}, true),
		Entry("accepts a refusal of a request that did not run", call{id: "a", status: 503}, nil, false),
		Entry("accepts an unknown outcome (502) of a request that ran", call{id: "a", status: 502}, []string{"i-1"}, false),
		Entry("rejects the answer to another request", call{id: "b", status: 200, echoedID: "b", signature: valid.signature, body: valid.body}, []string{"i-1"}, true),
		Entry("rejects a truncated answer", call{id: "a", status: 200, echoedID: "a", signature: valid.signature, body: valid.body[:4]}, []string{"i-1"}, true),
		Entry("rejects an answer without the signature of a server", call{id: "a", status: 200, echoedID: "a", body: valid.body}, []string{"i-1"}, true),
		Entry("rejects the denial of a valid key", call{id: "a", key: platformtest.SouthKey, status: 401}, nil, true),
		Entry("accepts the denial of an invalid key", call{id: "a", key: "other", status: 401}, nil, false),
	)

	DescribeTable("find a rate that was exceeded",
		func(n int, duration time.Duration, violated bool) {
			s := &Soak{}
			var at []time.Time
			for i := range n {
				at = append(at, time.Unix(1000, 0).Add(duration*time.Duration(i)/time.Duration(n)))
			}
			s.checkRate(at)
			Expect(len(s.violations) > 0).To(Equal(violated), "%v", s.violations)
		},
		Entry("rejects more requests than allowed in one window", int(maxRunsPerWindow)+1, rateWindow, true),
		Entry("accepts as many requests as allowed in one window", int(maxRunsPerWindow), rateWindow, false),
		Entry("accepts twice as many requests over three windows", int(2*maxRunsPerWindow), 3*rateWindow, false),
	)
})
