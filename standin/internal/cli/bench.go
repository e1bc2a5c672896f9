package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"lentilbend.example/standin/internal/measure"
)

func measureCommand() command {
	o := measure.Options{Seed: 1}
	name := ""
	c := flaggy.NewSubcommand("measure")
	c.Description = "run a measurement and print one TOML document: " + strings.Join(measure.Names(), ", ")
	c.AddPositionalValue(&name, "NAME", 1, true, "measurement")
	c.UInt64(&o.Seed, "s", "seed", "seed of arrivals and faults")
	c.Int(&o.Seconds, "t", "seconds", "about how long to run")
	c.String(&o.Plot, "p", "plot", "SVG or PNG file to draw")
	c.String(&o.Bin, "b", "bin", "folder with the programs; that of this one if empty")
	return command{sub: c, run: func(out io.Writer) error {
		m, ok := measure.Find(name)
		if !ok {
			return fmt.Errorf("cli: no measurement %q, there are: %s", name, strings.Join(measure.Names(), ", "))
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		return m.Print(ctx, o, out)
	}}
}

func loadCommand() command {
	c := flaggy.NewSubcommand("load")
	return command{sub: c, run: func(io.Writer) error { return errors.New("cli: load comes next") }}
}
