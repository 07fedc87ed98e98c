package updates_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/store"
)

// largeRegistration returns a registration with a field of some bytes that routers don't know.
func largeRegistration(id string, version int64, bytes int) store.Object {
	value, _ := json.Marshal(map[string]string{"Service": "svc", "unknown": strings.Repeat("u", bytes)}) // always encodes
	return store.Object{Key: "servers/" + id, Version: version, Value: value}
}

// Guards against large registrations that take all others from the routers that read them from another
// one: a page or an answer of several megabytes was rejected as a whole, and requested again.
func TestLargeRegistrationsTakeNoOtherAway(t *testing.T) {
	const large, small = 300, 300
	for name, c := range map[string]struct{ bytes, used int }{
		"a million bytes, which no router keeps": {1 << 20, small},
		"twenty thousand bytes":                  {20 << 10, large + small},
	} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, listed %t", name, listed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPair()
					var all []store.Object
					for i := range large {
						all = append(all, largeRegistration(fmt.Sprintf("l%03d", i), int64(10+i), c.bytes))
					}
					all = append(all, manyRegistrations(small)...)
					if listed {
						p.theirs.Listed(all, 1000)
					} else {
						p.theirs.Listed(nil, 5)
						p.ours.Listed(nil, 5)
						p.theirs.Changed(all)
						p.theirs.Advanced(1000)
					}
					go p.asking.Run(t.Context())
					time.Sleep(30 * time.Second)
					if n := p.ours.Counts()["svc"].Up; n != c.used || p.ours.Revision() != 1000 {
						t.Errorf("%d of %d servers at revision %d", n, c.used, p.ours.Revision())
					}
					known, _ := p.theirs.All()
					bytes := 0
					for _, o := range known {
						bytes += len(o.Value)
					}
					if bytes > large*(32<<10)+small<<10 {
						t.Errorf("%d MB are kept", bytes>>20)
					}
				})
			})
		}
	}
}
