package gateway

import (
	"syscall"
	"testing"
)

// Guards against a send buffer that the kernel grows to megabytes for a caller that reads slowly.
func TestSendBufferOfCallersIsBounded(t *testing.T) {
	_, router, _ := connectCaller(t)
	raw, err := router.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	if controlErr := raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	if size > 64<<10 {
		t.Errorf("%d bytes", size)
	}
}
