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
	c.String(&dir, "t", "table", "folder with the values as NAME.toml")
	c.String(&vms, "v", "vms", "file with the VM list, JSON as GET /v1/vms answers it")
	c.Duration(&s.Lag, "l", "lag", "age of the VM list")
	c.String(&control, "c", "control", "address to change values, VM list and mode on")
	return command.Command{Subcommand: c, Run: func(io.Writer) error {
		var err error
		if s.Addresses, err = addresses(address); err != nil {
			return err
		}
		if err := s.LoadFolder(dir); err != nil {
			return err
		}
		if err := loadVms(s, vms); err != nil {
			return err
		}
		return serve(control, s.Control(), s.Run)
	}}
}

func loadVms(s *platform.Server, file string) error {
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
	c.String(&file, "f", "file", "TOML file with the servers; the other options are left aside")
	c.String(&control, "c", "control", "address to change modes and read counts on")
	c.Int(&o.Slots, "s", "slots", "requests worked on at once")
	c.Int(&o.Queue, "q", "queue", "requests that wait for a slot")
	c.Int(&o.Connections, "n", "connections", "connections accepted")
	c.Duration(&o.ServiceTime, "t", "service-time", "mean time of work on a request")
	c.Float64(&o.Spread, "d", "spread", "sigma of the log-normal time of work")
	c.Duration(&o.OpenTime, "o", "open-time", "time that a new connection takes")
	c.Duration(&o.ProbeTime, "p", "probe-time", "time that a load probe takes")
	c.String(&o.LoadPath, "l", "load-path", "path of the load endpoint")
	return command.Command{Subcommand: c, Run: func(io.Writer) error {
		g, err := group(file, address, o)
		if err != nil {
			return err
		}
		return serve(control, g.Control(), g.Run)
	}}
}

func group(file, address string, o backend.ServerOptions) (*backend.Group, error) {
	if file != "" {
		f, err := backend.ReadOptions(file)
		if err != nil {
			return nil, err
		}
		return backend.NewGroup(f), nil
	}
	var err error
	if o.Addresses, err = addresses(address); err != nil {
		return nil, err
	}
	return backend.NewGroup(&backend.Options{Server: []backend.ServerOptions{o}}), nil
}

func addresses(list string) ([]netip.AddrPort, error) {
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

// serve runs the control address, if there is one, beside run.
func serve(address string, h http.Handler, run func() error) error {
	failed := make(chan error, 2)
	if address != "" {
		v := http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Second}
		go func() { failed <- v.ListenAndServe() }()
	}
	go func() { failed <- run() }()
	return <-failed
}
