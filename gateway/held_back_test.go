package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

// Guards against a request that is sent to a server although a verdict on it has become known since it was admitted: while it
// waited for a connection or for room, or after a server that did not take it.
func TestVerdictIsAskedForAgainBeforeEachSend(t *testing.T) {
	known := registryWith("s")
	a := &attempt{
		call: &call{
			g: &Gateway{Options: Options{
				Protocol: unsigned{},
				Servers:  known,
				Verdicts: verdicts.New(verdicts.Options{Checker: upstream.New(upstream.Options{}), Servers: known, Log: zap.NewNop()}),
			}},
			r:        httptest.NewRequest("POST", "/stream/x", nil),
			route:    &catalog.Route{Kind: catalog.Stream},
			service:  &catalog.Service{Name: "llm"},
			deadline: time.Now().Add(time.Minute),
		},
		server: placement.Server{ID: "s"},
	}
	if refusal := a.admitRun(); refusal != nil || !a.maySend() {
		t.Fatalf("the request is not admitted: %v", refusal)
	}
	v := poison.Verdict{Request: a.identity().Fingerprint(), Number: 1, Service: "llm", Remaining: time.Minute}
	a.g.Verdicts.Receive(poison.Report{Verdicts: []poison.Verdict{v}})
	if a.maySend() {
		t.Error("the request is sent on a connection that it waited for")
	}
	if refusal := a.admitRun(); refusal == nil || refusal.Code != result.HeldBack {
		t.Errorf("the request goes on to another server: %v", refusal)
	}
	a.mayHaveRun = true
	if refusal := a.admitRun(); refusal == nil || refusal.Code != result.BackendCut {
		t.Errorf("a request that may have run is refused as one that has not: %v", refusal)
	}
}
