package health_test

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/controller/health"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
)

// serveLeft serves a router that answers which servers are leaving, after a delay.
func serveLeft(t *testing.T, addr string, delay time.Duration) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	m := peer.NewMux()
	peer.Handle(m, peer.MethodLeft, func(context.Context, *peer.Empty) (*peer.LeftAnswer, error) {
		time.Sleep(delay)
		return &peer.LeftAnswer{Servers: []string{"s1"}}, nil
	})
	go func() { _ = peer.Serve(t.Context(), l, m) }() // ends with the test
}

// fetch asks the routers at the given addresses for leaving servers. It returns those that are
// known afterwards and the number of log lines about unanswered questions.
func fetch(t *testing.T, addrs ...string) (leaving []string, warnings int) {
	t.Helper()
	core, logged := observer.New(zap.WarnLevel)
	m := members.New(membership.Member{ID: "self", Kind: "router", State: membership.Live}, nil, 0, zap.NewNop())
	for i, addr := range addrs {
		m.AddOrUpdate(membership.Member{ID: string(rune('a' + i)), Kind: "router", Addr: addr, State: membership.Live})
	}
	client := peer.NewClient(peer.Options{DialTimeout: 200 * time.Millisecond})
	c := health.New(m, nil, client, rand.New(rand.NewPCG(1, 1)), zap.New(core))
	c.FetchLeaving(t.Context())
	return c.Leaving(), logged.Len()
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopback.FreeAddr("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestLeavingServersAreAskedForAgain guards against a router that starts, cannot ask the others which
// servers are leaving, and sends requests to them without a log line.
func TestLeavingServersAreAskedForAgain(t *testing.T) {
	t.Run("a router that answers late", func(t *testing.T) {
		addr := freeAddr(t)
		time.AfterFunc(50*time.Millisecond, func() { serveLeft(t, addr, 0) })
		if leaving, warnings := fetch(t, addr); !slices.Equal(leaving, []string{"s1"}) || warnings == 0 {
			t.Errorf("leaving %v, %d warnings", leaving, warnings)
		}
	})
	t.Run("three that hang, and a fourth", func(t *testing.T) {
		addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)}
		for _, addr := range addrs[:3] {
			serveLeft(t, addr, 3*time.Second)
		}
		serveLeft(t, addrs[3], 0)
		if leaving, _ := fetch(t, addrs...); !slices.Equal(leaving, []string{"s1"}) {
			t.Errorf("leaving %v", leaving)
		}
	})
	t.Run("one that hangs beside one that answers", func(t *testing.T) {
		addrs := []string{freeAddr(t), freeAddr(t)}
		serveLeft(t, addrs[0], 3*time.Second)
		serveLeft(t, addrs[1], 0)
		if leaving, warnings := fetch(t, addrs...); !slices.Equal(leaving, []string{"s1"}) || warnings != 0 {
			t.Errorf("leaving %v, %d warnings", leaving, warnings)
		}
	})
	t.Run("no other router", func(t *testing.T) {
		if leaving, warnings := fetch(t); len(leaving) > 0 || warnings != 0 {
			t.Errorf("leaving %v, %d warnings", leaving, warnings)
		}
	})
}
