package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/filter/forward"
	"github.com/gaplink/gaplink/metrics"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/upstream"
)

// oneServer is a Routes that always picks the same backend server.
type oneServer struct{ addr string }

func (s oneServer) Pick(route.Request) (route.Choice, bool) {
	return route.Choice{Server: table.Server{ID: "e", Addr: s.addr}}, true
}
func (oneServer) Started(string)        {}
func (oneServer) Finished(string, bool) {}
func (oneServer) Load(string, float64)  {}
func (oneServer) ReportLeaving(string)  {}

func (oneServer) BackOff(string, time.Duration) {}

// noneDraining reports every server as accepting requests.
type noneDraining struct{}

func (noneDraining) AcceptsRequests(placement.Incarnation) bool { return true }

func (noneDraining) Crashed(placement.Incarnation) {}

type emptyConfig struct{}

func (emptyConfig) State() *table.State { return table.NewState() }

// newHandler returns a handler that makes one attempt for each request.
func newHandler(t *testing.T, routes forward.Routes) *forward.Handler {
	t.Helper()
	client := engine.NewClient()
	t.Cleanup(client.Close)
	v := verdicts.New(verdicts.Options{Checker: upstream.New(upstream.Options{}), Servers: noneDraining{}, Log: zap.NewNop()})
	return forward.New(emptyConfig{}, routes, client, v, metrics.New(), rand.New(rand.NewPCG(1, 1)), forward.Options{Attempts: 1, Retries: retry.NewBudgets(time.Now(), func() retry.Limits { return retry.Limits{} })})
}

// serveModel sends a model request to a server that streams these choices, one per event,
// and the end marker. It returns the response body and the result code.
func serveModel(t *testing.T, stream bool, choices ...string) (body string, code result.Code) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(engine.HeaderAttempt)
		w.Header().Set(engine.HeaderAttempt, id)
		for _, c := range choices {
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[%s]}\n\n", id, c)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	h := newHandler(t, oneServer{server.Listener.Addr().String()})
	recorder := httptest.NewRecorder()
	x := &filter.Exchange{ID: "x", W: recorder, R: httptest.NewRequest(http.MethodPost, "/", nil), Kind: table.Model, Target: "m", MaxTokens: 50, Stream: stream, Body: []byte(`{}`), Log: zap.NewNop()}
	if err := h.Serve(context.Background(), x); err != nil {
		var e *result.Error
		if !errors.As(err, &e) {
			t.Fatal(err)
		}
		return recorder.Body.String(), e.Code
	}
	if err := x.Finish(); err != nil {
		t.Fatal(err)
	}
	return recorder.Body.String(), result.OK
}

func choiceDelta(choice int, delta, finish string) string {
	reason := "null"
	if finish != "" {
		reason = fmt.Sprintf("%q", finish)
	}
	return fmt.Sprintf(`{"index":%d,"delta":%s,"finish_reason":%s}`, choice, delta, reason)
}

// TestEveryChoiceNeedsAFinishReason guards against treating a response with several choices
// as complete when only the first has finished, and against merging the texts of all
// choices into one in a non-streamed response. Both occur if only the first choice of an
// event is read and its index is ignored.
func TestEveryChoiceNeedsAFinishReason(t *testing.T) {
	a, b := choiceDelta(0, `{"role":"assistant","content":"a "}`, ""), choiceDelta(1, `{"content":"b "}`, "")
	endA, endB := choiceDelta(0, `{}`, "stop"), choiceDelta(1, `{"content":"c "}`, "length")
	for _, stream := range []bool{true, false} {
		if body, code := serveModel(t, stream, a, b, endA); code != result.BackendCut || strings.Contains(body, "[DONE]") {
			t.Errorf("stream %t, second choice unfinished: %v, %s", stream, code, body)
		}
		if body, code := serveModel(t, stream, a, a+","+b, endA); code != result.BackendCut {
			t.Errorf("stream %t, second choice in an event of two unfinished: %v, %s", stream, code, body)
		}
	}
	body, code := serveModel(t, false, a, b, endA, endB)
	for _, want := range []string{
		`{"index":0,"message":{"role":"assistant","content":"a "},"finish_reason":"stop"}`,
		`{"index":1,"message":{"role":"assistant","content":"b c "},"finish_reason":"length"}`,
	} {
		if code != result.OK || !strings.Contains(body, want) {
			t.Errorf("%v, %s lacks %s", code, body, want)
		}
	}
	if body, code := serveModel(t, true, a, b, endA, endB); code != result.OK || strings.Count(body, "data: ") != 5 {
		t.Errorf("streamed: %v, %s", code, body)
	}
}

// TestCompletionWithToolCallsFails guards against dropping tool calls from a
// non-streamed response, which then has the finish reason tool_calls but no calls. This
// occurs if only the text is accumulated.
func TestCompletionWithToolCallsFails(t *testing.T) {
	call := choiceDelta(0, `{"tool_calls":[{"index":0,"function":{"name":"f","arguments":"{}"}}]}`, "")
	if body, code := serveModel(t, false, call, choiceDelta(0, `{}`, "tool_calls")); code != result.BackendGarbage || body != "" {
		t.Errorf("whole: %v, %s", code, body)
	}
	if body, code := serveModel(t, true, call, choiceDelta(0, `{}`, "tool_calls")); code != result.OK || !strings.Contains(body, "tool_calls\":[{") {
		t.Errorf("streamed: %v, %s", code, body)
	}
	none := choiceDelta(0, `{"content":"a ","tool_calls":null,"function_call":null}`, "")
	empty := choiceDelta(0, `{"content":"b ","tool_calls":[]}`, "stop")
	if body, code := serveModel(t, false, none, empty); code != result.OK || !strings.Contains(body, `"content":"a b "`) {
		t.Errorf("no calls: %v, %s", code, body)
	}
}

// recordingRoutes records the backoffs and the ends of attempts.
type recordingRoutes struct {
	oneServer
	backoffs []time.Duration
	failures int
}

func (r *recordingRoutes) BackOff(_ string, asked time.Duration) {
	r.backoffs = append(r.backoffs, asked)
}

func (r *recordingRoutes) Finished(_ string, failed bool) {
	if failed {
		r.failures++
	}
}

// TestRefusalWithRetryAfterBacksOff guards against a Retry-After of a backend server that is
// ignored, or that counts as a failure for which the server is ejected.
func TestRefusalWithRetryAfterBacksOff(t *testing.T) {
	for _, c := range []struct {
		retryAfter string
		backoffs   []time.Duration
		failures   int
	}{
		{"2.5", []time.Duration{2500 * time.Millisecond}, 0},
		{"", nil, 1},
		{"soon", nil, 1},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderNotAccepted, "true")
			if c.retryAfter != "" {
				w.Header().Set("Retry-After", c.retryAfter)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(server.Close)
		routes := &recordingRoutes{oneServer: oneServer{server.Listener.Addr().String()}}
		h := newHandler(t, routes)
		x := &filter.Exchange{ID: "x", W: httptest.NewRecorder(), R: httptest.NewRequest(http.MethodPost, "/", nil), Kind: table.Model, Target: "m", MaxTokens: 50, Body: []byte(`{}`), Log: zap.NewNop()}
		var refusal *result.Error
		if err := h.Serve(context.Background(), x); !errors.As(err, &refusal) || refusal.Code != result.NotAccepted {
			t.Errorf("%q: %v", c.retryAfter, err)
		}
		if !slices.Equal(routes.backoffs, c.backoffs) || routes.failures != c.failures {
			t.Errorf("%q: backoffs %v, %d failures", c.retryAfter, routes.backoffs, routes.failures)
		}
	}
}
