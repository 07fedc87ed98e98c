// Command gaplinkctl is the operators' client.
package main

import (
	"os"

	"github.com/gaplink/gaplink/cli/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
