// Package settings reads the TOML settings file of a process.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"lentilbend.example/internal/document"
	"lentilbend.example/internal/finding"
)

// Settings are the settings of one process. Every field that is not marked
// optional must be given.
type Settings struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	Caller     Caller
	Operator   Operator
	Peer       Peer
	Platform   Platform
	Log        Log   `document:"optional"`
	Stop       Stop  `document:"optional"`
	Limits     Sizes `document:"optional"`
	Fleet      Fleet `document:"optional"`
}

// Fleet holds what a fleet that the platform does not list may use beyond the
// table's limits, to pay for not knowing which VMs are alive.
type Fleet struct {
	// Capacity ranks the VMs that coordinate; the larger go first.
	Capacity float64 `document:"optional"`
	// RateOverage is the part of a workspace's rate and burst that may pass
	// beyond it.
	RateOverage float64 `document:"optional"`
	// RateTolerance is how many requests of a workspace may pass beyond its
	// rate, burst and overage in a few seconds.
	RateTolerance float64 `document:"optional"`
	// RetryPart is the part of a service's requests that may be sent once
	// more, and RetryMost how many beyond that over all VMs.
	RetryPart float64 `document:"optional"`
	RetryMost float64 `document:"optional"`
	// FarCost is the time that a thousand bytes of an answer from a backend
	// server in another data centre count as when a server is chosen.
	FarCost time.Duration `document:"optional"`
}

// Caller holds the address that callers reach.
type Caller struct {
	Address     netip.AddrPort
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout time.Duration `document:"optional"`
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration `document:"optional"`
}

// Operator holds the address that operators reach.
type Operator struct {
	Address     netip.AddrPort
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	// ReadyPath is a further path of the readiness check; empty for none.
	ReadyPath string `document:"optional"`
	// Metrics is a further address that serves the metrics alone.
	Metrics netip.AddrPort `document:"optional"`
}

// Peer holds the address that other entry VMs reach.
type Peer struct {
	Address netip.AddrPort
	// Listen is the address to listen on when it is not Address, such as
	// behind an address translation.
	Listen netip.AddrPort `document:"optional"`
	// Certificate, Key and Authority turn on mutual TLS; all are PEM files.
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	Authority   string `document:"optional"`
	// Seeds are peer addresses to try while no VM list is known.
	Seeds []netip.AddrPort `document:"optional"`
	// ListAge is the greatest age of the VM list that the platform may
	// answer with.
	ListAge time.Duration `document:"optional"`
}

// Platform holds the addresses of the platform's service.
type Platform struct {
	Addresses []netip.AddrPort
	// Form is "Values" for a service with the table's values and a list of
	// VMs, or "Store" for a store that backend servers and operators write.
	Form string `document:"optional"`
	// Timeout is how long a read may take beyond the time it asks to wait.
	Timeout time.Duration `document:"optional"`
}

// Log says what is logged.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `document:"optional"`
	// Format is "logfmt" or "json".
	Format string `document:"optional"`
}

// Stop says how a planned stop goes.
type Stop struct {
	// Wait is how long the process still accepts work after it turned
	// not ready, so that the platform's balancer can leave it.
	Wait time.Duration `document:"optional"`
	// Timeout is how long running requests may take to end.
	Timeout time.Duration `document:"optional"`
	// Grace is when the process is killed after it was asked to stop. Where it
	// is given, Wait and Timeout follow from it.
	Grace time.Duration `document:"optional"`
}

// Parts of Stop.Grace.
const (
	// waitPart is the part in which work is still accepted: a balancer that
	// asks each second leaves after two answers.
	waitPart = 0.42
	// gracePart is the part after which the process has ended.
	gracePart = 0.95
)

// derive sets Wait and Timeout from Grace.
func (s *Stop) derive() {
	if s.Grace > 0 {
		s.Wait = time.Duration(waitPart * float64(s.Grace))
		s.Timeout = time.Duration(gracePart*float64(s.Grace)) - s.Wait
	}
}

// Sizes bounds what a request may bring.
type Sizes struct {
	// Header is the largest header, in bytes.
	Header int `document:"optional"`
	// Body is the largest body, in bytes.
	Body int64 `document:"optional"`
	// Memory is what the process may take before it collects garbage more
	// often, in bytes; about half of a small VM's memory.
	Memory int64 `document:"optional"`
	// Garbage is by how many percent the heap may grow before it is collected.
	// The live heap is small, so that 100 collects tens of times a second
	// under load.
	Garbage int `document:"optional"`
}

// Forms of the platform's service.
const (
	FormValues = "Values"
	FormStore  = "Store"
)

// Read reads and checks the settings in a file. The error is of type
// *finding.Error when the content is wrong.
func Read(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, fs := Parse(path, b)
	if len(fs) > 0 {
		return nil, &finding.Error{Findings: fs}
	}
	return s, nil
}

// Parse decodes and checks settings. Name stands in the findings.
func Parse(name string, text []byte) (*Settings, []finding.Finding) {
	s := defaults()
	doc, fs := document.Decode(name, text, s)
	if len(fs) > 0 {
		return nil, fs
	}
	s.Stop.derive()
	if fs := s.check(doc); len(fs) > 0 {
		return nil, fs
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Caller: Caller{HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute},
		Peer:   Peer{ListAge: 30 * time.Second},
		Platform: Platform{
			Form:    FormValues,
			Timeout: 2 * time.Second,
		},
		Log:    Log{Level: "info", Format: "logfmt"},
		Stop:   Stop{Wait: 5 * time.Second, Timeout: time.Minute},
		Limits: Sizes{Header: 64 << 10, Body: 64 << 20, Memory: 512 << 20, Garbage: 800},
	}
}
