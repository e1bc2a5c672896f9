package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/encoding/protojson"

	"lentilbend.example/internal/command"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/platform"
)

func platformCommand() command.Command {
	s := &platform.Server{}
	address, dir, vms, control := "127.0.0.1:7000", "table", "", ""
	c := flaggy.NewSubcommand("platform")
	c.Description = "serve configuration values and the VM list"
	c.String(&address, "a", "address", "addresses to listen on, with commas between them")
	c.String(&dir, "t", "table", "folder with the configuration values, as NAME.toml")
	c.String(&vms, "v", "vms", "JSON file with the VM list, in the format of GET /v1/vms")
	c.Duration(&s.Lag, "l", "lag", "age of the VM list")
	c.String(&control, "c", "control", "address of the control API: values, VM list, mode; none if empty")
	return command.Command{Subcommand: c, Run: func(io.Writer) error {
		var err error
		if s.Addresses, err = parseAddresses(address); err != nil {
			return err
		}
		if err := s.LoadFolder(dir); err != nil {
			return err
		}
		if err := loadVMList(s, vms); err != nil {
			return err
		}
		return serve(control, s.Control(), s.Run)
	}}
}

// loadVMList serves the VM list in a JSON file; without a file it does nothing.
func loadVMList(s *platform.Server, file string) error {
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("cli: %w", err)
	}
	a := &platformpb.VmsAnswer{}
	if err := protojson.Unmarshal(b, a); err != nil {
		return fmt.Errorf("cli: %s: %w", file, err)
	}
	s.SetVMs(a.GetVms())
	return nil
}

func backendCommand() command.Command {
	o := backend.ServerOptions{Slots: 6, Queue: 32, Connections: 200, LoadPath: "/load"}
	address, file, control := "127.0.0.1:7100", "", ""
	c := flaggy.NewSubcommand("backend")
	c.Description = "serve as backend servers"
	c.String(&address, "a", "address", "addresses to listen on, with commas between them")
	c.String(&file, "f", "file", "TOML file with the servers; the options for single servers are then ignored")
	c.String(&control, "c", "control", "address of the control API: modes and counters; none if empty")
	c.Int(&o.Slots, "s", "slots", "requests processed at the same time")
	c.Int(&o.Queue, "q", "queue", "maximum number of requests that wait for a slot")
	c.Int(&o.Connections, "n", "connections", "maximum number of open connections; 0 for no limit")
	c.Duration(&o.ServiceTime, "t", "service-time", "mean processing time of a request")
	c.Float64(&o.Spread, "d", "spread", "sigma of the log-normal processing time")
	c.Duration(&o.OpenTime, "o", "open-time", "delay before the first answer on a new connection")
	c.Duration(&o.ProbeTime, "p", "probe-time", "time to answer a load probe")
	c.String(&o.LoadPath, "l", "load-path", "path that load probes read")
	return command.Command{Subcommand: c, Run: func(io.Writer) error {
		g, err := newGroup(file, address, o)
		if err != nil {
			return err
		}
		return serve(control, g.Control(), g.Run)
	}}
}

// newGroup returns the servers of a TOML file or, without one, servers on a
// comma-separated list of addresses with the options of o.
func newGroup(file, address string, o backend.ServerOptions) (*backend.Group, error) {
	if file != "" {
		f, err := backend.ReadOptions(file)
		if err != nil {
			return nil, err
		}
		return backend.NewGroup(f), nil
	}
	var err error
	if o.Addresses, err = parseAddresses(address); err != nil {
		return nil, err
	}
	return backend.NewGroup(&backend.Options{Server: []backend.ServerOptions{o}}), nil
}

// parseAddresses parses a comma-separated list of addresses with ports.
func parseAddresses(list string) ([]netip.AddrPort, error) {
	var as []netip.AddrPort
	for t := range strings.SplitSeq(list, ",") {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fmt.Errorf("cli: %w", err)
		}
		as = append(as, a)
	}
	return as, nil
}

// serve calls run and, if controlAddress is not empty, serves h on it. It returns
// the error of whichever ends first.
func serve(controlAddress string, h http.Handler, run func() error) error {
	failed := make(chan error, 2)
	if controlAddress != "" {
		v := http.Server{Addr: controlAddress, Handler: h, ReadHeaderTimeout: time.Second}
		go func() { failed <- v.ListenAndServe() }()
	}
	go func() { failed <- run() }()
	return <-failed
}
