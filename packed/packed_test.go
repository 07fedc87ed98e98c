package packed_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/packed"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		p, err := packed.Pack(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := packed.Unpack(p, int64(len(text)))
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

// Guards against a small input that decompresses to gigabytes.
func TestLimitOfUnpackedText(t *testing.T) {
	p, err := packed.Pack(make([]byte, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := packed.Unpack(p, 1<<20-1); !errors.Is(err, packed.ErrTooLarge) {
		t.Errorf("unpacked beyond the limit: %v", err)
	}
	if _, err := packed.Unpack([]byte("no such thing"), 100); err == nil {
		t.Error("unpacked invalid input")
	}
}
