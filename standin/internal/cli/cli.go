// Package cli is the command line.
package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
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
	run func(out io.Writer) error
}

// Run parses args, runs the subcommand and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	p := flaggy.NewParser("standin")
	p.Description = "fakes of the systems that lentilbend meets, and measurements"
	cs := []command{platformCommand(), backendCommand(), loadCommand(), measureCommand()}
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
