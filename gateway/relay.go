package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

// streamState is what the caller has of a stream.
type streamState struct {
	// lastID is the id of the last event passed on.
	lastID string
	// tokens is the most that the events received can hold.
	tokens int64
	// first and last are when the first and the last event were passed on, and
	// pause is the longest time between two of them.
	first, last time.Time
	pause       time.Duration
}

// progressed notes that events were passed on.
func (s *streamState) progressed(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.pause = max(s.pause, now.Sub(s.last))
	}
	s.last = now
}

// headSent notes that the head of an answer goes to the caller. Only the first head
// does; the status of a later one is known to the router alone.
func (c *call) headSent(status int) {
	if !c.answered {
		c.headStatus = status
	}
	c.answered = true
	c.status = status
}

// copyHead sets the headers of a server's answer.
func (c *call) copyHead(answer *upstream.Answer) {
	h := c.w.Header()
	for name, values := range passed(answer.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := answer.Header[name]; !ok {
			h[name] = nil // net/http must not add what the server did not send
		}
	}
}

// relayPlain passes an answer on that is no stream. Up to a size it is read
// whole first, so that one that breaks off never reaches the caller in part.
func (a *attempt) relayPlain(ctx context.Context, answer *upstream.Answer) verdict {
	body, err := io.ReadAll(io.LimitReader(answer, wholeAnswer))
	if err != nil {
		return a.broken(ctx, err)
	}
	a.headSent(answer.StatusCode)
	a.copyHead(answer)
	h := a.w.Header()
	switch {
	case a.r.Method == http.MethodHead:
		h["Content-Length"] = answer.Header["Content-Length"]
	case len(body) < wholeAnswer && hasBody(answer.StatusCode):
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.w.WriteHeader(answer.StatusCode)
	if _, err := a.w.Write(body); err != nil {
		return a.callerLeft(err)
	}
	if len(body) == wholeAnswer {
		if _, err := io.Copy(a.w, answer); err != nil {
			a.abort()
			return a.callerLeft(err)
		}
	}
	return a.servedPlain(answer.StatusCode)
}

// hasBody tells whether an answer with that status may have a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *attempt) servedPlain(status int) verdict {
	a.outcome = result.OK
	judged := placement.Answered
	if status >= http.StatusInternalServerError {
		a.outcome = result.BackendError
		judged = placement.Failed
	}
	return a.end(served, "answered", judged, nil)
}

func (a *attempt) callerLeft(err error) verdict {
	a.unseen++
	a.outcome = result.CallerGone
	a.cause = err
	return a.end(ended, "caller gone", placement.Neutral, err)
}

// errUnfinished marks a stream that ended inside an event.
var errUnfinished = errors.New("the stream ended inside an event")

// relayStream passes whole events on as they arrive. The head goes out with
// the first of them.
func (a *attempt) relayStream(ctx context.Context, answer *upstream.Answer, patience *watchdog) verdict {
	splitter := eventstream.NewSplitter(a.resumePoint())
	buf := make([]byte, readChunk)
	for {
		n, err := answer.Read(buf)
		batch := splitter.Add(buf[:n])
		if batch.Events > 0 {
			a.note.passed(batch)
			a.promptRead()
			patience.progressed()
			if writeErr := a.pass(answer, batch); writeErr != nil {
				return a.callerLeft(writeErr)
			}
		}
		switch {
		case err == io.EOF && !splitter.Rest():
			return a.streamEnded(answer)
		case err == io.EOF, err == nil && splitter.TooLong():
			a.unseen++
			return a.end(failed, "broken", placement.Failed, errUnfinished)
		case err != nil:
			return a.broken(ctx, err)
		}
	}
}

// readChunk is as much as a connection's buffer holds.
const readChunk = 4 << 10

// resumePoint is the event after which the stream goes on for the caller.
func (a *attempt) resumePoint() string {
	if a.stream.lastID != "" {
		return a.stream.lastID
	}
	return a.LastEvent
}

// pass writes whole events to the caller.
func (a *attempt) pass(answer *upstream.Answer, batch eventstream.Batch) error {
	a.startStream(answer)
	now := time.Now()
	if !a.eventAt.IsZero() {
		a.g.Servers.Paced(a.server.ID, now.Sub(a.eventAt)/time.Duration(batch.Events))
	}
	a.eventAt = now
	a.stream.progressed(now)
	if batch.LastID != "" {
		a.stream.lastID = batch.LastID
	}
	if a.service.Engine != nil {
		a.stream.tokens += int64(batch.Events) * a.service.Engine.EventTokens
	}
	if _, err := a.w.Write(batch.Bytes); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// startStream sends the head of the stream's first server, once.
func (a *attempt) startStream(answer *upstream.Answer) {
	if a.answered {
		return
	}
	a.headSent(answer.StatusCode)
	a.copyHead(answer)
	a.w.WriteHeader(answer.StatusCode)
}

func (a *attempt) streamEnded(answer *upstream.Answer) verdict {
	a.startStream(answer)
	a.outcome = result.OK
	return a.end(served, "answered", placement.Answered, nil)
}
