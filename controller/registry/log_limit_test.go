package registry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/store"
)

// Guards against a log that grows with the fleet: when thousands of servers register and
// deregister, the log lines per time are bounded, and the suppressed ones are counted.
func TestLogLinesAboutServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, span = 5000, 20 * time.Second
		c, lines := newLogged()
		c.Listed(nil, 1)
		revision := int64(1)
		for n := range servers {
			revision++
			c.Changed([]store.Object{entry(fmt.Sprint("s", n), revision, false)})
			if n%2 == 1 {
				c.Changed([]store.Object{gone(fmt.Sprint("s", n))})
			}
			time.Sleep(span / servers)
		}
		if most := 25 * int(span/(5*time.Second)+1); lines.Len() > most {
			t.Errorf("%d lines in %v", lines.Len(), span)
		}
		told := int64(0)
		for _, l := range lines.FilterMessage("further servers registered or gone").All() {
			told += l.ContextMap()["servers"].(int64)
		}
		if told < servers*3/4 {
			t.Errorf("%d servers are counted as suppressed", told)
		}
	})
}
