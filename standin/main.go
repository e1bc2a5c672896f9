// Standin runs small fakes of the systems that lentilbend talks to, and the
// measurements made with them. It is not used in production.
package main

import (
	"os"

	"lentilbend.example/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
