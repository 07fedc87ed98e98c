package ctl

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

func (c *client) tableCommand() *cobra.Command {
	return group("table", "The table of weights and limits", c.tableGet(), c.tableSet(), c.tableEdit())
}

func (c *client) rows() ([]table.RowRevision, error) {
	var rows []table.RowRevision
	err := c.call(admin.TableGet, struct{}{}, &rows)
	return rows, err
}

func (c *client) tableGet() *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Print the table as CSV", Example: "  gaplinkctl table get > table.csv", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rows, err := c.rows()
			if err != nil {
				return err
			}
			return c.show(rows, func(w io.Writer) { _ = table.WriteCSV(w, rows) })
		},
	}
}

func (c *client) tableSet() *cobra.Command {
	var skip []string
	var expect int64
	cmd := &cobra.Command{
		Use: "set ACCOUNT/TARGET/SITE COLUMN=VALUE...", Short: "Change columns of one row",
		Example: "  gaplinkctl table set '*/tagger/new' weight=30 --expect 12",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a := admin.TableSetArgs{Row: args[0], Assignments: args[1:], Skip: skip}
			if cmd.Flags().Changed("expect") {
				a.Expect = &expect
			}
			return c.change(admin.TableSet, a)
		},
	}
	cmd.Flags().Int64Var(&expect, "expect", 0, "refuse the change unless the row is at this revision (0: does not exist)")
	skipFlag(cmd, &skip)
	return cmd
}

func (c *client) tableEdit() *cobra.Command {
	var skip []string
	var basePath string
	cmd := &cobra.Command{
		Use: "edit FILE", Short: "Apply an edited CSV as one change; - reads standard input",
		Long: "Apply an edited CSV as one change. Rows carry the revision that they were\n" +
			"read at; if any was changed since, nothing is applied and the row is shown\n" +
			"as it now stands. With --base, rows missing from FILE are deleted.\n" +
			"FILE must end as \"table get\" ends it, or it may have been cut.",
		Example: "  gaplinkctl table get > base.csv\n  cp base.csv new.csv; vi new.csv\n  gaplinkctl table edit new.csv --base base.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			edits, err := c.edits(args[0], basePath)
			if err != nil {
				return err
			}
			return c.change(admin.TableApply, admin.TableApplyArgs{Edits: edits, Skip: skip})
		},
	}
	cmd.Flags().StringVar(&basePath, "base", "", "the CSV before editing; without it no row is deleted")
	skipFlag(cmd, &skip)
	return cmd
}

// edits returns the differences of the edited file from the base file, or from the
// current table if there is none.
func (c *client) edits(path, basePath string) ([]table.Edit, error) {
	edited, err := c.readCSV(path)
	if err != nil {
		return nil, err
	}
	if basePath != "" {
		base, err := c.readCSV(basePath)
		if err != nil {
			return nil, err
		}
		return table.DiffRows(base, edited), nil
	}
	current, err := c.rows()
	if err != nil {
		return nil, err
	}
	return table.DiffRows(keepNamed(current, edited), edited), nil
}

// keepNamed returns the current rows that the edited file contains.
func keepNamed(now, edited []table.RowRevision) []table.RowRevision {
	named := map[string]bool{}
	for _, r := range edited {
		named[r.Name()] = true
	}
	var kept []table.RowRevision
	for _, r := range now {
		if named[r.Name()] {
			kept = append(kept, r)
		}
	}
	return kept
}

func (c *client) readCSV(path string) ([]table.RowRevision, error) {
	if path == "-" {
		return table.ReadCSV(c.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, result.New(result.BadRow, "%v", err)
	}
	defer func() { _ = f.Close() }()
	return table.ReadCSV(f)
}
