// Package gateway is the command line of gaplink-gateway.
package gateway

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/server"
	"github.com/gaplink/gaplink/settings"
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errOut, "gaplink-gateway:", result.From(err))
		return 1
	}
	return 0
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "gaplink-gateway",
		Short:         "Router of a gaplink fleet on a platform that holds its state",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var path string
	root.PersistentFlags().StringVarP(&path, "config", "c", os.Getenv(platform.SettingsVariable), "settings file (TOML)")
	root.AddCommand(runCommand(&path), checkCommand(&path))
	return root
}

func runCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:     "run",
		Short:   "Serve until SIGTERM or SIGINT, then stop without cutting a request",
		Example: "  gaplink-gateway run --config gateway.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadGateway(*path)
			if err != nil {
				return err
			}
			return serve(*path, s, cmd.OutOrStdout())
		},
	}
}

func checkCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and exit",
		Example: "  gaplink-gateway check --config gateway.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadGateway(*path); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", *path)
			return nil
		},
	}
}

func serve(path string, s settings.Gateway, out io.Writer) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	srv, err := server.New(s, platform.New(s.Store.Address, s.Store.Timeout.Std()), logs.NewWriter(out))
	if err != nil {
		return err
	}
	if err := srv.Start(); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go watchSettings(path, srv, reload)
	<-signals
	srv.Stop()
	return nil
}

// rereadEvery is how often the settings file is read again: it may change
// without a signal.
const rereadEvery = 5 * time.Second

// watchSettings hands changed settings to the server.
func watchSettings(path string, srv *server.Server, reload <-chan os.Signal) {
	ticker := time.NewTicker(rereadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			srv.Reload(settings.LoadGateway(path))
		case <-ticker.C:
			srv.Reload(settings.LoadGateway(path))
		}
	}
}
