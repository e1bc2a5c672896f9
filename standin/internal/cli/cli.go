// Package cli is the command line.
package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/platform"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// Run parses args, runs the subcommand and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	p := flaggy.NewParser("standin")
	p.Description = "fakes of the systems that lentilbend meets"
	cs := []command{platformCommand(), backendCommand()}
	for _, c := range cs {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	for _, c := range cs {
		if c.sub.Used {
			return report(errs, c.run())
		}
	}
	p.ShowHelp()
	return exitUsage
}

func platformCommand() command {
	s := &platform.Server{}
	address, dir := "127.0.0.1:7000", "table"
	c := flaggy.NewSubcommand("platform")
	c.Description = "serve configuration values and the VM list"
	c.String(&address, "a", "address", "address to listen on")
	c.String(&dir, "t", "table", "folder with the values as NAME.toml")
	return command{sub: c, run: func() error {
		if err := s.Load(dir); err != nil {
			return err
		}
		return s.Run(address)
	}}
}

func backendCommand() command {
	s := &backend.Server{}
	address := "127.0.0.1:7100"
	c := flaggy.NewSubcommand("backend")
	c.Description = "serve as a backend server"
	c.String(&address, "a", "address", "address to listen on")
	return command{sub: c, run: func() error { return s.Run(address) }}
}

func report(errs io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, err)
	return exitFailed
}
