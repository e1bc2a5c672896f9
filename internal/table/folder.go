package table

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// valueSuffix is the extension of the file that holds a value.
const valueSuffix = ".toml"

// ReadFolder returns the values in the files below a folder. The value NAME is in
// the file NAME.toml.
func ReadFolder(dir string) ([]Value, error) {
	var vs []Value
	err := filepath.WalkDir(dir, func(p string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || filepath.Ext(p) != valueSuffix {
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
		n = strings.TrimSuffix(filepath.ToSlash(n), valueSuffix)
		vs = append(vs, Value{Name: n, Text: string(b)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	return vs, nil
}
