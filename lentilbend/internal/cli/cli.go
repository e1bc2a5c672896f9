// Package cli implements the command line of lentilbend.
package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"lentilbend.example/internal/command"

	"lentilbend.example/lentilbend/internal/serve"
	"lentilbend.example/lentilbend/internal/settings"
)

// Version is the version of the program. A build can set it with -ldflags -X.
var Version = "unreleased"

// Run parses args, runs the subcommand that they name and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	cs := []command.Command{serveCommand(), checkCommand(), dumpCommand(), explainCommand(), versionCommand()}
	return command.Run("lentilbend", "load balancer for backend servers whose load changes within milliseconds", cs, args, stdout, stderr)
}

func serveCommand() command.Command {
	file := "lentilbend.toml"
	c := flaggy.NewSubcommand("serve")
	c.Description = "run an entry VM"
	c.String(&file, "s", "settings", "settings file")
	return command.Command{Subcommand: c, Run: func(io.Writer) error {
		s, err := settings.Read(file)
		if err != nil {
			return err
		}
		p := &serve.Process{Settings: s, SettingsFile: file}
		return p.Run()
	}}
}

func versionCommand() command.Command {
	c := flaggy.NewSubcommand("version")
	c.Description = "print the version"
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		_, err := fmt.Fprintln(out, "lentilbend", Version)
		return err
	}}
}
