// Package daemon is the command line of gaplinkd.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/settings"
)

// stopWithin bounds a planned stop.
const stopWithin = 5 * time.Minute

// errFenced ends the daemon so that it is started anew, with nothing kept.
var errFenced = result.New(result.Leaving, "the fleet has taken this process to be dead; start it anew")

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errOut, "gaplinkd:", result.From(err))
		return 1
	}
	return 0
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "gaplinkd",
		Short:         "Router of a gaplink fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var path string
	root.PersistentFlags().StringVarP(&path, "config", "c", "gaplinkd.toml", "settings file (TOML)")
	root.AddCommand(runCommand(&path), checkCommand(&path))
	return root
}

func runCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:     "run",
		Short:   "Serve until SIGTERM or SIGINT, then stop without cutting a request",
		Example: "  gaplinkd run --config /etc/gaplink/gaplinkd.toml",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(*path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
}

func checkCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and exit",
		Example: "  gaplinkd check --config gaplinkd.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(*path); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", *path)
			return nil
		},
	}
}

func serve(s settings.Settings) error {
	log, err := Logger(s.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	r, err := router.New(s, log)
	if err != nil {
		return err
	}
	if err := r.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-r.Fenced():
		r.Close()
		return errFenced
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	r.Stop(ctx)
	return nil
}

// Logger returns a logger that writes JSON lines to standard error.
func Logger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, result.New(result.BadSettings, "log.level: %v", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	return cfg.Build()
}
