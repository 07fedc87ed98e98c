package gateway

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/placement"
)

// Guards against predicted times where they do not apply: at plain services and for plain responses, the
// server must be chosen as for a route without objectives.
func TestObjectivesAreThoseOfStreamsFromEngines(t *testing.T) {
	engine := &catalog.Engine{Slots: 32, EventTokens: 6}
	for _, c := range []struct {
		kind   catalog.Kind
		engine *catalog.Engine
		want   placement.Query
	}{
		{catalog.Stream, engine, placement.Query{FirstObjective: time.Second, EventObjective: 250 * time.Millisecond, Slots: 32, EventTokens: 6, LinkSaturated: true}},
		{catalog.Stream, nil, placement.Query{}},
		{catalog.Repeatable, engine, placement.Query{}},
		{catalog.Once, engine, placement.Query{}},
	} {
		var q placement.Query
		route := &catalog.Route{Kind: c.kind, LatencyObjective: time.Second, EventObjective: 250 * time.Millisecond}
		g := &Gateway{Options: Options{LinkSaturated: func() bool { return true }}}
		(&call{g: g, route: route, service: &catalog.Service{Engine: c.engine}}).setObjectives(&q)
		if q.FirstObjective != c.want.FirstObjective || q.EventObjective != c.want.EventObjective || q.Slots != c.want.Slots || q.EventTokens != c.want.EventTokens || q.LinkSaturated != c.want.LinkSaturated {
			t.Errorf("kind %d, engine %v: %+v", c.kind, c.engine, q)
		}
	}
}
