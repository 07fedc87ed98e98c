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

// judged sends a job once to a router that answers its first try so, and any
// other try well, and returns the figures that decide the demo's exit code.
// Cuts are excused, as after a kill.
func judged(t *testing.T, j job, first http.HandlerFunc) (report Report, bad int64) {
	t.Helper()
	var tries atomic.Int64
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if tries.Add(1) == 1 {
			first(w, r)
			return
		}
		answerWell(w, j)
	}))
	t.Cleanup(web.Close)
	s := newSender(loadSpec{
		workers: 1,
		routers: []string{web.Listener.Addr().String()},
		killed:  func(string) bool { return true },
	}, map[string]int64{})
	d := &demoRun{}
	d.count(s.run([]job{j}))
	for _, n := range d.report.mustBeZero() {
		bad += n
	}
	return d.report, bad
}

func answerWell(w http.ResponseWriter, j job) {
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

// TestSenderJudgesFalseEnds: a router that ended a stream early with a proper
// last chunk was counted like one that was cut, and excused while cuts are
// expected, so that no demo would have told of it. The sender looked for the end
// marker and never at how HTTP's framing ended.
func TestSenderJudgesFalseEnds(t *testing.T) {
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
			r, bad := judged(t, c.job, func(w http.ResponseWriter, _ *http.Request) { c.first(w) })
			if c.bad != (bad > 0) {
				t.Errorf("%d figures are not 0: %+v", bad, r)
			}
		})
	}
}
