package loopback_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/gaplink/gaplink/lab/loopback"
)

func TestFreeAddrCanBeListenedAt(t *testing.T) {
	for range 100 {
		addr, err := loopback.FreeAddr("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n >= 32768 {
			t.Fatalf("port %s is one of outgoing connections", port)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
	}
}
