// Package lab runs gaplink against stand-ins of its environment: a single process for
// first steps, a fleet of processes with injected faults, and benchmarks. The reported
// figures are counted by the stand-ins and the load sender, not by the routers.
package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/store/standin"
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:           "gaplink-lab",
		Short:         "Run gaplink against stand-ins",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(soloCommand(), demoCommand(), policyCommand(), slopesCommand(), movesCommand(), curveCommand(), latencyCommand(), platformCommand(), engineCommand(), serviceCommand(), soakCommand(), accountCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errOut, "gaplink-lab:", err)
		return 1
	}
	return 0
}

// serveUntilSignal prints the address of a stand-in and serves it until SIGTERM or SIGINT.
func serveUntilSignal(out io.Writer, listen string, h http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, listener.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = listener.Close()
	}()
	_ = http.Serve(listener, h)
	return nil
}

func platformCommand() *cobra.Command {
	var listen string
	var limits standin.Limits
	var seed uint64
	cmd := &cobra.Command{
		Use: "platform", Short: "Serve the platform stand-in", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilSignal(cmd.OutOrStdout(), listen, standin.New(limits, seed))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port")
	cmd.Flags().Float64Var(&limits.Writes, "writes", 400, "writes a second allowed")
	cmd.Flags().Float64Var(&limits.Reads, "reads", 2000, "reads a second allowed")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "decides which answers are lost")
	return cmd
}

func engineCommand() *cobra.Command {
	var listen string
	var pause time.Duration
	cmd := &cobra.Command{
		Use: "engine", Short: "Serve a model engine stand-in", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilSignal(cmd.OutOrStdout(), listen, backend.NewEngine(pause))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port")
	cmd.Flags().DurationVar(&pause, "pause", 2*time.Millisecond, "time for each token")
	return cmd
}

func serviceCommand() *cobra.Command {
	var listen string
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "service", Short: "Serve a plain service stand-in", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveUntilSignal(cmd.OutOrStdout(), listen, backend.NewService(delay))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port")
	cmd.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time for each request")
	return cmd
}
