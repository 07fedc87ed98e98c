// Command gaplink-lab runs gaplink against stand-ins: for a first try, for
// demonstrations under faults, and for measurements. It is no part of a
// deployment.
package main

import (
	"os"

	"github.com/gaplink/gaplink/lab"
)

func main() {
	os.Exit(lab.Main(os.Args[1:], os.Stdout, os.Stderr))
}
