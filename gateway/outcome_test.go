package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/result"
)

// A request whose handler panics has no result. The log, the metrics and the charge must not
// treat it as OK, which is the zero value of result.Code.
func TestPanicIsNotLoggedAsOK(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	g := &Gateway{Options: Options{
		Protocol:         unsigned{},
		Logs:             logs.Loggers{All: zap.New(core), Sampled: zap.New(core)},
		Metrics:          NewMetrics(prometheus.NewRegistry()),
		CloseConnections: func() bool { return false },
	}}
	g.steps = []step{func(*call) *result.Error { panic("x") }}
	func() {
		defer func() { _ = recover() }()
		g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}()
	for _, e := range seen.FilterMessage("request OK").All() {
		t.Error(e.Message, e.ContextMap())
	}
}
