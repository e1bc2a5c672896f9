package settings

import (
	"slices"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// checker collects what is wrong with decoded settings.
type checker struct {
	doc   *document.Document
	found finding.List
}

func (s *Settings) check(d *document.Document) []finding.Finding {
	c := &checker{doc: d}
	c.that(s.DataCentre != "", "DataCentre", "must not be empty")
	c.that(len(s.Platform.Addresses) > 0, "Platform.Addresses", "must have an address")
	c.that(slices.Contains([]string{FormValues, FormStore}, s.Platform.Form),
		"Platform.Form", "must be Values or Store")
	c.that(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level),
		"Log.Level", "must be debug, info, warn or error")
	c.that(slices.Contains([]string{"logfmt", "json"}, s.Log.Format),
		"Log.Format", "must be logfmt or json")
	c.that((s.Caller.Certificate == "") == (s.Caller.Key == ""),
		"Caller.Certificate", "needs Key, and Key needs it")
	c.that((s.Operator.Certificate == "") == (s.Operator.Key == ""),
		"Operator.Certificate", "needs Key, and Key needs it")
	c.that(!s.Peer.Address.Addr().IsUnspecified(), "Peer.Address", "must be the address that peers reach")
	c.peerCertificate(s.Peer)
	c.wait("Caller.HeaderTimeout", s.Caller.HeaderTimeout)
	c.wait("Caller.IdleTimeout", s.Caller.IdleTimeout)
	c.wait("Peer.ListAge", s.Peer.ListAge)
	c.wait("Platform.Timeout", s.Platform.Timeout)
	c.wait("Stop.Timeout", s.Stop.Timeout)
	c.that(s.Stop.Grace >= 0, "Stop.Grace", "must not be negative")
	c.that(s.Stop.Wait >= 0, "Stop.Wait", "must not be negative")
	c.that(s.Limits.Header >= 1024, "Limits.Header", "must be at least 1024 bytes")
	c.that(s.Limits.Body >= 0, "Limits.Body", "must not be negative")
	c.that(s.Limits.Memory >= 64<<20, "Limits.Memory", "must be at least 67108864 bytes")
	c.that(s.Limits.Garbage > 0, "Limits.Garbage", "must be over 0")
	c.fleet(s.Fleet)
	return c.found.All()
}

func (c *checker) fleet(f Fleet) {
	c.least("Fleet.Capacity", f.Capacity)
	c.least("Fleet.RateOverage", f.RateOverage)
	c.least("Fleet.RateTolerance", f.RateTolerance)
	c.least("Fleet.RetryPart", f.RetryPart)
	c.least("Fleet.RetryMost", f.RetryMost)
	c.that(f.FarCost >= 0, "Fleet.FarCost", "must not be negative")
}

func (c *checker) least(field string, x float64) {
	c.that(x >= 0, field, "must not be negative")
}

func (c *checker) that(ok bool, field, text string) {
	if !ok {
		c.found.Add(c.doc.Place(field), "%s", text)
	}
}

func (c *checker) wait(field string, t time.Duration) {
	c.that(t > 0, field, "must be over 0")
}

func (c *checker) peerCertificate(p Peer) {
	given := 0
	for _, f := range []string{p.Certificate, p.Key, p.Authority} {
		if f != "" {
			given++
		}
	}
	c.that(given == 0 || given == 3, "Peer.Certificate", "Certificate, Key and Authority go together")
}
