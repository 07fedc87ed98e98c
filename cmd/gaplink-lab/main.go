// Command gaplink-lab runs gaplink against stand-ins, for a first trial, for
// demonstrations with fault injection, and for measurements. It is not deployed.
package main

import (
	"os"

	"github.com/gaplink/gaplink/lab"
)

func main() {
	os.Exit(lab.Main(os.Args[1:], os.Stdout, os.Stderr))
}
