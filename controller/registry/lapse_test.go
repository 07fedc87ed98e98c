package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/store"
)

// serverCount is the number of servers at the start of the lapse tests.
const serverCount = 10

// registered returns the registrations of servers s0 to s(n-1), with versions starting at first.
func registered(n int, first int64) (list []store.Object) {
	for i := range n {
		list = append(list, entry(fmt.Sprint("s", i), first+int64(i), false))
	}
	return list
}

// restoreAfterOutage registers the servers and disconnects the router from the store for nine seconds.
func restoreAfterOutage(c *registry.Controller) {
	c.Listed(registered(serverCount, 1), serverCount)
	c.StoreLost()
	time.Sleep(9 * time.Second)
	c.StoreRestored()
}

// Guards against requests to servers that stopped while the routers, and only they, were
// disconnected from the store. The first router to reconnect found 16 of 160 servers missing
// and kept them for 2.2 s as lapsed, although the time limit for the first of them had
// passed and the versions of all others were unchanged.
func TestServersThatLeftWhileRoutersWereDisconnectedGetNoRequest(t *testing.T) {
	for name, answer := range map[string]func(*registry.Controller){
		"by a list":         func(c *registry.Controller) { c.Listed(registered(serverCount-2, 1), newest) },
		"by another's list": func(c *registry.Controller) { c.ApplyList(receivedFrom(registered(serverCount-2, 1)), newest) },
		"by changes":        func(c *registry.Controller) { c.Changed([]store.Object{gone("s8"), gone("s9")}) },
		"one change each": func(c *registry.Controller) {
			c.Changed([]store.Object{gone("s8")})
			c.Changed([]store.Object{gone("s9")})
		},
		"most say they leave":  func(c *registry.Controller) { c.Changed(append(leaving(0, 8), gone("s8"), gone("s9"))) },
		"they are listed less": func(c *registry.Controller) { c.Listed(append(leaving(0, 4), registered(8, 1)[4:]...), newest) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *registry.Controller) {
				restoreAfterOutage(c)
				answer(c)
				for _, id := range []string{"s8", "s9"} {
					if c.AcceptsRequests(incarnationOf(id)) {
						t.Errorf("%s has left and still gets requests", id)
					}
				}
				if n := c.Counts()["svc"]; n.Up+n.Leaving != serverCount-2 {
					t.Errorf("%+v, two of %d have left", n, serverCount)
				}
			})
		})
	}
}

// Guards against removing live servers after an outage of the store: most registrations
// lapse at once, and some or none have returned when the router reads the store.
func TestServersThatLapsedAreKept(t *testing.T) {
	for name, answer := range map[string]func(*registry.Controller){
		"none is back":          func(c *registry.Controller) { c.Listed(nil, newest) },
		"three are back":        func(c *registry.Controller) { c.Listed(registered(3, 100), newest) },
		"most are back":         func(c *registry.Controller) { c.Listed(registered(8, 100), newest) },
		"by changes":            func(c *registry.Controller) { c.Changed(deletions(0, serverCount)) },
		"by changes, some back": func(c *registry.Controller) { c.Changed(append(deletions(0, serverCount), registered(4, 100)...)) },
		"after other changes": func(c *registry.Controller) {
			c.Changed([]store.Object{entry("other", 50, true)})
			c.Changed(nil)
			c.Changed(deletions(0, serverCount))
		},
		"told by another": func(c *registry.Controller) {
			c.ApplyChanges(receivedFrom(deletions(0, serverCount)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *registry.Controller) {
				restoreAfterOutage(c)
				answer(c)
				time.Sleep(2 * time.Second)
				if count(c) != serverCount {
					t.Errorf("%d servers in use", count(c))
				}
				c.Changed(registered(serverCount-1, 200))
				time.Sleep(time.Second)
				if count(c) != serverCount-1 {
					t.Errorf("%d servers in use, one has not come back", count(c))
				}
			})
		})
	}
}

// Guards against keeping deregistered servers, however many, while the store was available:
// registrations lapse only in an outage.
func TestServerDeregisteredWithoutAnOutageGetsNoRequest(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(serverCount, 1), serverCount)
		time.Sleep(5 * time.Second)
		c.Changed(deletions(0, 9))
		if count(c) != 1 {
			t.Errorf("%d servers in use, nine have left", count(c))
		}
	})
}

// deletions returns n deletions of registrations, starting with server s(from).
func deletions(from, n int) (list []store.Object) {
	for i := range n {
		list = append(list, gone(fmt.Sprint("s", from+i)))
	}
	return list
}

// leaving returns n registrations of leaving servers, starting with server s(from).
func leaving(from, n int) (list []store.Object) {
	for i := range n {
		list = append(list, entry(fmt.Sprint("s", from+i), 100+int64(from+i), true))
	}
	return list
}

func receivedFrom(list []store.Object) (heard []changelog.Received) {
	for _, o := range list {
		heard = append(heard, changelog.Received{Object: o})
	}
	return heard
}
