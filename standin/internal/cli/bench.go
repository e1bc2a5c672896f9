package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pelletier/go-toml/v2"

	"lentilbend.example/internal/command"

	"lentilbend.example/standin/internal/load"
	"lentilbend.example/standin/internal/measure"
)

func measureCommand() command.Command {
	o := measure.Options{Seed: 1}
	name := ""
	c := flaggy.NewSubcommand("measure")
	c.Description = "run a measurement and print one TOML document: " + strings.Join(measure.Names(), ", ")
	c.AddPositionalValue(&name, "NAME", 1, true, "name of the measurement; list prints all names")
	c.UInt64(&o.Seed, "s", "seed", "seed of arrivals and faults")
	c.Int(&o.Seconds, "t", "seconds", "approximate duration in seconds; 0 for the default of the measurement")
	c.String(&o.Plot, "p", "plot", "SVG or PNG file to draw a plot into")
	c.String(&o.Bin, "b", "bin", "folder with the programs lentilbend and standin; that of this program if empty")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		if name == "list" {
			_, err := fmt.Fprintln(out, strings.Join(measure.Names(), "\n"))
			return err
		}
		m, ok := measure.Find(name)
		if !ok {
			return fmt.Errorf("cli: unknown measurement %q; known are: %s", name, strings.Join(measure.Names(), ", "))
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		return m.Print(ctx, o, out)
	}}
}

func loadCommand() command.Command {
	file, seed := "load.toml", uint64(1)
	c := flaggy.NewSubcommand("load")
	c.Description = "send calls at random times with a given rate and print one TOML document"
	c.String(&file, "f", "file", "TOML file with entry VMs, kinds, workspaces and rate")
	c.UInt64(&seed, "s", "seed", "seed of the arrivals")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		g, err := load.ReadGenerator(file)
		if err != nil {
			return err
		}
		g.Seed = seed
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		r, err := g.Run(ctx)
		if err != nil {
			return err
		}
		return toml.NewEncoder(out).Encode(r)
	}}
}
