// Package eventstream cuts a text/event-stream into whole events.
//
// Only the blank line after an event makes it whole: what a server sent of an
// event before it stopped is never passed on.
package eventstream

import (
	"bytes"
	"errors"
)

// maxEvent bounds one event; a server that sends more is not followed.
const maxEvent = 1 << 20

// Batch is a run of whole events.
type Batch struct {
	// Bytes are the events as they came, with their blank lines. They are
	// valid until the next call of Add.
	Bytes []byte
	// Events is how many they are, without comments and settings of the stream.
	Events int
	// Repeated is how many events were left out, since the caller has them.
	Repeated int
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

// Splitter collects the bytes of one run of events.
type Splitter struct {
	buf []byte
	// done is the start of the bytes that belong to no whole event yet.
	done int
	// at is where the caller is, and run what is known of this run.
	at  *Position
	run run
}

// NewSplitter returns a splitter for a run that goes on from a position, which it
// moves.
func NewSplitter(at *Position) *Splitter {
	return &Splitter{at: at, run: run{joined: !at.passed}}
}

// Add takes bytes and returns the events that are whole with them. Those that the
// caller has already are left out. The error is an ErrOrder; what was whole and in
// order before it is in the batch, and nothing more may be added.
func (s *Splitter) Add(data []byte) (Batch, error) {
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
		text := s.buf[s.done : s.done+end]
		e := parse(text)
		what, err := s.at.place(e, &s.run)
		if err != nil {
			b.Bytes = s.buf[:kept]
			return b, err
		}
		s.done += end
		if what == drop {
			b.Repeated++
			continue
		}
		kept += copy(s.buf[kept:], text)
		if !e.isControl() {
			b.Events++
		}
		if e.named {
			b.name(e.id)
		}
	}
	b.Bytes = s.buf[:kept]
	return b, nil
}

// End is called when the run is over. It returns ErrUnfinished or an ErrOrder if the
// caller does not have a whole stream then.
func (s *Splitter) End() error {
	if s.done < len(s.buf) {
		return ErrUnfinished
	}
	return s.at.end(&s.run)
}

// ErrUnfinished marks a run that ended inside an event.
var ErrUnfinished = errors.New("the stream ended inside an event")

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

// event is what is read of one event.
type event struct {
	id      string
	named   bool
	hasData bool
}

// isControl tells a comment or a setting of the stream from an event.
func (e *event) isControl() bool { return !e.hasData && !e.named }

// The fields of an event that are read.
var (
	idField   = []byte("id")
	dataField = []byte("data")
)

// parse reads the fields of an event. A field is named up to the first colon.
func parse(text []byte) event {
	var e event
	for len(text) > 0 {
		line, rest, _ := bytes.Cut(text, []byte{'\n'})
		text = rest
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		switch {
		case bytes.Equal(name, idField): // the last one counts
			e.id, e.named = string(bytes.TrimSpace(value)), true
		case bytes.Equal(name, dataField):
			e.hasData = true
		}
	}
	return e
}
