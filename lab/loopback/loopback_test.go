package loopback_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/gaplink/gaplink/lab/loopback"
)

func TestFreeAddrCanBeListenedAt(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addr, err := loopback.FreeAddr("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n >= 32768 {
			t.Fatalf("port %s is in the ephemeral port range", port)
		}
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
	}
}
