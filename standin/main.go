// Standin runs small fakes of the systems that lentilbend meets, and the
// measurements made with them. Production needs none of it.
package main

import (
	"os"

	"lentilbend.example/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
