package settings

import (
	"slices"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// checker collects findings about decoded settings.
type checker struct {
	doc      *document.Document
	findings finding.List
}

// check returns what is invalid in s, with positions in d.
func (s *Settings) check(d *document.Document) []finding.Finding {
	c := &checker{doc: d}
	c.require(s.DataCentre != "", "DataCentre", "must not be empty")
	c.require(len(s.Platform.Addresses) > 0, "Platform.Addresses", "must have an address")
	c.require(slices.Contains([]string{FormValues, FormStore}, s.Platform.Form),
		"Platform.Form", "must be Values or Store")
	c.require(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level),
		"Log.Level", "must be debug, info, warn or error")
	c.require(slices.Contains([]string{"logfmt", "json"}, s.Log.Format),
		"Log.Format", "must be logfmt or json")
	c.require((s.Caller.Certificate == "") == (s.Caller.Key == ""),
		"Caller.Certificate", "Certificate and Key must be set together")
	c.require((s.Operator.Certificate == "") == (s.Operator.Key == ""),
		"Operator.Certificate", "Certificate and Key must be set together")
	c.require(!s.Peer.Address.Addr().IsUnspecified(), "Peer.Address", "must be a specific address at which peers can reach this VM")
	c.checkPeerTLS(s.Peer)
	c.requirePositive("Caller.HeaderTimeout", s.Caller.HeaderTimeout)
	c.requirePositive("Caller.IdleTimeout", s.Caller.IdleTimeout)
	c.require(s.Caller.TableWait >= 0, "Caller.TableWait", "must not be negative")
	c.require(s.Platform.AloneWait >= 0, "Platform.AloneWait", "must not be negative")
	c.requirePositive("Peer.ListAge", s.Peer.ListAge)
	c.requirePositive("Platform.Timeout", s.Platform.Timeout)
	c.requirePositive("Stop.Timeout", s.Stop.Timeout)
	c.require(s.Stop.Grace >= 0, "Stop.Grace", "must not be negative")
	c.require(s.Stop.Wait >= 0, "Stop.Wait", "must not be negative")
	c.require(s.Limits.Header >= 1024, "Limits.Header", "must be at least 1024 bytes")
	c.require(s.Limits.Body >= 0, "Limits.Body", "must not be negative")
	c.require(s.Limits.Memory >= 64<<20, "Limits.Memory", "must be at least 67108864 bytes")
	c.require(s.Limits.Garbage > 0, "Limits.Garbage", "must be over 0")
	c.checkFleet(s.Fleet)
	return c.findings.All()
}

func (c *checker) checkFleet(f Fleet) {
	c.requireNonNegative("Fleet.Capacity", f.Capacity)
	c.requireNonNegative("Fleet.RateOverage", f.RateOverage)
	c.requireNonNegative("Fleet.RateTolerance", f.RateTolerance)
	c.requireNonNegative("Fleet.RetryPart", f.RetryPart)
	c.requireNonNegative("Fleet.RetryMost", f.RetryMost)
	c.requirePositive("Fleet.RetryWindow", f.RetryWindow)
	c.require(f.FarCost >= 0, "Fleet.FarCost", "must not be negative")
}

func (c *checker) requireNonNegative(field string, x float64) {
	c.require(x >= 0, field, "must not be negative")
}

// require adds a finding with text at the position of field unless ok is true.
func (c *checker) require(ok bool, field, text string) {
	if !ok {
		c.findings.Add(c.doc.Place(field), "%s", text)
	}
}

func (c *checker) requirePositive(field string, t time.Duration) {
	c.require(t > 0, field, "must be over 0")
}

// checkPeerTLS requires either all files of mutual TLS or none.
func (c *checker) checkPeerTLS(p Peer) {
	given := 0
	for _, f := range []string{p.Certificate, p.Key, p.Authority} {
		if f != "" {
			given++
		}
	}
	c.require(given == 0 || given == 3, "Peer.Certificate", "Certificate, Key and Authority must be set together")
}
