package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
)

// Guards against bytes of requests or responses that are missing from those of the account, which
// explain a saturated link.
func TestBytesAreCountedForTheAccount(t *testing.T) {
	const body, field = 3000, 500
	m := link.New(1, time.Now())
	web, _ := newGatewayWith(t, 1, 1, func(c *net.TCPConn, r *http.Request, _ int) {
		send(c, head(r, 200, "Content-Length: 3000", closeField), strings.Repeat("x", body))
	}, func(o *gateway.Options) { o.Meter = m })
	call(t, web, "HTTP/1.1", "GET", "/safe/x", "Long: "+strings.Repeat("x", field))
	m.Tick(time.Now())
	u := m.Usage()
	if account, share := u.Heaviest(); account != "" || share != 1 {
		t.Errorf("account %q with %v of the bytes", account, share)
	}
	if u.AccountBytes < body+field || u.AccountBytes > body+field+200 {
		t.Errorf("%d bytes", u.AccountBytes)
	}
}
