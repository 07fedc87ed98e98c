package soak

import (
	"fmt"
	"testing"
	"time"
)

// releaseOracle is an oracle of a run with releases, for three routers, at the end of a minute.
type releaseOracle struct {
	*Oracle
	now time.Time
}

func newReleaseOracle(versions ...string) releaseOracle {
	now := time.Now()
	o := releaseOracle{NewOracle(now.Add(-time.Minute), DefaultBounds()), now}
	o.SetRouters(3)
	o.SetReleases(true)
	for slot, version := range versions {
		o.Serves(slot, version)
		s := o.versions.serving[slot]
		s.since = now.Add(-time.Minute)
		o.versions.serving[slot] = s
	}
	return o
}

// begin has a stream of a version begin at router 0, some seconds ago, and break off after its third event.
func (o releaseOracle) begin(id, version string) {
	o.Sent(Request{ID: id, Events: 6, Process: Process{0, 1}, Sent: o.now.Add(-10 * time.Second)})
	a := streamAnswer(id, version, 0, 3, Cut)
	a.At = o.now.Add(-9 * time.Second)
	o.Answered(id, a)
}

// takeUp has a stream taken up at a process, now.
func (o releaseOracle) takeUp(first string, at Process, a Answer) {
	id := first + ".1"
	o.Sent(Request{ID: id, Events: 6, From: 3, FirstTry: first, Process: at, Sent: o.now.Add(-100 * time.Millisecond)})
	a.At = o.now
	o.Answered(id, a)
}

// kill records a kill of routers between the begin of the streams and their taking up.
func (o releaseOracle) kill(routers ...int) {
	for _, router := range routers {
		o.AddDisruption(RouterProcess(router), o.now.Add(-5*time.Second), o.now.Add(-4*time.Second))
	}
}

var unknown = Answer{Status: 503, Unknown: true}

// Guards against an oracle that lets a single stream be joined in a run with releases, over its tries or within an answer.
func TestReleasesAllowNoMixedStream(t *testing.T) {
	tries := newReleaseOracle("v1", "v2")
	tries.begin("a", "v1")
	tries.takeUp("a", Process{1, 1}, streamAnswer("a.1", "v2", 3, 6, Cut))
	within := newReleaseOracle("v1", "v2")
	within.begin("a", "v1")
	answer := streamAnswer("a.1", "v1", 3, 4, Cut)
	answer.Body += streamAnswer("a.1", "v2", 4, 6, Cut).Body
	within.takeUp("a", Process{1, 1}, answer)
	sound := newReleaseOracle("v1", "v2")
	sound.begin("a", "v1")
	sound.takeUp("a", Process{1, 1}, streamAnswer("a.1", "v1", 3, 6, Cut))
	for name, o := range map[string]releaseOracle{"tries": tries, "within": within} {
		if v := o.Violations(); len(v) != 1 || v[0].Guarantee != OneVersion {
			t.Errorf("%s: %+v", name, v)
		}
	}
	if v := sound.Violations(); len(v) > 0 {
		t.Errorf("%+v", v)
	}
}

// Guards against an oracle that promises too much or too little of a stream that is taken up.
func TestTriesOfReleasesAreClassed(t *testing.T) {
	for name, one := range map[string]struct {
		versions []string
		prepare  func(o releaseOracle)
		at       Process
		want     func(c *ReleaseCounts) StreamTries
	}{
		"no router was disrupted":           {[]string{"v1", "v2"}, func(releaseOracle) {}, Process{1, 1}, func(c *ReleaseCounts) StreamTries { return c.Known }},
		"at the process that began it":      {[]string{"v1", "v2"}, func(o releaseOracle) { o.kill(1, 2) }, Process{0, 1}, func(c *ReleaseCounts) StreamTries { return c.Known }},
		"at another one":                    {[]string{"v1", "v2"}, func(o releaseOracle) { o.kill(2) }, Process{1, 1}, func(c *ReleaseCounts) StreamTries { return c.Forgotten }},
		"at the next process of the router": {[]string{"v1", "v2"}, func(o releaseOracle) { o.kill(0) }, Process{0, 2}, func(c *ReleaseCounts) StreamTries { return c.Forgotten }},
		"one version ever":                  {[]string{"v1", "v1"}, func(o releaseOracle) { o.kill(0, 1, 2) }, Process{0, 2}, func(c *ReleaseCounts) StreamTries { return c.Sole }},
		"one version ever, without the store": {[]string{"v1", "v1"}, func(o releaseOracle) {
			o.kill(0, 1, 2)
			o.AddDisruption(StoreComponent, o.now.Add(-time.Second), o.now)
		}, Process{0, 2}, func(c *ReleaseCounts) StreamTries { return c.Forgotten }},
		"an earlier version": {[]string{"v1", "v1"}, func(o releaseOracle) {
			o.Serves(1, "v2")
			o.Serves(1, "v1")
			o.kill(0, 1, 2)
		}, Process{0, 2}, func(c *ReleaseCounts) StreamTries { return c.Forgotten }},
		"its version retires":           {[]string{"v1", "v2"}, func(o releaseOracle) { o.Retires(0) }, Process{0, 1}, func(c *ReleaseCounts) StreamTries { return c.Gone }},
		"its version has just returned": {[]string{"v2", "v2"}, func(o releaseOracle) { o.Serves(0, "v1") }, Process{0, 1}, func(c *ReleaseCounts) StreamTries { return c.Gone }},
		"at a router that starts": {[]string{"v1", "v2"}, func(o releaseOracle) {
			o.AddDisruption(RouterProcess(0), o.now.Add(-time.Second), o.now.Add(-50*time.Millisecond))
		}, Process{0, 2}, func(c *ReleaseCounts) StreamTries { return c.Down }},
	} {
		o := newReleaseOracle(one.versions...)
		o.begin("a", "v1")
		one.prepare(o)
		o.takeUp("a", one.at, unknown)
		c := o.Releases()
		if got := one.want(&c); got != (StreamTries{Tries: 1, Unknown: 1}) || c.New != (StreamTries{Tries: 1, WentOn: 1}) {
			t.Errorf("%s: %+v", name, c)
		}
		if broken := len(o.Violations()) > 0; broken != (c.Sole.Tries > 0) {
			t.Errorf("%s: %+v", name, o.Violations())
		}
	}
}

// Guards against an oracle that misses streams which do not go on though their version is known and serves, or that
// promises it where those who knew the version are gone.
func TestReleasesPromiseThatKnownStreamsGoOn(t *testing.T) {
	for _, one := range []struct {
		goOn   int
		killed []int
		broken bool
	}{{9, nil, true}, {12, nil, false}, {0, []int{0, 1, 2}, false}} {
		o := newReleaseOracle("v1", "v2")
		o.kill(one.killed...)
		for i := range 20 {
			id := fmt.Sprint("a", i)
			o.begin(id, "v1")
			answer := Answer{Status: 503}
			if i < one.goOn {
				answer = streamAnswer(id+".1", "v1", 3, 6, Cut)
			}
			o.takeUp(id, Process{1, 2}, answer)
		}
		o.CheckStreamsGoOn(o.now)
		if v := o.Violations(); (len(v) > 0) != one.broken {
			t.Errorf("%+v: %+v", one, v)
		}
	}
}
