package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the folder that holds the program under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program from the working tree and runs the tests with
// it.
func buildAndRun(m *testing.M) int {
	d, err := os.MkdirTemp("", "lentilbend-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	c := exec.Command("go", "build", "-o", filepath.Join(d, "lentilbend"), "lentilbend.example/lentilbend")
	c.Dir = filepath.Join("..", "..", "..")
	if b, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", err, b)
		return 1
	}
	binDir = d
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, Params("testdata", binDir))
}
