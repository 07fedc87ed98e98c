package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/registry"
)

// headerLimit is the header for a rate limit in the protocol of these tests.
const headerLimit = "Limit"

// singleRouterFleet is a fleet of one router.
type singleRouterFleet struct{ limits.Fleet }

func (singleRouterFleet) Owners(string) []string { return []string{"self"} }

// withLimits makes a registry enforce the limits that servers announce.
func withLimits(known *registry.Controller) *limits.Controller {
	l := limits.New(limits.Options{
		Self: "self", Fleet: singleRouterFleet{}, FleetDiscovered: func() bool { return true }, AcceptsRequests: known.AcceptsRequests, Log: zap.NewNop(),
	})
	known.SetLimits(l)
	return l
}

// limitField formats a response header that announces a limit.
func limitField(perSecond string) string { return headerLimit + ": " + perSecond }

// Guards against limits taken from responses that say nothing about the server, and against
// limits ignored in responses that do.
func TestWhichAnswersNameALimit(t *testing.T) {
	for name, c := range map[string]struct {
		answer script
		limits bool
	}{
		"a whole answer": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 2", limitField("1")), "ok")
		}, true},
		"an error": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 500, "Content-Length: 0", limitField("1")))
		}, true},
		"a refusal": {func(c *net.TCPConn, r *http.Request, n int) {
			if n == 1 {
				send(c, head(r, 503, "Content-Length: 0", headerNotRun+": 1", limitField("1")))
				return
			}
			send(c, head(r, 200, "Content-Length: 2", limitField("1")), "ok")
		}, true},
		"an answer that breaks off": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 9", limitField("1")), "ok")
		}, true},
		"an answer of another request": {func(c *net.TCPConn, r *http.Request, _ int) {
			own := head(r, 200, "Content-Length: 2")
			r.Header.Set(headerID, "another")
			send(c, head(r, 200, "Content-Length: 2", limitField("1")), "no", own, "ok")
		}, false},
		"an unsigned answer": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, "HTTP/1.1 200 OK\r\n"+headerID+": "+r.Header.Get(headerID)+"\r\n"+limitField("1")+"\r\nContent-Length: 2\r\n\r\nok")
		}, false},
		"a limit that is no number": {func(c *net.TCPConn, r *http.Request, _ int) {
			send(c, head(r, 200, "Content-Length: 2", limitField("soon")), "ok")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			web, known := newLimitedGateway(t, 1, 1, c.answer)
			call(t, web, "HTTP/1.1", "GET", "/safe/x")
			if got := known.Limited() == 1; got != c.limits {
				t.Errorf("limited %v", got)
			}
		})
	}
}

// Guards against a caller that waits until its deadline, or gets no Retry-After, when all
// servers for its request are at their rate limit.
func TestCallerIsRefusedAtOnceWhenAllServersAreLimited(t *testing.T) {
	web, _ := newLimitedGateway(t, 2, 2, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, "Content-Length: 2", closeField, limitField("0.5")), "ok")
		time.Sleep(time.Millisecond) // a response that does not announce the close lets the next request use the connection
	})
	refused := 0
	for range 6 {
		begun := time.Now()
		got := call(t, web, "HTTP/1.1", "GET", "/once/x")
		if got.status == http.StatusOK {
			continue
		}
		refused++
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Gaplink-Code") != "3008" || err != nil || after <= 0 || after > 3 {
			t.Errorf("status %d, code %s, to come back after %s s", got.status, got.header.Get("Gaplink-Code"), got.header.Get("Retry-After"))
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
	}
	// No server has announced a limit before its first response, and each has one permit then.
	if refused < 2 {
		t.Errorf("%d requests refused", refused)
	}
}

// Guards against retries that exceed a server's rate limit.
func TestRetriesNeedAPermit(t *testing.T) {
	var mu sync.Mutex
	arrived := 0
	web, _ := newLimitedGateway(t, 1, 3, func(c *net.TCPConn, r *http.Request, _ int) {
		mu.Lock()
		arrived++
		mu.Unlock()
		send(c, head(r, 503, "Content-Length: 0", closeField, headerNotRun+": 1", limitField("0.2")))
	})
	for range 8 {
		call(t, web, "HTTP/1.1", "GET", "/safe/x")
	}
	mu.Lock()
	defer mu.Unlock()
	if arrived > 2 { // the first, whose response announced the limit, and one with a permit
		t.Errorf("%d requests reached a server limited to one per 5 s", arrived)
	}
}
