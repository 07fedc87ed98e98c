package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a router that starts while its settings are written, reads a part of them and
// ends: the run then counts a process that ended by itself.
func TestSettingsAreReplacedWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r0.toml")
	texts := [][]byte{bytes.Repeat([]byte("a"), 64<<10), bytes.Repeat([]byte("b"), 48<<10)}
	if err := replace(path, texts[0]); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		var err error
		for n := 0; n < 400 && err == nil; n++ {
			err = replace(path, texts[n%2])
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
			t.Fatalf("%d bytes are read", len(text))
		}
	}
}
