package table

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// suffix ends the file name of a value.
const suffix = ".toml"

// ReadFolder returns the values in the files NAME.toml below a folder.
func ReadFolder(dir string) ([]Value, error) {
	var vs []Value
	err := filepath.WalkDir(dir, func(p string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || filepath.Ext(p) != suffix {
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
		n = strings.TrimSuffix(filepath.ToSlash(n), suffix)
		vs = append(vs, Value{Name: n, Text: string(b)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	return vs, nil
}
