package ctl

import (
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

func group(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short}
	cmd.AddCommand(subs...)
	return cmd
}

func (c *client) accountCommand() *cobra.Command {
	create := &cobra.Command{
		Use: "create ACCOUNT", Short: "Create a client account", Example: "  gaplinkctl account create tsukushi",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.change(admin.AccountCreate, admin.AccountArgs{ID: args[0]})
		},
	}
	key := &cobra.Command{
		Use: "key ACCOUNT", Short: "Make a key for an account; it is shown once", Example: "  gaplinkctl account key tsukushi",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var answer admin.KeyAnswer
			if err := c.call(admin.AccountKey, admin.AccountArgs{ID: args[0]}, &answer); err != nil {
				return err
			}
			return c.show(answer, func(w io.Writer) { printLine(w, "%s", answer.Key) })
		},
	}
	list := &cobra.Command{
		Use: "list", Short: "List the client accounts", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return c.objects(admin.AccountList) },
	}
	return group("account", "Client accounts and their keys", create, key, list)
}

// change executes a command that changes the configuration and prints the status and
// revision of the change.
func (c *client) change(name string, args any) error {
	var final table.Change
	if err := c.call(name, args, &final); err != nil {
		return err
	}
	return c.show(final, func(w io.Writer) { printLine(w, "%s at revision %d", final.Status, final.Revision) })
}

func (c *client) objects(name string) error {
	var list []table.Object
	if err := c.call(name, struct{}{}, &list); err != nil {
		return err
	}
	return c.show(list, func(w io.Writer) {
		for _, o := range list {
			printLine(w, "%-20s rev %-6d %s", o.Name, o.Revision, o.Value)
		}
	})
}

func (c *client) budgetCommand() *cobra.Command {
	create := &cobra.Command{
		Use: "create BUDGET ACCOUNT TOKENS", Short: "Create a prepaid budget",
		Example: "  gaplinkctl budget create reviews tsukushi 1000000",
		Args:    cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			tokens, err := parseTokens(args[2])
			if err != nil {
				return err
			}
			return c.change(admin.BudgetCreate, admin.BudgetArgs{ID: args[0], Account: args[1], Tokens: tokens})
		},
	}
	topUp := &cobra.Command{
		Use: "topup BUDGET TOKENS", Short: "Raise a budget's limit", Example: "  gaplinkctl budget topup reviews 500000",
		Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			tokens, err := parseTokens(args[1])
			if err != nil {
				return err
			}
			return c.budget(admin.BudgetTopUp, admin.BudgetArgs{ID: args[0], Tokens: tokens})
		},
	}
	show := &cobra.Command{
		Use: "show BUDGET", Short: "Show limit, issued, free and held tokens", Example: "  gaplinkctl budget show reviews",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.budget(admin.BudgetShow, admin.BudgetArgs{ID: args[0]})
		},
	}
	closeHolder := &cobra.Command{
		Use: "close-holder HOLDER", Short: "Fold the records of a holder whose instance is attested to be terminated",
		Example: "  gaplinkctl budget close-holder r3/6f0f9a2c",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var none struct{}
			if err := c.call(admin.BudgetClose, admin.HolderArgs{Holder: args[0]}, &none); err != nil {
				return err
			}
			return c.show(none, func(w io.Writer) { printLine(w, "closed") })
		},
	}
	return group("budget", "Prepaid budgets", create, topUp, show, closeHolder)
}

func parseTokens(text string) (int64, error) {
	tokens, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, result.New(result.BadRow, "%q is not a whole number of tokens", text)
	}
	return tokens, nil
}

func (c *client) budget(name string, args admin.BudgetArgs) error {
	var b admin.BudgetAnswer
	if err := c.call(name, args, &b); err != nil {
		return err
	}
	return c.show(b, func(w io.Writer) {
		printLine(w, "budget %s  limit %d", b.ID, b.Limit)
		if name != admin.BudgetShow {
			return
		}
		printLine(w, "  issued             %d", b.Issued)
		printLine(w, "  free               %d", b.Free)
		printLine(w, "  held by routers    %d", b.Held)
		printLine(w, "  spent or stranded  %d", b.SpentOrStranded)
		if len(b.Silent) > 0 {
			printLine(w, "  not answering: %s", strings.Join(b.Silent, ", "))
		}
	})
}

func (c *client) poolCommand() *cobra.Command {
	var skip []string
	set := &cobra.Command{
		Use: "set NAME model|service TARGET SITE ID=IP:PORT...", Short: "Create or replace a backend server pool",
		Example: "  gaplinkctl pool set old-tagger model tagger old e1=10.0.0.1:8000 e2=10.0.0.2:8000",
		Args:    cobra.MinimumNArgs(4),
		RunE: func(_ *cobra.Command, args []string) error {
			servers, err := parseServers(args[4:])
			if err != nil {
				return err
			}
			pool := table.Pool{Name: args[0], Kind: table.PoolKind(args[1]), Target: args[2], Site: args[3], Servers: servers}
			return c.change(admin.PoolSet, admin.PoolArgs{Pool: pool, Skip: skip})
		},
	}
	skipFlag(set, &skip)
	list := &cobra.Command{
		Use: "list", Short: "List the pools", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return c.objects(admin.PoolList) },
	}
	remove := &cobra.Command{
		Use: "delete NAME", Short: "Delete a pool", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.change(admin.PoolDelete, admin.PoolArgs{Pool: table.Pool{Name: args[0]}, Skip: skip})
		},
	}
	skipFlag(remove, &skip)
	return group("pool", "Backend server pools", set, list, remove)
}

func skipFlag(cmd *cobra.Command, skip *[]string) {
	cmd.Flags().StringSliceVar(skip, "skip", nil, "instances attested to be terminated, which need not follow")
}

func parseServers(args []string) ([]table.Server, error) {
	var servers []table.Server
	for _, a := range args {
		id, addr, ok := strings.Cut(a, "=")
		if !ok {
			return nil, result.New(result.BadRow, "%q is not ID=IP:PORT", a)
		}
		addr, fencing := strings.CutSuffix(addr, ",fencing")
		servers = append(servers, table.Server{ID: id, Addr: addr, Fencing: fencing})
	}
	return servers, nil
}

func (c *client) auditCommand() *cobra.Command {
	return &cobra.Command{
		Use: "audit", Short: "Show all accepted and refused changes, oldest first", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var entries []admin.AuditEntry
			if err := c.call(admin.Audit, struct{}{}, &entries); err != nil {
				return err
			}
			return c.show(entries, func(w io.Writer) {
				for _, e := range entries {
					printLine(w, "%s %-10s rev %-5d %s: %s -> %s [%s]", e.At.Format("2006-01-02T15:04:05.000Z"), e.Operator, e.Revision, e.What, e.Before, e.After, e.Outcome)
				}
			})
		},
	}
}

func (c *client) billsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "bills", Short: "Sum the billing records by budget", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var sums []admin.BillSum
			if err := c.call(admin.Bills, struct{}{}, &sums); err != nil {
				return err
			}
			return c.show(sums, func(w io.Writer) {
				for _, s := range sums {
					printLine(w, "%-16s %-16s attempts %-8d tokens %d", s.Account, s.Budget, s.Attempts, s.Tokens)
				}
			})
		},
	}
}

func (c *client) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the router's view of the fleet", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s admin.StatusAnswer
			if err := c.call(admin.Status, struct{}{}, &s); err != nil {
				return err
			}
			return c.show(s, func(w io.Writer) {
				printLine(w, "%s ready=%t revision=%d", s.Instance, s.Ready, s.Revision)
				for _, m := range s.Members {
					printLine(w, "  %-12s %-8s %-16s %s", m.ID, m.State, m.Domain, m.Addr)
				}
			})
		},
	}
}
