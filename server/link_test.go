package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/peer"
)

// TestRouterWithoutProcessorTimeIsBusy: the pattern is a router of a fifth of a core with
// many callers whose timers fired up to 3.2 s late; what it knew was as old, with a link that
// was nearly empty.
func TestRouterWithoutProcessorTimeIsBusy(t *testing.T) {
	var l linkState
	now := time.Now()
	for _, c := range []struct {
		load   link.Load
		window time.Duration
		busy   bool
	}{
		{link.Load{In: 0.1}, link.Window, false},
		{link.Load{In: 0.1}, link.Window + 20*time.Millisecond, false},
		{link.Load{In: 0.1}, link.Window + 400*time.Millisecond, true},
		{link.Load{In: 0.1}, link.Window, false},
		{link.Load{Out: 0.9}, link.Window, true},
	} {
		l.observe(now, c.load, c.window)
		if l.Busy() != c.busy {
			t.Errorf("busy %v after a window of %v at %+v", l.Busy(), c.window, c.load)
		}
	}
}

// TestRouterWithoutDescriptorsIsBusy: the pattern is a hot account whose callers used up the
// descriptors of a router. Each of its questions to others and to the store failed at once, it
// served on by kept connections, and what it knew of the servers grew 9 s old.
func TestRouterWithoutDescriptorsIsBusy(t *testing.T) {
	var l linkState
	l.failed(time.Now(), fmt.Errorf("%w: %w", peer.ErrNotSent, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}))
	if l.Busy() {
		t.Error("busy since another router does not answer")
	}
	l.failed(time.Now(), errors.Join(peer.ErrNotSent, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}))
	if !l.Busy() {
		t.Error("not busy without descriptors")
	}
}

// Guards against a router that is paused, or short of descriptors, and goes by what it knew
// before until it happens to ask: it sent requests to servers that had left 3.9 s ago.
func TestRouterThatWasBusyAsksBeforeItGoesByOldKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unreachable := fmt.Errorf("%w: %w", peer.ErrNotSent, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)})
		noFiles := errors.Join(peer.ErrNotSent, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
		var l linkState
		window := func() {
			time.Sleep(link.Window)
			l.observe(time.Now(), link.Load{}, link.Window)
		}
		known := time.Now()
		check := func(when string, busy, asked bool) {
			t.Helper()
			if l.Busy() != busy || l.HasAskedSince(known) != asked {
				t.Errorf("%s: busy %v, has asked %v", when, l.Busy(), l.HasAskedSince(known))
			}
		}
		window()
		check("at the start", false, false)
		l.failed(time.Now(), unreachable)
		check("nobody answers from the start", false, true)
		known = time.Now()
		check("knows more since", false, false)
		before := time.Now()
		time.Sleep(3 * time.Second)
		check("resumed, before a timer fires", true, false)
		l.observe(time.Now(), link.Load{}, 3*time.Second)
		check("resumed", true, false)
		l.failed(before, unreachable)
		window()
		check("a question of before has failed", false, false)
		l.failed(time.Now(), noFiles)
		window()
		check("a question had no descriptor", true, false)
		time.Sleep(noFilesFor - link.Window)
		l.observe(time.Now(), link.Load{}, link.Window)
		check("descriptors are free again", false, false)
		l.failed(time.Now(), unreachable)
		check("nobody answers", false, true)
		begun := time.Now()
		l.failed(begun, unreachable)
		window()
		check("nobody answers still", false, true)
	})
}
