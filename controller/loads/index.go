package loads

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/placement"
)

// index maps keys to server processes. Processes with the same key are left out.
type index struct {
	byKey    map[load.Key]placement.Incarnation
	builtAt  time.Time
	revision int64
	services []string
}

// updateIndex brings the index up to date with the registrations, at most once per indexTTL.
func (c *Controller) updateIndex() {
	now, revision, services := clock.Now(), c.Servers.Revision(), c.Engines()
	c.mu.Lock()
	old := c.index
	c.mu.Unlock()
	sameServices := slices.Equal(old.services, services)
	if sameServices && (revision == old.revision || now.Sub(old.builtAt) < indexTTL) {
		return
	}
	next := index{byKey: map[load.Key]placement.Incarnation{}, builtAt: now, revision: revision, services: services}
	if len(services) > 0 {
		next.add(c.Servers.Processes(func(service string) bool { return slices.Contains(services, service) }))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = next
}

func (x *index) add(processes []placement.Incarnation) {
	var ambiguous []load.Key
	for _, in := range processes {
		key := load.ServerKey(in)
		if _, taken := x.byKey[key]; taken {
			ambiguous = append(ambiguous, key)
		}
		x.byKey[key] = in
	}
	for _, key := range ambiguous {
		delete(x.byKey, key)
	}
}

// keyOf returns the key of a server process; false if it has none or shares it.
func (x *index) keyOf(in placement.Incarnation) (load.Key, bool) {
	key := load.ServerKey(in)
	return key, x.byKey[key] == in
}

// resolve returns the loads in an answer by server. A complete answer also says that the other servers
// have no load.
func (x *index) resolve(a load.Answer) []placement.ServerLoad {
	if !a.Known {
		return nil
	}
	loads := make([]placement.ServerLoad, 0, len(a.Servers))
	listed := make(map[load.Key]bool, len(a.Servers))
	for _, e := range a.Servers {
		in, ok := x.byKey[e.Server]
		if !ok || listed[e.Server] {
			continue
		}
		listed[e.Server] = true
		loads = append(loads, placement.ServerLoad{
			Server: in, InFlight: e.InFlight, PendingTokens: e.PendingTokens,
			EventInterval: e.EventInterval, Events: e.Events, At: e.At,
		})
	}
	if !a.Complete || len(x.byKey) > maxIdleServers {
		return loads
	}
	for key, in := range x.byKey {
		if !listed[key] {
			loads = append(loads, placement.ServerLoad{Server: in, At: a.Oldest})
		}
	}
	return loads
}
