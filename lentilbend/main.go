// Lentilbend is a load balancer for backend servers whose load changes within
// milliseconds. The binary contains the server that runs on an entry VM and the
// command line tool of its operators.
package main

import (
	"os"

	"lentilbend.example/lentilbend/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
