// Package eventstream cuts a text/event-stream into whole events.
//
// Only the blank line after an event makes it whole: what a server sent of an
// event before it stopped is never passed on.
package eventstream

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event; a server that sends more is not followed.
const maxEvent = 1 << 20

// Batch is a run of whole events.
type Batch struct {
	// Bytes are the events as they came, with their blank lines. They are
	// valid until the next call of Add.
	Bytes []byte
	// Events is how many they are.
	Events int
	// FirstID and LastID are the ids of the first and the last event that have one;
	// empty if none has.
	FirstID, LastID string
}

// name notes the id of the batch's next event.
func (b *Batch) name(id string) {
	if b.FirstID == "" {
		b.FirstID = id
	}
	b.LastID = id
}

// Splitter collects the bytes of one stream.
type Splitter struct {
	buf []byte
	// done is the start of the bytes that belong to no whole event yet.
	done int
	// after drops events whose id is a number up to it.
	after int64
}

// NewSplitter returns a splitter for a stream that goes on after the event
// lastID. Events up to it, by number, are dropped.
func NewSplitter(lastID string) *Splitter {
	return &Splitter{after: number(lastID)}
}

func number(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1 // not a number: nothing can be compared with it
	}
	return n
}

// Add takes bytes and returns the events that are whole with them.
func (s *Splitter) Add(data []byte) Batch {
	rest := copy(s.buf, s.buf[s.done:])
	s.buf = append(s.buf[:rest], data...)
	s.done = 0
	var b Batch
	kept := 0
	for {
		end := boundary(s.buf[s.done:])
		if end < 0 {
			break
		}
		event := s.buf[s.done : s.done+end]
		id, named := eventID(event)
		s.done += end
		if n := number(id); named && n >= 0 && n <= s.after {
			continue
		}
		kept += copy(s.buf[kept:], event)
		b.Events++
		if named {
			b.name(id)
		}
	}
	b.Bytes = s.buf[:kept]
	return b
}

// Rest tells whether bytes of an unfinished event are left.
func (s *Splitter) Rest() bool { return s.done < len(s.buf) }

// TooLong tells that an event has passed all bounds.
func (s *Splitter) TooLong() bool { return len(s.buf)-s.done > maxEvent }

// boundary returns the length of the first whole event with its blank line,
// or -1.
func boundary(data []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		switch {
		case at < len(data) && data[at] == '\n':
			return at + 1
		case at+1 < len(data) && data[at] == '\r' && data[at+1] == '\n':
			return at + 2
		}
	}
}

var idField = []byte("id:")

// eventID returns the value of an event's id field.
func eventID(event []byte) (id string, ok bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte{'\n'})
		event = rest
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
