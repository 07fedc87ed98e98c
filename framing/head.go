package framing

import (
	"errors"
	"io"
)

// MaxHead bounds the head of a response in bytes, with the interim ones before it. Heads take a few hundred bytes;
// net/http reads one without a bound into memory.
const MaxHead = 64 << 10

// ErrHeadTooLong is returned for a response whose head exceeds MaxHead.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// HeadReader reads from a connection, and fails beyond a number of bytes while a head is expected.
type HeadReader struct {
	source   io.Reader
	expected bool
	left     int
}

// NewHeadReader returns a reader without a bound.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source} }

// Expect bounds what is read until Release to the given number of bytes.
func (h *HeadReader) Expect(bytes int) { h.expected, h.left = true, bytes }

// Release ends the bound and returns the number of bytes that were left.
func (h *HeadReader) Release() (left int) {
	h.expected = false
	return h.left
}

// Read implements io.Reader.
func (h *HeadReader) Read(b []byte) (int, error) {
	if !h.expected {
		return h.source.Read(b)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.source.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}
