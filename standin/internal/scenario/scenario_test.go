package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// bin is the folder of the program under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program, so that the scripts try what stands in the tree.
func run(m *testing.M) int {
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
	bin = d
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, Params("testdata", bin))
}
