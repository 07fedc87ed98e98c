package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/tunnel"
	"github.com/gaplink/gaplink/upstream"
)

// throughRouter leads all connections through another router.
type throughRouter struct {
	upstream.Paths
	addr string
}

func (p throughRouter) Path(reach.Group) reach.Path   { return reach.Path{Indirect: true} }
func (p throughRouter) Usable(string, time.Time) bool { return true }
func (p throughRouter) Heard(string)                  {}
func (p throughRouter) Unheard(time.Time, string)     {}

func (p throughRouter) Open(ctx context.Context, s placement.Server) (net.Conn, string, error) {
	c, _, err := tunnel.Open(ctx, &net.Dialer{}, "r2", p.addr, s)
	return c, "r2", err
}

// newPoolThroughRouter returns a pool that reaches the server at addr through another router.
func newPoolThroughRouter(t *testing.T, addr string) *upstream.Pool {
	t.Helper()
	server := tunnel.NewServer(tunnel.Options{
		IsRouter: func(string) bool { return true },
		Admit:    func(placement.Incarnation) (placement.Server, error) { return placement.Server{Address: addr}, nil },
		Dial:     newPool().OpenFor,
		Reserve:  func() (func(), bool) { return func() {}, true },
		Detach:   func(net.Conn) {},
		Log:      zap.NewNop(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tunnels := tunnel.NewListener(sockets.TCPListener(l), server.Serve)
	t.Cleanup(func() { _ = tunnels.Close() })
	return upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second, Paths: throughRouter{addr: l.Addr().String()}})
}

// TestResetThroughARouterEndsNoResponse is TestResetDuringAnUploadEndsNoResponse through another router.
func TestResetThroughARouterEndsNoResponse(t *testing.T) {
	for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			checkUploads(t, s, newPoolThroughRouter, resetTries, 0)
		})
	}
}

// TestOrderlyCloseThroughARouterEndsAResponse is TestOrderlyCloseDuringAnUploadEndsAResponse through another router.
func TestOrderlyCloseThroughARouterEndsAResponse(t *testing.T) {
	for _, s := range tcptest.EarlyServers(tcptest.EndsByHalfClose, answerUnframed) {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			checkUploads(t, s, newPoolThroughRouter, halfCloseTries, halfCloseTries)
		})
	}
}
