package lab

import (
	"context"
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
	"github.com/gaplink/gaplink/cli/daemon"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

const (
	soloCallers  = "127.0.0.1:8080"
	soloPeers    = "127.0.0.1:7100"
	readyTimeout = 10 * time.Second
)

func soloCommand() *cobra.Command {
	return &cobra.Command{
		Use: "solo", Short: "Run one router with embedded stand-ins until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return solo(cmd.OutOrStdout()) },
	}
}

// serveLocal serves a handler on a free loopback port and returns its address.
func serveLocal(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

func solo(out io.Writer) error {
	platform := standin.New(standin.Limits{Writes: 400, Reads: 2000}, 1)
	platform.SetInstance(membership.Member{ID: "solo", Kind: "router", Addr: soloPeers, Domain: "local", State: membership.Live})
	addr, err := serveLocal(platform)
	if err != nil {
		return err
	}
	r, err := startSolo(addr)
	if err != nil {
		return err
	}
	key, err := setUpSolo()
	if err != nil {
		return err
	}
	printInstructions(out, key)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	r.Stop(ctx)
	return nil
}

func startSolo(platform string) (*router.Router, error) {
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = "solo", "local"
	s.Listen = settings.Listen{Callers: soloCallers, Peers: soloPeers}
	s.Platform.URL = "http://" + platform
	s.Operator.KeyHash = operatorKeyHash()
	s.Requests.LeaveGrace = 0
	log, err := daemon.Logger(s.Log.Level)
	if err != nil {
		return nil, err
	}
	r, err := router.New(s, log)
	if err != nil {
		return nil, err
	}
	if err := r.Start(); err != nil {
		return nil, err
	}
	return r, waitFor(readyTimeout, r.Ready)
}

func waitFor(limit time.Duration, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not ready within %s", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func setUpSolo() (string, error) {
	engineAddr, err := serveLocal(backend.NewEngine(20 * time.Millisecond))
	if err != nil {
		return "", err
	}
	serviceAddr, err := serveLocal(backend.NewService(5 * time.Millisecond))
	if err != nil {
		return "", err
	}
	keys, err := newOperator("solo", soloPeers).setUp(
		[]accountSpec{{ID: "demo", Budgets: map[string]int64{"demo": 10000}}},
		[]table.Pool{
			{Name: "tagger-old", Kind: table.Model, Target: "tagger", Site: "old", Servers: []table.Server{{ID: "e1", Addr: engineAddr}}},
			{Name: "lookup-old", Kind: table.Service, Target: "lookup", Site: "old", Servers: []table.Server{{ID: "s1", Addr: serviceAddr}}},
		})
	return keys["demo"], err
}

func printInstructions(out io.Writer, key string) {
	_, _ = fmt.Fprintf(out, `
gaplink runs with embedded stand-ins. Send a first request:

  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"tagger","max_tokens":12,"stream":true,"messages":[{"role":"user","content":"hello"}]}'

A status lookup that runs at most once:

  curl -s http://%s/v1/services/lookup/status -H 'Authorization: Bearer %s' \
    -H 'Idempotency-Key: first' -H 'Gaplink-Not-Repeatable: true' -d '{"plate":"12-34"}'

Operate it (bin/gaplinkctl --help):

  GAPLINK_OPERATOR_KEY=%s bin/gaplinkctl --router %s budget show demo

Stop with Ctrl-C.
`, soloCallers, key, soloCallers, key, operatorKey, soloPeers)
}
