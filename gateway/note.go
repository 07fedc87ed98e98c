package gateway

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/upstream"
)

// attemptNote is what the log tells of one attempt: what the server answered, how
// the end of that answer could be known, and what of it was passed on. Together
// the notes of a request tell whether what its caller got was proved to be whole.
type attemptNote struct {
	server  string
	verdict string
	after   time.Duration
	// known is how old what was known of the servers was before the first byte went
	// out, counted from the store's answer; below 0: that is not known.
	known time.Duration
	// status is 0 if no head came.
	status int
	// framed tells that the answer's own framing proves its end.
	framed bool
	// events were passed on, the first and the last of them with these ids.
	events          int
	firstID, lastID string
}

// unknownAge stands for an age that is not known.
const unknownAge = -1

// noteAge notes how old what is known of the servers is.
func (a *attempt) noteAge() {
	if a.g.ServersAge == nil {
		return
	}
	a.note.known = a.g.ServersAge()
	a.g.Metrics.serversAge(a.note.known)
}

// answered notes the head of the server's answer.
func (n *attemptNote) answered(answer *upstream.Answer) {
	n.status = answer.StatusCode
	n.framed = answer.Framed()
}

// passed notes events on their way to the caller.
func (n *attemptNote) passed(batch eventstream.Batch) {
	if n.events == 0 {
		n.firstID = batch.FirstID
	}
	n.events += batch.Events
	if batch.LastID != "" {
		n.lastID = batch.LastID
	}
}

// String is one entry of the log line's list, such as
//
//	s1 broken (unexpected EOF) 1.213s, servers as of 310ms before, status 200 framed, 12 events 1..12
func (n *attemptNote) String() string {
	var b strings.Builder
	b.WriteString(n.server + " " + n.verdict + " " + n.after.Round(time.Millisecond).String())
	if n.known >= 0 {
		b.WriteString(", servers as of " + n.known.Round(time.Millisecond).String() + " before")
	}
	if n.status == 0 {
		return b.String()
	}
	b.WriteString(", status " + strconv.Itoa(n.status))
	if n.framed {
		b.WriteString(" framed")
	} else {
		b.WriteString(" unframed")
	}
	if n.events > 0 {
		b.WriteString(", " + strconv.Itoa(n.events) + " events " + n.firstID + ".." + n.lastID)
	}
	return b.String()
}

// attemptNotes writes the attempts into a log line.
type attemptNotes []attemptNote

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (notes attemptNotes) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range notes {
		enc.AppendString(notes[i].String())
	}
	return nil
}
