package lab

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/lab/account"
)

func accountCommand() *cobra.Command {
	var refusals, tokens string
	cmd := &cobra.Command{
		Use: "account FILE", Short: "Explain a run from the logs of its routers: refusals, tokens, overloaded routers", Args: cobra.ExactArgs(1),
		Long: "Reads the logs of one router as it writes them, or those of a fleet with the time in seconds and the router's instance before each line.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return explain(cmd.OutOrStdout(), args[0], refusals, tokens)
		},
	}
	cmd.Flags().StringVar(&refusals, "refusals", "", "plot the requests refused in each second to this file (.png, .svg)")
	cmd.Flags().StringVar(&tokens, "tokens", "", "plot what the store had left of the budgets to this file (.png, .svg)")
	return cmd
}

func explain(out io.Writer, file, refusals, tokens string) error {
	in, err := os.Open(file)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = in.Close() }() // opened for reading only
	run, err := account.Read(in)
	if err != nil {
		return trace.Wrap(err, "reading %s", file)
	}
	if err := run.WriteTables(out); err != nil {
		return trace.Wrap(err)
	}
	if refusals != "" {
		if err := run.PlotRefusals(refusals); err != nil {
			return trace.Wrap(err)
		}
		_, _ = fmt.Fprintf(out, "\nrefusals: %s\n", refusals)
	}
	if tokens != "" {
		if err := run.PlotTokens(tokens); err != nil {
			return trace.Wrap(err)
		}
		_, _ = fmt.Fprintf(out, "tokens: %s\n", tokens)
	}
	return nil
}
