package gateway

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/upstream"
)

// attemptRecord is the log record of one attempt: the server's response, how the end of that
// response could be verified, and what was forwarded. Together the records of a request show
// whether the response that its caller received was verified as complete.
type attemptRecord struct {
	server  string
	outcome string
	// version is that of the server's software.
	version string
	after   time.Duration
	// registrationAge is the staleness of the server registrations before the first byte
	// was sent, measured from the store's response; below 0: unknown.
	registrationAge time.Duration
	// status is 0 if no response head arrived.
	status int
	// router is the router through which the server was reached; empty if directly.
	router string
	// framed reports that the response's own framing marks its end.
	framed bool
	// leaving reports that the response announced that the server is leaving.
	leaving bool
	// backoff is the time for which the response asks for no further requests; 0: none.
	backoff time.Duration
	// events is the number of events forwarded, and firstID and lastID are the ids of the
	// first and the last of them.
	events          int
	firstID, lastID string
}

// unknownAge marks an unknown staleness.
const unknownAge = -1

// recordRegistrationAge records the staleness of the server registrations.
func (a *attempt) recordRegistrationAge() {
	if a.g.RegistrationAge == nil {
		return
	}
	a.record.registrationAge = a.g.RegistrationAge()
	a.g.Metrics.registrationAge(a.record.registrationAge)
}

// setAnswer records the head of the server's response.
func (n *attemptRecord) setAnswer(answer *upstream.Answer) {
	n.status = answer.StatusCode
	n.framed = answer.Framed()
	n.router = answer.Router()
}

// addEvents records events that are forwarded to the caller.
func (n *attemptRecord) addEvents(batch eventstream.Batch) {
	if n.events == 0 {
		n.firstID = batch.FirstID
	}
	n.events += batch.Events
	if batch.LastID != "" {
		n.lastID = batch.LastID
	}
}

// String formats the record as an entry of the log line's attempts field, such as
//
//	s1 broken (unexpected EOF) 1.213s, version v1, servers as of 310ms before, status 200 framed, 12 events 1..12
func (n *attemptRecord) String() string {
	var b strings.Builder
	b.WriteString(n.server + " " + n.outcome + " " + n.after.Round(time.Millisecond).String() + ", version " + n.version)
	if n.registrationAge >= 0 {
		b.WriteString(", servers as of " + n.registrationAge.Round(time.Millisecond).String() + " before")
	}
	if n.router != "" {
		b.WriteString(", through " + n.router)
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
	if n.leaving {
		b.WriteString(", server leaving")
	}
	if n.backoff > 0 {
		b.WriteString(", backoff " + n.backoff.Round(time.Millisecond).String())
	}
	if n.events > 0 {
		b.WriteString(", " + strconv.Itoa(n.events) + " events " + n.firstID + ".." + n.lastID)
	}
	return b.String()
}

// attemptRecords encodes the attempts of a request for the log.
type attemptRecords []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (records attemptRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range records {
		enc.AppendString(records[i].String())
	}
	return nil
}
