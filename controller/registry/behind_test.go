package registry_test

import (
	"testing"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
)

// Guards against requests that are sent for ever to a server that has left: a process that has started since then does not
// remember that the server left, and what arrives late from a router that is behind brings the server back. Its departure is
// sent to nobody again.
func TestServerThatLeftBeforeTheStartIsNotBroughtBack(t *testing.T) {
	old := changelog.JustReceived([]store.Object{entry("left", 90, false)})
	for name, arrivesLate := range map[string]func(*registry.Controller){
		"list":   func(c *registry.Controller) { c.ApplyList(old, 100) },
		"update": func(c *registry.Controller) { c.ApplyUpdate(old, 100) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *registry.Controller) {
				c.Listed([]store.Object{entry("a", 1, false)}, 200) // without the server, which left at 150
				c.Advanced(200)
				arrivesLate(c)
				if c.AcceptsRequests(placement.Incarnation{ID: "left"}) {
					t.Error("the server is in use")
				}
				if !c.AcceptsRequests(placement.Incarnation{ID: "a"}) || c.Revision() != 200 {
					t.Errorf("a registered server is not in use, revision %d", c.Revision())
				}
			})
		})
	}
}
