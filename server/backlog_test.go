package server

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against slow readers that use more than an eighth of the memory limit, and against a line
// for each of them.
func TestSlowReadersAreBoundedByMemory(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	b := newBacklog(184, zap.New(core))
	resets := 0
	for range 50 {
		b.Begin(1<<20, func() { resets++ })
	}
	if b.Sum() != 23<<20 || resets != 27 || b.Aborted() != 27 {
		t.Errorf("%d bytes, %d connections reset", b.Sum(), resets)
	}
	if all := lines.FilterMessage("slow reader reset").All(); len(all) != 1 || all[0].ContextMap()["limit"] != int64(23<<20) {
		t.Errorf("%d lines", len(all))
	}
}
