package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"lentilbend.example/internal/command"
	"lentilbend.example/internal/finding"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/settings"
)

// checkCommand validates a settings file, a folder that holds the values of a
// table as NAME.toml files, or both, and reports all findings.
func checkCommand() command.Command {
	var file, dir string
	c := flaggy.NewSubcommand("check")
	c.Description = "validate a settings file or the table in a folder"
	c.String(&file, "s", "settings", "settings file")
	c.String(&dir, "t", "table", "folder with the values of a table as NAME.toml files")
	return command.Command{Subcommand: c, Run: func(out io.Writer) error {
		if file == "" && dir == "" {
			return errors.New("check: --settings FILE or --table FOLDER is required")
		}
		var found finding.List
		if err := checkSettings(file, &found); err != nil {
			return err
		}
		if err := checkTable(dir, &found); err != nil {
			return err
		}
		if fs := found.All(); len(fs) > 0 {
			return &finding.Error{Findings: fs}
		}
		_, err := fmt.Fprintln(out, "No findings.")
		return err
	}}
}

func checkSettings(file string, found *finding.List) error {
	if file == "" {
		return nil
	}
	_, err := settings.Read(file)
	var e *finding.Error
	if errors.As(err, &e) {
		found.Append(e.Findings)
		return nil
	}
	return err
}

func checkTable(dir string, found *finding.List) error {
	if dir == "" {
		return nil
	}
	vs, err := table.ReadFolder(dir)
	if err != nil {
		return err
	}
	_, fs := table.Parse(0, vs)
	found.Append(fs)
	return nil
}
