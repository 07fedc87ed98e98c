// Package eventstream splits a text/event-stream into whole events.
//
// An event is whole only with the blank line that ends it: an event that a server sent in part
// before it stopped is never forwarded.
package eventstream

import (
	"bytes"
	"errors"
)

// maxEvent bounds the size of an incomplete event in bytes; a server that exceeds it fails the
// attempt.
const maxEvent = 1 << 20

// Batch is a sequence of whole events.
type Batch struct {
	// Bytes holds the events as received, with their blank lines. It is valid until the next
	// call of Add.
	Bytes []byte
	// Events is the number of events, not counting comments and stream settings.
	Events int
	// Repeated is the number of events that were dropped because the caller already has them.
	Repeated int
	// FirstID and LastID are the ids of the first and the last event that have one; empty if
	// none has.
	FirstID, LastID string
}

// addID records the id of the batch's next event.
func (b *Batch) addID(id string) {
	if b.FirstID == "" {
		b.FirstID = id
	}
	b.LastID = id
}

// Splitter splits one segment of a stream, the events that one server sends, into whole
// events.
type Splitter struct {
	buf []byte
	// consumed is the offset in buf of the bytes that are not yet part of a whole event.
	consumed int
	// position is the caller's position, and segment the state of this segment.
	position *Position
	segment  segment
}

// NewSplitter returns a splitter for a segment that continues at a position. Add advances the
// position.
func NewSplitter(position *Position) *Splitter {
	return &Splitter{position: position, segment: segment{continues: !position.forwarded}}
}

// Add appends data and returns the events that it completes, without those that the caller
// already has. The error wraps ErrOutOfOrder; the batch then holds the whole events before the
// failure, and Add must not be called again.
func (s *Splitter) Add(data []byte) (Batch, error) {
	n := copy(s.buf, s.buf[s.consumed:])
	s.buf = append(s.buf[:n], data...)
	s.consumed = 0
	var b Batch
	kept := 0
	for {
		end := eventLength(s.buf[s.consumed:])
		if end < 0 {
			break
		}
		text := s.buf[s.consumed : s.consumed+end]
		e := parseEvent(text)
		action, err := s.position.accept(e, &s.segment)
		if err != nil {
			b.Bytes = s.buf[:kept]
			return b, err
		}
		s.consumed += end
		if action == drop {
			b.Repeated++
			continue
		}
		kept += copy(s.buf[kept:], text)
		if !e.isControl() {
			b.Events++
		}
		if e.hasID {
			b.addID(e.id)
		}
	}
	b.Bytes = s.buf[:kept]
	return b, nil
}

// End must be called at the end of the segment. It returns ErrUnfinished or an error that
// wraps ErrOutOfOrder if the caller does not have a complete stream at that point.
func (s *Splitter) End() error {
	if s.consumed < len(s.buf) {
		return ErrUnfinished
	}
	return s.position.end(&s.segment)
}

// ErrUnfinished marks a segment that ended inside an event.
var ErrUnfinished = errors.New("the stream ended inside an event")

// TooLong reports whether the incomplete event exceeds maxEvent.
func (s *Splitter) TooLong() bool { return len(s.buf)-s.consumed > maxEvent }

// eventLength returns the length of the first whole event including its blank line, or -1 if
// there is none.
func eventLength(data []byte) int {
	for pos := 0; ; {
		i := bytes.IndexByte(data[pos:], '\n')
		if i < 0 {
			return -1
		}
		pos += i + 1
		switch {
		case pos < len(data) && data[pos] == '\n':
			return pos + 1
		case pos+1 < len(data) && data[pos] == '\r' && data[pos+1] == '\n':
			return pos + 2
		}
	}
}

// event holds the parsed fields of an event.
type event struct {
	id      string
	hasID   bool
	hasData bool
}

// isControl reports whether the event is only a comment or a stream setting.
func (e *event) isControl() bool { return !e.hasData && !e.hasID }

// The event fields that are parsed.
var (
	idField   = []byte("id")
	dataField = []byte("data")
)

// parseEvent parses the fields of an event. The field name ends at the first colon.
func parseEvent(text []byte) event {
	var e event
	for len(text) > 0 {
		line, rest, _ := bytes.Cut(text, []byte{'\n'})
		text = rest
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		switch {
		case bytes.Equal(name, idField): // the last id field applies
			e.id, e.hasID = string(bytes.TrimSpace(value)), true
		case bytes.Equal(name, dataField):
			e.hasData = true
		}
	}
	return e
}
