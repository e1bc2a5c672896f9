package cli

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"lentilbend.example/internal/finding"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/settings"
)

// tableSuffix ends the file name of a value of the table.
const tableSuffix = ".toml"

// checkCommand checks a settings file, or a folder with the values of a table
// as NAME.toml, and prints all findings.
func checkCommand() command {
	var file, dir string
	c := flaggy.NewSubcommand("check")
	c.Description = "check a settings file or the table in a folder"
	c.String(&file, "s", "settings", "settings file")
	c.String(&dir, "t", "table", "folder with the values as NAME.toml")
	return command{sub: c, run: func(out io.Writer) error {
		if file == "" && dir == "" {
			return errors.New("check: give --settings FILE or --table FOLDER")
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
	vs, err := readValues(dir)
	if err != nil {
		return err
	}
	_, fs := table.Parse(0, vs)
	found.Append(fs)
	return nil
}

// readValues reads the files of a folder as the values of a table.
func readValues(dir string) ([]table.Value, error) {
	var vs []table.Value
	err := filepath.WalkDir(dir, func(p string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || filepath.Ext(p) != tableSuffix {
			return err
		}
		b, err := os.ReadFile(p)
		if err != nil {
			return err
		}
		n, err := filepath.Rel(dir, p)
		if err != nil {
			return err
		}
		n = strings.TrimSuffix(filepath.ToSlash(n), tableSuffix)
		vs = append(vs, table.Value{Name: n, Text: string(b)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("check: %w", err)
	}
	return vs, nil
}
