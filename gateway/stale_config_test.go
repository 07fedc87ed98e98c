package gateway

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// agedConfig is a configuration of the given staleness.
type agedConfig time.Duration

func (a agedConfig) Catalog() *catalog.Catalog { return nil }
func (a agedConfig) Age() time.Duration        { return time.Duration(a) }

// TestStaleConfigDoesNotReportUnknown: a caller whose route or key was added longer ago than
// the operator's bound must not get the response that it does not exist, since a router with
// such an old configuration cannot know. A router did respond so with a configuration up to 8 s
// old, where 3 s are allowed.
func TestStaleConfigDoesNotReportUnknown(t *testing.T) {
	const within = 3 * time.Second
	unknown := result.New(result.UnknownService, "no route")
	for age, want := range map[time.Duration]result.Code{
		0:                           result.UnknownService,
		within:                      result.UnknownService,
		within + 1*time.Millisecond: result.Starting,
		8 * time.Second:             result.Starting,
		peer.UnknownAge:             result.Starting,
	} {
		g := &Gateway{Options: Options{Config: agedConfig(age), ConfigBound: within}}
		if got := g.unknownRefusal(unknown); got.Code != want {
			t.Errorf("configuration of age %v: refused with %v, want %v", age, got.Code, want)
		}
	}
}
