// Package cli is the command line.
package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"lentilbend.example/lentilbend/internal/serve"
	"lentilbend.example/lentilbend/internal/settings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is the program's version, set when it is linked.
var Version = "unreleased"

// command is a subcommand with what it runs.
type command struct {
	sub *flaggy.Subcommand
	run func(out io.Writer) error
}

// Run parses args, runs the subcommand and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	p := flaggy.NewParser("lentilbend")
	p.Description = "load balancer for backend servers whose load shifts in milliseconds"
	p.ShowVersionWithVersionFlag = false
	cs := []command{serveCommand(), checkCommand(), dumpCommand(), versionCommand()}
	for _, c := range cs {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	for _, c := range cs {
		if c.sub.Used {
			return report(errs, c.run(out))
		}
	}
	p.ShowHelp()
	return exitUsage
}

func report(errs io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, err)
	return exitFailed
}

func serveCommand() command {
	file := "lentilbend.toml"
	c := flaggy.NewSubcommand("serve")
	c.Description = "run an entry VM"
	c.String(&file, "s", "settings", "settings file")
	return command{sub: c, run: func(io.Writer) error {
		s, err := settings.Read(file)
		if err != nil {
			return err
		}
		p := &serve.Process{Settings: s}
		return p.Run()
	}}
}

func versionCommand() command {
	c := flaggy.NewSubcommand("version")
	c.Description = "print the version"
	return command{sub: c, run: func(out io.Writer) error {
		_, err := fmt.Fprintln(out, "lentilbend", Version)
		return err
	}}
}
