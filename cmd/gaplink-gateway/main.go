// Command gaplink-gateway is the router for a platform that stores its configuration,
// server registrations and budgets.
package main

import (
	"os"

	"github.com/gaplink/gaplink/cli/gateway"
)

func main() {
	os.Exit(gateway.Main(os.Args[1:], os.Stdout, os.Stderr))
}
