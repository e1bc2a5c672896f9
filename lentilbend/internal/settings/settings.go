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

// Settings holds the settings of one process. Every field that is not marked
// optional is required.
type Settings struct {
	// DataCentre is the name of this VM's data centre.
	DataCentre string
	Caller     Caller
	Operator   Operator
	Peer       Peer
	Platform   Platform
	Log        Log    `document:"optional"`
	Stop       Stop   `document:"optional"`
	Limits     Limits `document:"optional"`
	Fleet      Fleet  `document:"optional"`
}

// Fleet configures an open fleet, whose VMs the platform does not list. Since its
// VMs do not know exactly which of them are alive, it may exceed the limits of
// the table by a bounded amount.
type Fleet struct {
	// Capacity ranks the VMs as coordinators; a VM with a larger capacity is
	// preferred.
	Capacity float64 `document:"optional"`
	// RateOverage is the fraction of a workspace's rate and burst that may be
	// admitted in addition to them.
	RateOverage float64 `document:"optional"`
	// RateTolerance is how many requests of a workspace may be admitted within
	// a few seconds in addition to its rate, burst and overage.
	RateTolerance float64 `document:"optional"`
	// RetryPart is the fraction of a service's requests that may be retried.
	// RetryMost is how many retries over all VMs are allowed beyond that.
	RetryPart float64 `document:"optional"`
	RetryMost float64 `document:"optional"`
	// RetryWindow is the time over which RetryMost may be used once.
	RetryWindow time.Duration `document:"optional"`
	// FarCost is the cost of 1000 bytes of an answer from a backend server in
	// another data centre, as time added to the server's expected latency when
	// a server is chosen.
	FarCost time.Duration `document:"optional"`
}

// Caller configures the listener for callers. Certificate and Key are PEM files
// and enable TLS.
type Caller struct {
	Address     netip.AddrPort
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	// HeaderTimeout is how long a caller may take to send the header of a
	// request.
	HeaderTimeout time.Duration `document:"optional"`
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration `document:"optional"`
	// TableWait is how long after the start of the process requests wait for the
	// first table before they are refused; 0 to refuse them at once.
	TableWait time.Duration `document:"optional"`
}

// Operator configures the listener for operators. Certificate and Key are PEM
// files and enable TLS.
type Operator struct {
	Address     netip.AddrPort
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	// ReadyPath is an additional path of the readiness check; empty for none.
	ReadyPath string `document:"optional"`
	// Metrics is an additional address that serves only the metrics, without
	// TLS.
	Metrics netip.AddrPort `document:"optional"`
}

// Peer configures the connections between entry VMs.
type Peer struct {
	// Address is the address at which other entry VMs reach this VM.
	Address netip.AddrPort
	// Listen is the address to listen on if it differs from Address, such as
	// behind network address translation.
	Listen netip.AddrPort `document:"optional"`
	// Certificate, Key and Authority are PEM files and enable mutual TLS.
	Certificate string `document:"optional"`
	Key         string `document:"optional"`
	Authority   string `document:"optional"`
	// Seeds are addresses of peers to contact in addition to those of the VM
	// list. In an open fleet, a VM joins through them.
	Seeds []netip.AddrPort `document:"optional"`
	// ListAge is the assumed maximum age of a VM list in an answer of the
	// platform.
	ListAge time.Duration `document:"optional"`
}

// Platform configures access to the platform's service.
type Platform struct {
	Addresses []netip.AddrPort
	// Form is FormValues or FormStore.
	Form string `document:"optional"`
	// Timeout is how long a read may take in addition to the wait that it asks
	// the platform for.
	Timeout time.Duration `document:"optional"`
	// Contracts are the parts of the platform's terms that are in force, in its own
	// words; package platform interprets them. Empty if the platform states none.
	Contracts []string `document:"optional"`
	// InitialWait is how long a process that just started in an open fleet waits for
	// the table from its peers before it reads the platform itself.
	InitialWait time.Duration `document:"optional"`
	// AloneWait replaces InitialWait, if it is set, while no peer is connected.
	AloneWait time.Duration `document:"optional"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: "debug", "info", "warn" or "error".
	Level string `document:"optional"`
	// Format is "logfmt" or "json".
	Format string `document:"optional"`
}

// Stop configures the drain and the graceful shutdown of the process.
type Stop struct {
	// Wait is how long the process still accepts requests after its readiness
	// check starts to fail, so that the platform's load balancer can stop
	// sending requests first.
	Wait time.Duration `document:"optional"`
	// Timeout is how long the running requests may take to finish after Wait.
	Timeout time.Duration `document:"optional"`
	// Grace is the time from the signal to stop until the process is killed.
	// If it is set, Wait and Timeout are derived from it.
	Grace time.Duration `document:"optional"`
}

// Fractions of Stop.Grace that set Wait and Timeout.
const (
	// waitRatio is the fraction for Wait: a load balancer that checks readiness
	// every second stops sending requests after two failed checks.
	waitRatio = 0.42
	// shutdownRatio is the fraction for Wait and Timeout together, so that the
	// process ends before it is killed.
	shutdownRatio = 0.95
)

// ApplyGrace sets Wait and Timeout from Grace, if that is set.
func (s *Stop) ApplyGrace() {
	if s.Grace > 0 {
		s.Wait = time.Duration(waitRatio * float64(s.Grace))
		s.Timeout = time.Duration(shutdownRatio*float64(s.Grace)) - s.Wait
	}
}

// Limits bounds the size of requests and tunes the garbage collection. The
// environment variables GOMEMLIMIT and GOGC override Memory and Garbage.
type Limits struct {
	// Header is the maximum size of a request's header, in bytes.
	Header int `document:"optional"`
	// Body is the maximum size of a request's body, in bytes.
	Body int64 `document:"optional"`
	// Memory is the soft memory limit of the Go runtime (GOMEMLIMIT), in bytes;
	// the default is about half of a small VM's memory.
	Memory int64 `document:"optional"`
	// Garbage is the garbage collection target (GOGC), in percent. The live
	// heap is small, so that 100 would collect garbage tens of times a second
	// under load.
	Garbage int `document:"optional"`
}

// Forms of the platform's service, the values of Platform.Form.
const (
	// FormValues is a service with the values of the table and a list of VMs.
	FormValues = "Values"
	// FormStore is a store that backend servers and operators write to. It
	// lists no VMs, which makes the fleet an open fleet.
	FormStore = "Store"
)

// Read reads and validates the settings in a file. The error is of type
// *finding.Error if the content is invalid.
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

// Parse decodes and validates settings in TOML. It returns either the settings or
// at least one finding; name is the file name in the findings.
func Parse(name string, text []byte) (*Settings, []finding.Finding) {
	s := defaults()
	doc, fs := document.Decode(name, text, s)
	if len(fs) > 0 {
		return nil, fs
	}
	s.Stop.ApplyGrace()
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
			Form:        FormValues,
			Timeout:     2 * time.Second,
			InitialWait: 100 * time.Millisecond,
		},
		Log:    Log{Level: "info", Format: "logfmt"},
		Stop:   Stop{Wait: 5 * time.Second, Timeout: time.Minute},
		Fleet:  Fleet{RetryWindow: 10 * time.Second},
		Limits: Limits{Header: 64 << 10, Body: 64 << 20, Memory: 512 << 20, Garbage: 800},
	}
}
