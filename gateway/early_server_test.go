package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/store"
)

// uploadDeadline is the timeout of the routes of long requests.
const uploadDeadline = 10 * time.Second

// newGatewayOf returns a gateway in front of one server, which serves each connection by the given function.
func newGatewayOf(t *testing.T, serve func(net.Conn)) *httptest.Server {
	t.Helper()
	web, _, known := newRegisteredGateway(t, 0, 1, nil, func(o *gateway.Options) {
		o.Config = fixedConfig{newCatalogWithin(t, 1, uploadDeadline)}
	})
	addr := tcptest.Listen(t, func(c net.Conn, _ int) { serve(c) })
	value := fmt.Appendf(nil, `{"Service":"svc","Address":%q,"Slots":64}`, addr)
	known.Listed([]store.Object{{Key: "servers/s0", Version: 1, Value: value}}, 1)
	return web
}

// answerUnframed returns an answer that only the close of its connection ends.
func answerUnframed(r *http.Request) string { return head(r, 200, closeField) + events(1, 3) }

// upload sends a long request.
func upload(t *testing.T, web *httptest.Server, path string) reply {
	t.Helper()
	return callWithin(t, web, uploadDeadline, "HTTP/1.1", http.MethodPost, path, make([]byte, tcptest.UploadBytes), fmt.Sprint("Content-Length: ", tcptest.UploadBytes))
}

// uploadRoutes are the kinds of routes: for idempotent requests, for others, and for streams.
var uploadRoutes = []string{"safe", "once", "stream"}

// TestAnswerResetDuringAnUploadIsNotWhole guards against a caller that gets part of an answer as all of it: the answer has
// no length, and its server resets the connection while the request is still being written.
func TestAnswerResetDuringAnUploadIsNotWhole(t *testing.T) {
	const tries = 30
	for _, route := range uploadRoutes {
		for _, s := range tcptest.EarlyServers(tcptest.EndsByReset, answerUnframed) {
			t.Run(route+", "+s.String(), func(t *testing.T) {
				t.Parallel()
				web := newGatewayOf(t, s.Serve)
				whole := tcptest.Count(t, tries, func() bool {
					got := upload(t, web, "/"+route+"/x")
					return got.status == 200 && got.claim != broken
				})
				if whole > 0 {
					t.Errorf("%d of %d answers passed on as whole", whole, tries)
				}
			})
		}
	}
}

// TestAnswerClosedDuringAnUploadIsWhole guards against a whole answer that is lost because its server did not wait for the
// rest of the request.
func TestAnswerClosedDuringAnUploadIsWhole(t *testing.T) {
	const tries = 10
	for _, route := range uploadRoutes {
		for _, s := range tcptest.EarlyServers(tcptest.EndsByHalfClose, answerUnframed) {
			t.Run(route+", "+s.String(), func(t *testing.T) {
				t.Parallel()
				web := newGatewayOf(t, s.Serve)
				whole := tcptest.Count(t, tries, func() bool {
					got := upload(t, web, "/"+route+"/x")
					return got.status == 200 && got.claim != broken && got.body == events(1, 3)
				})
				if whole != tries {
					t.Errorf("%d of %d answers passed on as whole", whole, tries)
				}
			})
		}
	}
}
