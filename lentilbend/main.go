// Lentilbend balances load over backend servers whose load shifts in
// milliseconds. It is the process on an entry VM and its operators' tool.
package main

import (
	"os"

	"lentilbend.example/lentilbend/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
