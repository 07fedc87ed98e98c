// Package ctl implements the command line of gaplinkctl, the operators' client.
package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// callTimeout limits one command.
const callTimeout = 30 * time.Second

// client sends commands to one router.
type client struct {
	router   string
	operator string
	output   string
	in       io.Reader
	out      io.Writer
}

// Main runs the command line and returns the exit code: 0 for success, or 1 after
// writing the error with its result code to errOut.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	c := &client{in: in, out: out}
	root := c.command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errOut, "gaplinkctl:", result.From(err))
		return 1
	}
	return 0
}

func (c *client) command() *cobra.Command {
	root := &cobra.Command{
		Use:   "gaplinkctl",
		Short: "Operate a gaplink fleet through any of its routers",
		Long: "Operate a gaplink fleet through any of its routers.\n\n" +
			"The operators' key is read from GAPLINK_OPERATOR_KEY.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != "text" && c.output != "json" {
				return result.New(result.BadRow, "--output must be text or json")
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.router, "router", envOr("GAPLINK_ROUTER", "127.0.0.1:7100"), "IP:port of a router's peer side")
	flags.StringVar(&c.operator, "operator", envOr("USER", "operator"), "name for the audit trail")
	flags.StringVarP(&c.output, "output", "o", "text", "text or json")
	root.AddCommand(c.accountCommand(), c.budgetCommand(), c.poolCommand(), c.tableCommand(), c.auditCommand(), c.billsCommand(), c.statusCommand(), c.verdictCommand(), c.limitCommand())
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// call executes a command at the router and decodes its result.
func (c *client) call(name string, args, into any) error {
	body, err := json.Marshal(args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p := peer.NewClient(peer.Options{DialTimeout: callTimeout})
	defer func() { _ = p.Close() }()
	resp, err := peer.Call[peer.AdminRequest, peer.AdminAnswer](ctx, p, c.router, peer.MethodAdmin, &peer.AdminRequest{
		Operator: c.operator,
		Key:      os.Getenv("GAPLINK_OPERATOR_KEY"),
		Command:  name,
		Args:     body,
	})
	if err != nil {
		return err
	}
	return json.Unmarshal(resp.Result, into)
}

// show prints a result as JSON, or as text with the given function. It returns the
// first write error.
func (c *client) show(v any, text func(io.Writer)) error {
	if c.output == "json" {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	out := bufio.NewWriter(c.out) // Flush returns the first write error
	text(out)
	return out.Flush()
}

// printLine prints one formatted line.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
