// Package rawjson reads JSON as a stream and decodes nothing that its caller doesn't ask for.
//
// encoding/json checks a whole document before it decodes any part of it, so that a value which it
// rejects, such as one nested too deeply, makes the whole document unreadable. A Reader finds the
// bounds of values by their brackets and strings alone, at any depth and without recursion, and the
// caller decodes each value by itself.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
	// maxNameBytes is the maximum size of a field's name. A field with a longer name has none.
	maxNameBytes = 1 << 10
	// maxIntBytes is the maximum size of an integer or a boolean.
	maxIntBytes = 32
)

var (
	// ErrSyntax reports a document whose values cannot be told apart, or that ends early.
	ErrSyntax = errors.New("rawjson: syntax error")
	// ErrTooLong reports a value that is larger than the caller's limit. It has been skipped.
	ErrTooLong = errors.New("rawjson: value is too long")
	// ErrValue reports a value that isn't what the caller asked for. It has been read.
	ErrValue = errors.New("rawjson: unexpected value")
)

// IsOdd reports whether an error is about one value and the next one can be read.
func IsOdd(err error) bool { return errors.Is(err, ErrValue) || errors.Is(err, ErrTooLong) }

// Kind is the kind of a value.
type Kind int

// The kinds. A Scalar is a number, a literal or malformed.
const (
	Scalar Kind = iota
	Object
	Array
	String
)

// Reader reads one document. After an error that is not odd it is of no further use.
type Reader struct {
	in io.Reader
	// buffer holds what was read of in; the next byte is at position.
	buffer   []byte
	position int
	err      error // of in
	// open are the brackets that are open in the value that is being read.
	open brackets
	// text holds the value that is being read, up to limit bytes; size counts all of its bytes.
	text        []byte
	limit, size int
	// unkept is the position of the first byte of the value that isn't in text yet; notReading outside of values.
	unkept int
}

// notReading means that no value is being read.
const notReading = -1

// NewReader returns a reader of the document in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: in, buffer: make([]byte, 0, bufferBytes), unkept: notReading}
}

// Kind returns the kind of the next value.
func (r *Reader) Kind() (Kind, error) {
	c, err := r.peek()
	if err != nil {
		return Scalar, err
	}
	switch c {
	case '{':
		return Object, nil
	case '[':
		return Array, nil
	case '"':
		return String, nil
	default:
		return Scalar, nil
	}
}

// Fields reads an object and calls field for each of its fields. field must read the field's value.
func (r *Reader) Fields(field func(name string) error) error {
	return r.sequence('{', '}', func() error {
		name, err := r.name()
		if err != nil {
			return err
		}
		if err := r.expect(':'); err != nil {
			return err
		}
		return field(name)
	})
}

// Elements reads an array and calls element for each of its elements. element must read the element.
func (r *Reader) Elements(element func() error) error {
	return r.sequence('[', ']', element)
}

// Value returns the text of the next value. It fails with ErrTooLong if that has more than limit bytes.
func (r *Reader) Value(limit int) ([]byte, error) {
	text, err := r.value(limit)
	return bytes.Clone(text), err
}

// value is like Value; the text is valid until the next call.
func (r *Reader) value(limit int) ([]byte, error) {
	if _, err := r.peek(); err != nil {
		return nil, err
	}
	r.text, r.limit, r.size, r.unkept = r.text[:0], limit, 0, r.position
	err := r.scan()
	r.keep()
	r.unkept = notReading
	if err != nil {
		return nil, err
	}
	if r.size > limit {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLong, r.size, limit)
	}
	return r.text, nil
}

// Int returns the next value, which must be an integer or null; nil if it is null.
func (r *Reader) Int() (*int64, error) {
	text, err := r.value(maxIntBytes)
	if err != nil || string(text) == "null" {
		return nil, err
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: not an integer: %s", ErrValue, text)
	}
	return &n, nil
}

// Text returns the next value, which must be a string or null and take at most limit bytes; empty if it is null.
func (r *Reader) Text(limit int) (string, error) {
	text, err := r.value(limit)
	if err != nil {
		return "", err
	}
	if isPlain(text) {
		return string(text[1 : len(text)-1]), nil
	}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return "", fmt.Errorf("%w: %v", ErrValue, err)
	}
	return s, nil
}

// Bool returns the next value, which must be a boolean or null; false if it is null.
func (r *Reader) Bool() (bool, error) {
	text, err := r.value(maxIntBytes)
	if err != nil {
		return false, err
	}
	switch string(text) {
	case "true":
		return true, nil
	case "false", "null":
		return false, nil
	default:
		return false, fmt.Errorf("%w: not a boolean: %s", ErrValue, text)
	}
}

// isPlain reports whether a value is a string that is decoded as it stands.
func isPlain(value []byte) bool {
	if len(value) < 2 || value[0] != '"' {
		return false
	}
	for _, c := range value[1 : len(value)-1] {
		if c < ' ' || c >= utf8.RuneSelf || c == '\\' {
			return false
		}
	}
	return true
}

// Skip skips the next value.
func (r *Reader) Skip() error {
	_, err := r.value(0)
	if errors.Is(err, ErrTooLong) {
		return nil
	}
	return err
}

// End fails if anything but white space follows.
func (r *Reader) End() error {
	c, err := r.peek()
	switch {
	case errors.Is(err, errEnded):
		return nil
	case err != nil:
		return err
	default:
		return fmt.Errorf("%w: %q after the document", ErrSyntax, c)
	}
}

// name reads a field's name.
func (r *Reader) name() (string, error) {
	kind, err := r.Kind()
	if err != nil {
		return "", err
	}
	if kind != String {
		return "", fmt.Errorf("%w: field without a name", ErrSyntax)
	}
	name, err := r.Text(maxNameBytes)
	if IsOdd(err) {
		return "", nil // matches no field that a caller looks for
	}
	return name, err
}

// sequence reads members that are separated by commas between two brackets.
func (r *Reader) sequence(open, end byte, member func() error) error {
	if err := r.expect(open); err != nil {
		return err
	}
	for isFirst := true; ; isFirst = false {
		c, err := r.peek()
		if err != nil {
			return err
		}
		if c == end {
			return r.expect(end)
		}
		if !isFirst {
			if err := r.expect(','); err != nil {
				return err
			}
		}
		if err := member(); err != nil {
			return err
		}
	}
}

// expect reads a byte after white space.
func (r *Reader) expect(want byte) error {
	c, err := r.peek()
	if err != nil {
		return err
	}
	if c != want {
		return fmt.Errorf("%w: %q instead of %q", ErrSyntax, c, want)
	}
	_, err = r.next()
	return err
}

// peek returns the first byte after white space and does not read it.
func (r *Reader) peek() (byte, error) {
	for {
		c, err := r.next()
		if err != nil {
			return 0, err
		}
		if !isSpace(c) {
			r.position--
			return c, nil
		}
	}
}

// errEnded reports a document that ends early.
var errEnded = fmt.Errorf("%w: unexpected end", ErrSyntax)

func (r *Reader) next() (byte, error) {
	if r.position == len(r.buffer) {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	r.position++
	return r.buffer[r.position-1], nil
}

// fill reads on once all of the buffer has been read.
func (r *Reader) fill() error {
	r.keep()
	r.buffer, r.position = r.buffer[:0], 0
	if r.unkept != notReading {
		r.unkept = 0
	}
	for r.err == nil && len(r.buffer) == 0 {
		var n int
		n, r.err = r.in.Read(r.buffer[:bufferBytes])
		r.buffer = r.buffer[:n]
	}
	switch {
	case len(r.buffer) > 0:
		return nil
	case errors.Is(r.err, io.EOF):
		return errEnded
	default:
		return r.err
	}
}

// keep adds to the text what was read of the value since the last call.
func (r *Reader) keep() {
	if r.unkept == notReading {
		return
	}
	read := r.buffer[r.unkept:r.position]
	r.text = append(r.text, read[:min(len(read), max(r.limit-r.size, 0))]...)
	r.size += len(read)
	r.unkept = r.position
}

// scan reads a value whose first byte is next.
func (r *Reader) scan() error {
	r.open = brackets{bits: r.open.bits[:0]}
	for {
		c, err := r.next()
		if err != nil {
			return err
		}
		switch c {
		case '{', '[':
			r.open.push(c == '{')
		case '}', ']':
			if !r.open.pop(c == '}') {
				return fmt.Errorf("%w: unexpected %q", ErrSyntax, c)
			}
		case '"':
			err = r.scanString()
		default:
			if r.open.depth == 0 {
				err = r.scanScalar(c)
			}
		}
		if err != nil || r.open.depth == 0 {
			return err
		}
	}
}

// scanString reads a string after its opening quote.
func (r *Reader) scanString() error {
	for {
		c, err := r.next()
		if err != nil || c == '"' {
			return err
		}
		if c != '\\' {
			continue
		}
		if _, err := r.next(); err != nil {
			return err
		}
	}
}

// scanScalar reads a number or a literal after its first byte.
func (r *Reader) scanScalar(first byte) error {
	if isDelimiter(first) {
		return fmt.Errorf("%w: %q instead of a value", ErrSyntax, first)
	}
	for {
		c, err := r.next()
		if errors.Is(err, errEnded) {
			return nil
		}
		if err != nil {
			return err
		}
		if isSpace(c) || isDelimiter(c) {
			r.position--
			return nil
		}
	}
}

// brackets is a stack of open brackets, with a bit for each.
type brackets struct {
	depth int
	bits  []byte
}

func (b *brackets) push(isObject bool) {
	at, mask := b.depth/8, byte(1)<<(b.depth%8)
	if at == len(b.bits) {
		b.bits = append(b.bits, 0)
	}
	b.bits[at] &^= mask
	if isObject {
		b.bits[at] |= mask
	}
	b.depth++
}

// pop removes the last bracket. It returns false if that is of the other kind, or if there is none.
func (b *brackets) pop(isObject bool) bool {
	if b.depth == 0 {
		return false
	}
	b.depth--
	return (b.bits[b.depth/8]&(1<<(b.depth%8)) != 0) == isObject
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func isDelimiter(c byte) bool {
	switch c {
	case ',', ':', '"', '{', '}', '[', ']':
		return true
	default:
		return false
	}
}
