package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/eventstream"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

// streamState is the part of a stream that the caller has received.
type streamState struct {
	// position is the caller's position in the stream.
	position eventstream.Position
	// mediaType is that of the response head sent to the caller.
	mediaType string
	// notResumable reports that no other server can continue from the position. The watchdog
	// reads it concurrently with the relay.
	notResumable atomic.Bool
	// version is the software version of the server that sent the first event; nil before that. The
	// watchdog reads it concurrently.
	version atomic.Pointer[string]
	// bound is set once the version is on record as the one that the stream is bound to.
	bound bool
	// tokens is the maximum number of tokens that the received events can contain.
	tokens int64
	// firstAt and lastAt are when the first and the last event were forwarded, and
	// longestPause is the longest time between two of them.
	firstAt, lastAt time.Time
	longestPause    time.Duration
}

// recordProgress records that events were forwarded.
func (s *streamState) recordProgress(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// copyHead sets the headers of the reply from a server's response.
func (c *call) copyHead(answer *upstream.Answer) {
	h := c.reply.w.Header()
	for name, values := range endToEndHeaders(answer.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := answer.Header[name]; !ok {
			h[name] = nil // keeps net/http from adding a header that the server did not send
		}
	}
}

// relayPlain forwards a response that is not a stream. Up to maxBufferedAnswer bytes it is
// read in full first, so that a truncated response never reaches the caller in part.
func (a *attempt) relayPlain(ctx context.Context, answer *upstream.Answer, wd *watchdog) disposition {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedAnswer))
	complete := err == nil
	unframed := errors.Is(err, upstream.ErrUnframed)
	switch {
	case !complete && !unframed:
		return a.endBroken(ctx, err)
	case unframed && len(body) == 0 && a.mayRepeat() && !a.isLast:
		return a.endBroken(ctx, err) // empty, and nothing shows that the body was meant to be empty
	}
	crashed, succeeded := a.endedWithServer(unframed)
	if crashed {
		return a.endBroken(ctx, err)
	}
	wd.stop() // the response can no longer be replaced by another
	a.copyHead(answer)
	if len(body) == maxBufferedAnswer && complete {
		return a.relayLarge(ctx, answer, body)
	}
	length := int64(lengthUnknown)
	if complete {
		length = a.contentLength(answer, body)
	}
	if !a.reply.begin(answer.StatusCode, length, complete) {
		return a.finish(failed, "second answer", placement.Neutral, errSecondAnswer)
	}
	if _, err := a.reply.Write(body); err != nil {
		return a.endCallerGone(err)
	}
	if !a.reply.end(complete) {
		return a.endCallerGone(errNotSent)
	}
	return a.endPlain(answer.StatusCode, succeeded)
}

// endedWithServer finds out, for a response that ended with its connection, whether its server has crashed, and
// whether the run may count as successful. Any other response was verified as complete by its framing.
func (a *attempt) endedWithServer(unframed bool) (crashed, succeeded bool) {
	if !unframed {
		return false, true
	}
	return a.poisonStatus().EndedWithServer(a.r.Context(), a.server)
}

var (
	// errSecondAnswer marks a response for a caller that has part of another one.
	errSecondAnswer = errors.New("another response to the caller has already begun")
	// errNotSent marks a reply whose last bytes could not be sent.
	errNotSent = errors.New("the end of the response could not be sent to the caller")
)

// contentLength returns the length announced to the caller for a response that was read in
// full.
func (a *attempt) contentLength(answer *upstream.Answer, body []byte) int64 {
	switch {
	case a.r.Method == http.MethodHead:
		return answer.ContentLength // the length of the body that a GET would return
	case !mayHaveBody(answer.StatusCode):
		return lengthUnknown
	default:
		return int64(len(body))
	}
}

// relayLarge forwards a large response as it arrives, after its first part was read into
// prefix.
func (a *attempt) relayLarge(ctx context.Context, answer *upstream.Answer, prefix []byte) disposition {
	if err := ctx.Err(); err != nil {
		return a.endBroken(ctx, err) // cancelled since the first part was read; nothing has begun yet
	}
	if !a.reply.begin(answer.StatusCode, answer.ContentLength, answer.Framed()) {
		return a.finish(failed, "second answer", placement.Neutral, errSecondAnswer)
	}
	buf := prefix
	var err error
	for {
		if _, writeErr := a.reply.Write(buf); writeErr != nil {
			return a.endCallerGone(writeErr)
		}
		if err != nil {
			break
		}
		if len(prefix) != relayBufferSize { // releases the first part
			prefix = make([]byte, relayBufferSize)
		}
		var n int
		n, err = answer.Read(prefix)
		buf = prefix[:n]
	}
	if err != io.EOF && !errors.Is(err, upstream.ErrUnframed) {
		return a.endBroken(ctx, err)
	}
	crashed, succeeded := a.endedWithServer(err != io.EOF)
	if crashed {
		return a.endBroken(ctx, err)
	}
	if !a.reply.end(err == io.EOF) {
		return a.endCallerGone(errNotSent)
	}
	return a.endPlain(answer.StatusCode, succeeded)
}

// relayBufferSize is what is held of a large response after its first part, for a caller that reads
// slowly.
const relayBufferSize = 32 << 10

// endPlain ends an attempt whose response was forwarded; succeeded reports whether its server certainly completed
// the run.
func (a *attempt) endPlain(status int, succeeded bool) disposition {
	a.outcome = result.OK
	if status >= http.StatusInternalServerError {
		a.outcome = result.BackendError // a server may return this status before it starts the request
	} else if succeeded {
		a.poisonStatus().RecordSuccess(a.service.Name)
	}
	return a.finish(served, "answered", outcomeForStatus(status), nil)
}

func (a *attempt) endCallerGone(err error) disposition {
	a.unobserved++
	a.outcome = result.CallerGone
	a.cause = err
	a.reply.abort()
	return a.finish(ended, "caller gone", placement.Neutral, err)
}

// relayStream forwards whole events as they arrive. The response head is sent with the first
// of them.
func (a *attempt) relayStream(ctx context.Context, answer *upstream.Answer, wd *watchdog) disposition {
	splitter := eventstream.NewSplitter(&a.stream.position)
	buf := make([]byte, readBufferSize)
	for {
		n, err := answer.Read(buf)
		batch, orderErr := splitter.Add(buf[:n])
		a.stream.notResumable.Store(!a.stream.position.Resumable())
		a.countTokens(batch.Events + batch.Repeated)
		if batch.Events > 0 {
			a.record.addEvents(batch)
			a.recordPromptRead()
			wd.recordProgress()
		}
		if len(batch.Bytes) > 0 {
			if writeErr := a.writeEvents(answer, batch); writeErr != nil {
				return a.endCallerGone(writeErr)
			}
		}
		if orderErr != nil {
			a.unobserved++
			return a.finish(failed, "out of order", placement.Failed, orderErr)
		}
		atEnd := err == io.EOF || errors.Is(err, upstream.ErrUnframed)
		switch {
		case atEnd:
			return a.endStream(ctx, answer, splitter.End(), err == io.EOF)
		case err == nil && splitter.TooLong():
			a.unobserved++
			return a.finish(failed, "broken", placement.Failed, eventstream.ErrUnfinished)
		case err != nil:
			return a.endBroken(ctx, err)
		}
	}
}

// readBufferSize matches the buffer of a connection.
const readBufferSize = 4 << 10

// writeEvents writes whole events to the caller.
func (a *attempt) writeEvents(answer *upstream.Answer, batch eventstream.Batch) error {
	a.startStream(answer)
	if batch.Events > 0 {
		a.bindVersion()
		a.recordEventTiming(batch.Events)
	}
	if _, err := a.reply.Write(batch.Bytes); err != nil {
		return err
	}
	return a.reply.flush()
}

// recordEventTiming records that this many events arrived now.
func (a *attempt) recordEventTiming(events int) {
	now := clock.Now()
	if a.lastEventAt.IsZero() {
		a.g.Servers.RecordFirstEvent(a.server.Incarnation(), a.newTokens, a.firstEventWait(now))
	} else {
		a.g.Servers.RecordEventInterval(a.server.Incarnation(), now.Sub(a.lastEventAt)/time.Duration(events))
	}
	a.lastEventAt = now
	a.stream.recordProgress(now)
}

// firstEventWait returns how long the server took to its first event; 0 while the router's own link is
// saturated, which delays the events of all servers.
func (a *attempt) firstEventWait(now time.Time) time.Duration {
	if a.g.linkSaturated() {
		return 0
	}
	return now.Sub(a.sentAt)
}

// countTokens adds the maximum number of tokens that this many events can contain.
func (a *attempt) countTokens(events int) {
	if a.service.Engine != nil {
		a.stream.tokens += int64(events) * a.service.Engine.EventTokens
	}
}

// startStream sends the response head of the stream's first server, once.
func (a *attempt) startStream(answer *upstream.Answer) {
	if a.reply.hasBegun() {
		return
	}
	a.copyHead(answer)
	a.stream.mediaType = mediaType(answer.Header)
	a.reply.begin(answer.StatusCode, lengthUnknown, answer.Framed())
}

// mediaType returns the media type of a response's body without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// continuesStream reports whether a response can continue the stream that the caller has
// partly received.
func (c *call) continuesStream(answer *upstream.Answer) bool {
	return c.route.Kind == catalog.Stream && answer.StatusCode == http.StatusOK && mediaType(answer.Header) == c.stream.mediaType
}

// endStream ends the stream for the caller. A reply with framing of its own is ended only if
// the end of the server's response was verified (complete). A stream that began at a server
// with framing and continued at one without has no verified end and is treated as truncated.
func (a *attempt) endStream(ctx context.Context, answer *upstream.Answer, endErr error, complete bool) disposition {
	if endErr != nil { // the segment ended inside an event, or not where the caller's stream ends
		return a.endBroken(ctx, endErr)
	}
	if !complete && a.record.events == 0 { // no event, and nothing shows that there was none
		return a.endBroken(ctx, upstream.ErrUnframed)
	}
	crashed, succeeded := a.endedWithServer(!complete)
	if crashed {
		return a.endBroken(ctx, upstream.ErrUnframed)
	}
	a.startStream(answer)
	if !a.reply.end(complete) {
		return a.endBroken(ctx, upstream.ErrUnframed)
	}
	if succeeded {
		a.poisonStatus().RecordSuccess(a.service.Name)
	}
	if !complete {
		a.countTokens(1) // a server that crashed may have generated one event that it did not send
	}
	a.outcome = result.OK
	return a.finish(served, "answered", placement.Answered, nil)
}
