package gateway

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// aged is a configuration that was the newest so long ago.
type aged time.Duration

func (a aged) Catalog() *catalog.Catalog { return nil }
func (a aged) Age() time.Duration        { return time.Duration(a) }

// TestOldConfigurationClaimsNothing: a caller whose route or key was added longer ago than
// the operator's bound must not be told that there is none, by a router that cannot know. It
// claimed so with a configuration of up to 8 s, where 3 s are allowed.
func TestOldConfigurationClaimsNothing(t *testing.T) {
	const within = 3 * time.Second
	unknown := result.New(result.UnknownService, "no route")
	for age, want := range map[time.Duration]result.Code{
		0:                           result.UnknownService,
		within:                      result.UnknownService,
		within + 1*time.Millisecond: result.Starting,
		8 * time.Second:             result.Starting,
		peer.Unheard:                result.Starting,
	} {
		g := &Gateway{Parts: Parts{Config: aged(age), ConfigBound: within}}
		if got := g.unknown(unknown); got.Code != want {
			t.Errorf("a configuration %v old refuses with %v, want %v", age, got.Code, want)
		}
	}
}
