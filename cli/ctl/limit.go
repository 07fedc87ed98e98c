package ctl

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/controller/limits"
)

func (c *client) limitCommand() *cobra.Command {
	list := &cobra.Command{
		Use: "list", Short: "List the rate limits that backend servers name", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var all []limits.Listed
			if err := c.call(limits.CommandList, struct{}{}, &all); err != nil {
				return err
			}
			return c.show(all, func(w io.Writer) { printLimits(w, all) })
		},
	}
	return group("limit", "Rate limits that backend servers name in their answers", list)
}

func printLimits(w io.Writer, all []limits.Listed) {
	for _, l := range all {
		printLine(w, "%s  %g requests/s, named %.1f s ago, owners %s", l.Server, l.PerSecond, l.NamedSecondsAgo, strings.Join(l.Owners, " "))
	}
}
