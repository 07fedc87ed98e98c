// Package rawjson reads JSON as a stream and decodes nothing that its caller doesn't ask for.
//
// encoding/json checks a whole document before it decodes any part of it, so that a value which it
// rejects, such as one nested too deeply, makes the whole document unreadable. A Reader finds the
// bounds of values by their brackets and strings alone, at any depth and without recursion, and the
// caller decodes each value by itself.
package rawjson

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
	// maxNameBytes is the maximum size of a field's name. A field with a longer name has none.
	maxNameBytes = 1 << 10
)

var (
	// ErrSyntax reports a document whose values cannot be told apart, or that ends early.
	ErrSyntax = errors.New("rawjson: syntax error")
	// ErrTooLong reports a value that is larger than the caller's limit. It has been skipped.
	ErrTooLong = errors.New("rawjson: value is too long")
)

// Kind is the kind of a value.
type Kind int

// The kinds. A Scalar is a number, a literal or malformed.
const (
	Scalar Kind = iota
	Object
	Array
	String
)

// Reader reads one document. After an error other than ErrTooLong it is of no further use.
type Reader struct {
	in *bufio.Reader
	// open are the brackets that are open in the value that is being read.
	open brackets
	// text holds the value that is being read, up to limit bytes; size counts all of its bytes.
	text        []byte
	limit, size int
}

// NewReader returns a reader of the document in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes)}
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
	if _, err := r.peek(); err != nil {
		return nil, err
	}
	r.text, r.limit, r.size = r.text[:0], limit, 0
	if err := r.scan(); err != nil {
		return nil, err
	}
	if r.size > limit {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", ErrTooLong, r.size, limit)
	}
	return bytes.Clone(r.text), nil
}

// Skip skips the next value.
func (r *Reader) Skip() error {
	_, err := r.Value(0)
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
	text, err := r.Value(maxNameBytes)
	if errors.Is(err, ErrTooLong) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	var name string
	if json.Unmarshal(text, &name) != nil {
		return "", nil // matches no field that a caller looks for
	}
	return name, nil
}

// sequence reads members that are separated by commas between two brackets.
func (r *Reader) sequence(open, end byte, member func() error) error {
	if err := r.expect(open); err != nil {
		return err
	}
	c, err := r.peek()
	if err != nil {
		return err
	}
	if c == end {
		return r.expect(end)
	}
	for {
		if err := member(); err != nil {
			return err
		}
		c, err := r.peek()
		if err != nil {
			return err
		}
		if c == end {
			return r.expect(end)
		}
		if err := r.expect(','); err != nil {
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
			return c, r.in.UnreadByte()
		}
	}
}

// errEnded reports a document that ends early.
var errEnded = fmt.Errorf("%w: unexpected end", ErrSyntax)

func (r *Reader) next() (byte, error) {
	c, err := r.in.ReadByte()
	if errors.Is(err, io.EOF) {
		return 0, errEnded
	}
	return c, err
}

// scan reads a value whose first byte is next.
func (r *Reader) scan() error {
	r.open = brackets{bits: r.open.bits[:0]}
	for {
		c, err := r.nextOfValue()
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
		c, err := r.nextOfValue()
		if err != nil || c == '"' {
			return err
		}
		if c != '\\' {
			continue
		}
		if _, err := r.nextOfValue(); err != nil {
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
			return r.in.UnreadByte()
		}
		r.keep(c)
	}
}

// nextOfValue reads a byte of the value.
func (r *Reader) nextOfValue() (byte, error) {
	c, err := r.next()
	if err == nil {
		r.keep(c)
	}
	return c, err
}

func (r *Reader) keep(c byte) {
	r.size++
	if r.size <= r.limit {
		r.text = append(r.text, c)
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
