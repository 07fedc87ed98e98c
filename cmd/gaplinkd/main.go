// Command gaplinkd is the gaplink router daemon.
package main

import (
	"os"

	"github.com/gaplink/gaplink/cli/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
