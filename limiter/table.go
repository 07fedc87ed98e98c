package limiter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// observationRetention is how long the end of a limit, and the limit of a process that is not
// registered, are kept: another router may report the limit late, or this one may learn of the
// process late.
const observationRetention = time.Minute

// Observation is what one answer says about the rate limit of its server.
type Observation struct {
	Server placement.Incarnation
	// Named is set if the answer named a limit, and Rate is the limit.
	Named bool
	Rate  Rate
	// Sent is when the request was sent, and Received when its answer began to arrive. The
	// server wrote the answer in between.
	Sent, Received time.Time
}

// supersedes reports whether an observation replaces an earlier one. Answers may arrive out of
// order: one without a limit ends the limit only if its request was sent after the limit had
// been received, since the server may otherwise have written it before it named the limit.
func (o Observation) supersedes(known Observation) bool {
	switch {
	case !o.Named:
		return !o.Sent.Before(known.Received)
	case !known.Named:
		return o.Received.After(known.Sent)
	default:
		return !o.Received.Before(known.Received)
	}
}

// Table holds the limits that servers name. It is not safe for concurrent use.
type Table struct {
	known map[placement.Incarnation]Observation
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{known: map[placement.Incarnation]Observation{}} }

// Observe applies an observation and reports whether it changes, begins or ends a limit.
func (t *Table) Observe(o Observation) (changed bool) {
	known, ok := t.known[o.Server]
	if !ok && !o.Named || ok && !o.supersedes(known) {
		return false
	}
	t.known[o.Server] = o
	return o.Named != known.Named || o.Rate != known.Rate
}

// Limit returns the limit of a server; false: it names none.
func (t *Table) Limit(server placement.Incarnation) (Rate, bool) {
	known, ok := t.known[server]
	return known.Rate, ok && known.Named
}

// Len returns the number of servers on record, including those whose limit has ended.
func (t *Table) Len() int { return len(t.known) }

// Servers returns the processes on record, including those whose limit has ended.
func (t *Table) Servers() []placement.Incarnation {
	return slices.Collect(maps.Keys(t.known))
}

// Expire drops old observations of processes that are gone, and limits that ended long ago.
func (t *Table) Expire(now time.Time, gone []placement.Incarnation) {
	for _, server := range gone {
		if now.Sub(t.known[server].Received) > observationRetention {
			delete(t.known, server)
		}
	}
	for server, o := range t.known {
		if !o.Named && now.Sub(o.Received) > observationRetention {
			delete(t.known, server)
		}
	}
}

// Limits returns the observations of limits in force, ordered by server id.
func (t *Table) Limits() []Observation {
	var list []Observation
	for _, o := range t.known {
		if o.Named {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}

// Snapshot returns the contents of the table as a report.
func (t *Table) Snapshot(now time.Time) Report {
	var r Report
	for _, o := range t.known {
		r.Observations = append(r.Observations, o.reported(now))
	}
	return r
}
