package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestSettingsAreReplacedWhole guards against a router that starts while its settings are being
// written, reads part of the file and exits: the run would report an unexpected exit.
func TestSettingsAreReplacedWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r0.toml")
	texts := [][]byte{bytes.Repeat([]byte("a"), 64<<10), bytes.Repeat([]byte("b"), 48<<10)}
	if err := replaceFile(path, texts[0]); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		var err error
		for n := 0; n < 400 && err == nil; n++ {
			err = replaceFile(path, texts[n%2])
		}
		done <- err
	}()
	for {
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
			return
		default:
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, texts[0]) && !bytes.Equal(text, texts[1]) {
			t.Fatalf("read %d bytes that are neither the old nor the new text", len(text))
		}
	}
}

// Guards against processes that are started as at the first start of the fleet later on, or not so at first: the platform
// says so of the first start alone.
func TestOnlyTheFirstProcessIsAFirstStart(t *testing.T) {
	r, err := newRouter(t.TempDir(), 0, "127.0.0.1:1", newSpawner(), NewOracle(time.Now(), DefaultBounds()))
	if err != nil {
		t.Fatal(err)
	}
	for r.incarnation = range 3 {
		if err := r.writeNextSettings(); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(r.path)
		if err != nil {
			t.Fatal(err)
		}
		if first := strings.Contains(string(text), "first_start = true"); first != (r.incarnation == 0) {
			t.Errorf("process %d: first start %t", r.incarnation+1, first)
		}
	}
}

// Guards against a run that hangs if the fleet cannot start: routers that were created are closed without having run.
func TestRouterThatNeverRanCloses(t *testing.T) {
	r, err := newRouter(t.TempDir(), 0, "127.0.0.1:1", newSpawner(), NewOracle(time.Now(), DefaultBounds()))
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		r.close()
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("closing a router that never ran does not end")
	}
}
