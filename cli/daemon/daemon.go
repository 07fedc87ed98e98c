// Package daemon implements the command line of gaplinkd.
package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gaplink/gaplink/cli/command"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/settings"
)

// stopTimeout limits a graceful shutdown.
const stopTimeout = 5 * time.Minute

// errFenced ends the daemon, so that it is restarted without any state.
var errFenced = result.New(result.Leaving, "the fleet has taken this process to be dead; start it anew")

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := command.Daemon("gaplinkd", "Router of a gaplink fleet", "gaplinkd.toml", settings.Load, serve)
	return command.Execute(root, args, out, errOut)
}

func serve(_ string, s settings.Settings, _ io.Writer) error {
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
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
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
