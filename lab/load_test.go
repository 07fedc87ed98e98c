package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gaplink/gaplink/backend"
)

// runJob sends a job to a router that answers the first try with first and any other try
// correctly. It returns the report and the sum of the figures that must be 0. Cut streams
// are permitted, as after a kill.
func runJob(t *testing.T, j job, first http.HandlerFunc) (report Report, bad int64) {
	t.Helper()
	var tries atomic.Int64
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if tries.Add(1) == 1 {
			first(w, r)
			return
		}
		answerCorrectly(w, j)
	}))
	t.Cleanup(web.Close)
	s := newSender(loadSpec{
		workers: 1,
		routers: []string{web.Listener.Addr().String()},
		mayCut:  func(string) bool { return true },
	}, map[string]int64{})
	d := &demoRun{}
	d.count(s.run([]job{j}))
	for _, n := range d.report.mustBeZero() {
		bad += n
	}
	return d.report, bad
}

func answerCorrectly(w http.ResponseWriter, j job) {
	text, _ := backend.Answer(j.prompt(), j.maxTokens)
	if !j.stream {
		writeChat(w, text)
		return
	}
	writeEvents(w, text)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func writeChat(w http.ResponseWriter, text string) {
	var answer wholeAnswer
	answer.Choices = append(answer.Choices, struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	}{})
	answer.Choices[0].Message.Content = text
	_ = json.NewEncoder(w).Encode(answer)
}

func writeEvents(w http.ResponseWriter, text string) {
	for _, word := range strings.SplitAfter(text, " ") {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	_ = http.NewResponseController(w).Flush()
}

// Guards against taking a stream that a router ended early with a valid last chunk for a
// cut stream, which is permitted while cuts are expected: the sender looked only for the
// end marker and not at how the HTTP framing ended, so the demo did not report it.
func TestSenderDetectsFalseEnds(t *testing.T) {
	stream := job{nonce: "n1", maxTokens: 40, stream: true}
	whole := job{nonce: "n1", maxTokens: 40}
	text, _ := backend.Answer(stream.prompt(), stream.maxTokens)
	half := text[:strings.Index(text[len(text)/2:], " ")+len(text)/2+1]
	done := func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }
	cases := []struct {
		name  string
		job   job
		first func(w http.ResponseWriter)
		bad   bool
	}{
		{"whole", stream, func(w http.ResponseWriter) { writeEvents(w, text); done(w) }, false},
		{"broken off", stream, func(w http.ResponseWriter) { writeEvents(w, half); panic(http.ErrAbortHandler) }, false},
		{"broken off, first event missing", stream, func(w http.ResponseWriter) {
			writeEvents(w, half[strings.Index(half, " ")+1:])
			panic(http.ErrAbortHandler)
		}, true},
		{"last chunk, half", stream, func(w http.ResponseWriter) { writeEvents(w, half) }, true},
		{"last chunk, half, with an error event", stream, func(w http.ResponseWriter) {
			writeEvents(w, half)
			_, _ = io.WriteString(w, "event: error\ndata: {}\n\n")
		}, true},
		{"last chunk, nothing", stream, func(w http.ResponseWriter) { writeEvents(w, "") }, true},
		{"end marker, half", stream, func(w http.ResponseWriter) { writeEvents(w, half); done(w) }, true},
		{"chat, whole", whole, func(w http.ResponseWriter) { writeChat(w, text) }, false},
		{"chat, half", whole, func(w http.ResponseWriter) { writeChat(w, half) }, true},
		{"chat, cut JSON framed as whole", whole, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"choices":[{"mes`) }, true},
		{"chat, cut", whole, func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"choices"`)
			panic(http.ErrAbortHandler)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, bad := runJob(t, c.job, func(w http.ResponseWriter, _ *http.Request) { c.first(w) })
			if c.bad != (bad > 0) {
				t.Errorf("%d figures are not 0: %+v", bad, r)
			}
		})
	}
}
