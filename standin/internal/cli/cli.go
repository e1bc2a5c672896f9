// Package cli is the command line of standin.
package cli

import (
	"io"

	"lentilbend.example/internal/command"
)

// Run parses args, runs the subcommand and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	cs := []command.Command{platformCommand(), backendCommand(), loadCommand(), measureCommand()}
	return command.Run("standin", "fakes of the systems that lentilbend talks to, and measurements", cs, args, out, errs)
}
