// Package command runs the subcommands of a program.
package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of a program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command is a subcommand with what it runs.
type Command struct {
	Subcommand *flaggy.Subcommand
	// Run writes its result to out; an error ends the program with exit code 1.
	Run func(out io.Writer) error
}

// Run parses args, runs the subcommand that they name and returns the exit
// code.
func Run(name, description string, cs []Command, args []string, out, errs io.Writer) int {
	p := flaggy.NewParser(name)
	p.Description = description
	p.ShowVersionWithVersionFlag = false
	for _, c := range cs {
		p.AttachSubcommand(c.Subcommand, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return exitUsage
	}
	for _, c := range cs {
		if c.Subcommand.Used {
			return report(errs, c.Run(out))
		}
	}
	p.ShowHelp()
	return exitUsage
}

func report(errs io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errs, err)
	return exitFailed
}
