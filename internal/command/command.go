// Package command runs the subcommands of a program.
package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of a program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Command is a subcommand and the function that it runs.
type Command struct {
	Subcommand *flaggy.Subcommand
	// Run writes its output to out; an error makes the exit code 1.
	Run func(out io.Writer) error
}

// Run parses args, runs the subcommand that they name and returns the exit
// code: 0 on success, 1 if the subcommand failed, 2 on wrong usage. Errors are
// written to errOut.
func Run(name, description string, cs []Command, args []string, out, errOut io.Writer) int {
	p := flaggy.NewParser(name)
	p.Description = description
	p.ShowVersionWithVersionFlag = false
	for _, c := range cs {
		p.AttachSubcommand(c.Subcommand, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	for _, c := range cs {
		if c.Subcommand.Used {
			return reportError(errOut, c.Run(out))
		}
	}
	p.ShowHelp()
	return exitUsage
}

// reportError writes err to errOut, unless it is nil, and returns the exit code.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	return exitFailure
}
