package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/controller/verdicts"
)

func (c *client) verdictCommand() *cobra.Command {
	list := &cobra.Command{
		Use: "list", Short: "List the requests that are held back", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var all []verdicts.Listed
			if err := c.call(verdicts.CommandList, struct{}{}, &all); err != nil {
				return err
			}
			return c.show(all, func(w io.Writer) { printVerdicts(w, all) })
		},
	}
	lift := &cobra.Command{
		Use: "lift FINGERPRINT", Short: "Let a request that is held back run again, at all routers",
		Example: "  gaplinkctl verdict lift 3c1f0a9be2d44b7f8a55d0e6c7b19a02",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var lifted verdicts.LiftArgs
			if err := c.call(verdicts.CommandLift, verdicts.LiftArgs{Fingerprint: args[0]}, &lifted); err != nil {
				return err
			}
			return c.show(lifted, func(w io.Writer) { printLine(w, "%s may run", lifted.Fingerprint) })
		},
	}
	return group("verdict", "Requests that are held back because servers ended under them", list, lift)
}

// partText names the part of prompts that a verdict concerns.
func partText(v verdicts.Listed) string {
	switch {
	case v.Part == "":
		return ""
	case v.AllAccounts:
		return fmt.Sprintf(" on prompts of all accounts with the part %q", v.Part)
	default:
		return fmt.Sprintf(" on prompts of one account with the part %q", v.Part)
	}
}

func printVerdicts(w io.Writer, all []verdicts.Listed) {
	for _, v := range all {
		held := time.Duration(v.HeldForSeconds * float64(time.Second)).Round(time.Second)
		printLine(w, "%s  verdict %d%s, for %s more, service %s; ended: %s", v.Fingerprint, v.Number, partText(v), held, v.Service, strings.Join(v.Servers, " "))
	}
}
