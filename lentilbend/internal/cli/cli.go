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

// Run parses args, runs the subcommand and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	p := flaggy.NewParser("lentilbend")
	p.Description = "load balancer for backend servers whose load shifts in milliseconds"
	file := "lentilbend.toml"
	sc := flaggy.NewSubcommand("serve")
	sc.Description = "run an entry VM"
	sc.String(&file, "s", "settings", "settings file")
	p.AttachSubcommand(sc, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if !sc.Used {
		p.ShowHelp()
		return exitUsage
	}
	return report(errs, runServe(file))
}

func runServe(file string) error {
	s, err := settings.Read(file)
	if err != nil {
		return err
	}
	p := &serve.Process{Settings: s}
	return p.Run()
}

func report(errs io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errs, err)
	return exitFailed
}
