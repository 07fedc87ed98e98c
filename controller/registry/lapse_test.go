package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/store"
)

// staffed is how many servers the tests of lapses begin with.
const staffed = 10

// registered are the registrations of servers s0 to s(n-1) with versions from first on.
func registered(n int, first int64) (list []store.Object) {
	for i := range n {
		list = append(list, entry(fmt.Sprint("s", i), first+int64(i), false))
	}
	return list
}

// lost plays that a router loses the store for nine seconds and regains it.
func lost(c *registry.Controller) {
	c.Listed(registered(staffed, 1), staffed)
	c.Lost()
	time.Sleep(9 * time.Second)
	c.Regained()
}

// TestServersThatLeftWhileRoutersWereCutOffGetNoRequest: the pattern is a fleet that is cut
// off from a store that is well, and of which the first router to reach it again found 16 of
// 160 servers missing. It kept them for 2.2 s as lapsed, where the bound on the eldest of
// them was over. The versions of all the others stood as they were.
func TestServersThatLeftWhileRoutersWereCutOffGetNoRequest(t *testing.T) {
	for name, answer := range map[string]func(*registry.Controller){
		"by a list":         func(c *registry.Controller) { c.Listed(registered(staffed-2, 1), newest) },
		"by another's list": func(c *registry.Controller) { c.TakeListed(heardOf(registered(staffed-2, 1)), newest) },
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
				lost(c)
				answer(c)
				for _, id := range []string{"s8", "s9"} {
					if c.TakesWork(incarnationOf(id)) {
						t.Errorf("%s has left and takes work", id)
					}
				}
				if n := c.Counts()["svc"]; n.Up+n.Leaving != staffed-2 {
					t.Errorf("%+v, two of %d have left", n, staffed)
				}
			})
		})
	}
}

// TestServersThatLapsedAreKept: most registrations went together, and some or none of them
// are back.
func TestServersThatLapsedAreKept(t *testing.T) {
	for name, answer := range map[string]func(*registry.Controller){
		"none is back":          func(c *registry.Controller) { c.Listed(nil, newest) },
		"three are back":        func(c *registry.Controller) { c.Listed(registered(3, 100), newest) },
		"most are back":         func(c *registry.Controller) { c.Listed(registered(8, 100), newest) },
		"by changes":            func(c *registry.Controller) { c.Changed(lapses(0, staffed)) },
		"by changes, some back": func(c *registry.Controller) { c.Changed(append(lapses(0, staffed), registered(4, 100)...)) },
		"after other changes": func(c *registry.Controller) {
			c.Changed([]store.Object{entry("other", 50, true)})
			c.Changed(nil)
			c.Changed(lapses(0, staffed))
		},
		"told by another": func(c *registry.Controller) {
			c.TakeChanged(heardOf(lapses(0, staffed)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *registry.Controller) {
				lost(c)
				answer(c)
				time.Sleep(2 * time.Second)
				if count(c) != staffed {
					t.Errorf("%d servers in use", count(c))
				}
				c.Changed(registered(staffed-1, 200))
				time.Sleep(time.Second)
				if count(c) != staffed-1 {
					t.Errorf("%d servers in use, one has not come back", count(c))
				}
			})
		})
	}
}

// TestServerThatGoesWhileTheStoreIsWellGetsNoRequest, however many go: nothing lapses where
// nobody has lost the store.
func TestServerThatGoesWhileTheStoreIsWellGetsNoRequest(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(staffed, 1), staffed)
		time.Sleep(5 * time.Second)
		c.Changed(lapses(0, 9))
		if count(c) != 1 {
			t.Errorf("%d servers in use, nine have left", count(c))
		}
	})
}

// lapses are the ends of registrations from s(from) on.
func lapses(from, n int) (list []store.Object) {
	for i := range n {
		list = append(list, gone(fmt.Sprint("s", from+i)))
	}
	return list
}

// leaving are registrations that say that their servers leave.
func leaving(from, n int) (list []store.Object) {
	for i := range n {
		list = append(list, entry(fmt.Sprint("s", from+i), 100+int64(from+i), true))
	}
	return list
}

func heardOf(list []store.Object) (heard []changelog.Received) {
	for _, o := range list {
		heard = append(heard, changelog.Received{Object: o})
	}
	return heard
}
