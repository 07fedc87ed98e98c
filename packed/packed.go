// Package packed compresses bulk data sent between routers. Lists and configurations
// repeat their names many times, and a megabyte takes a second on a small router's link.
package packed

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// ErrTooLarge is returned by Unpack if the decompressed text exceeds the limit.
var ErrTooLarge = errors.New("packed: larger than allowed")

// Pack returns the compressed text.
func Pack(text []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// Unpack returns the text that was passed to Pack. It returns ErrTooLarge if that has more than
// limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, ErrTooLarge
	}
	return text, nil
}
