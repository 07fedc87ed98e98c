// Package gateway implements the command line of gaplink-gateway.
package gateway

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/cli/command"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/server"
	"github.com/gaplink/gaplink/settings"
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	const short = "Router of a gaplink fleet on a platform that holds its state"
	root := command.Daemon("gaplink-gateway", short, os.Getenv(platform.SettingsVariable), settings.LoadGateway, serve)
	return command.Execute(root, args, out, errOut)
}

func serve(path string, s settings.Gateway, out io.Writer) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all, because an unhandled SIGHUP terminates the process
	srv, err := server.New(s, platform.New(s.Store.Address, s.Store.Timeout.Std()), logs.NewWriter(out))
	if err != nil {
		return err
	}
	if err := srv.Start(); err != nil {
		return err
	}
	go watchSettings(path, srv, reload)
	<-signals
	srv.Stop()
	return nil
}

// reloadInterval is the interval between reads of the settings file, which may change
// without a signal.
const reloadInterval = 5 * time.Second

// watchSettings reloads the settings at each signal and each reloadInterval.
func watchSettings(path string, srv *server.Server, reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
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
