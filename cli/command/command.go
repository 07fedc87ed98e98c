// Package command implements the parts that the command lines of the daemons share.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/result"
)

// Execute runs a command line and returns the exit code. It writes an error to errOut
// with its result code.
func Execute(root *cobra.Command, args []string, out, errOut io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", root.Name(), result.From(err))
		return 1
	}
	return 0
}

// Daemon returns the root command of a daemon with a settings file: `run` loads the file
// and serves, `check` only loads it.
func Daemon[S any](name, short, defaultPath string, load func(path string) (S, error), serve func(path string, s S, out io.Writer) error) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceUsage: true, SilenceErrors: true}
	var path string
	root.PersistentFlags().StringVarP(&path, "config", "c", defaultPath, "settings file (TOML)")
	root.AddCommand(&cobra.Command{
		Use:     "run",
		Short:   "Serve until SIGTERM or SIGINT, then stop without cutting a request",
		Example: "  " + name + " run --config FILE.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load(path)
			if err != nil {
				return err
			}
			return serve(path, s, cmd.OutOrStdout())
		},
	})
	root.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and exit",
		Example: "  " + name + " check --config FILE.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(path); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
			return nil
		},
	})
	return root
}
