package catalog_test

import (
	"testing"

	"github.com/gaplink/gaplink/catalog"
)

func newCatalog(t *testing.T, routes ...*catalog.Route) *catalog.Catalog {
	t.Helper()
	for _, r := range routes {
		r.Split = []catalog.WeightedService{{Service: "svc", Weight: 1}}
	}
	c, err := catalog.New(1, catalog.Limits{}, routes, []*catalog.Service{{Name: "svc"}}, []*catalog.Account{{Name: "acme", Keys: []string{"k1", "k2"}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestLongestPrefixWins(t *testing.T) {
	c := newCatalog(t,
		&catalog.Route{Name: "all", Host: "a.example", Prefix: "/"},
		&catalog.Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		&catalog.Route{Name: "mid", Host: "a.example", Prefix: "/x/"},
		&catalog.Route{Name: "other", Host: "b.example", Prefix: "/x/"})
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/yy": "mid", "/x": "all", "/q": "all"} {
		if got := c.Route("A.example", path); got == nil || got.Name != want {
			t.Errorf("%s: got %v, want %s", path, got, want)
		}
	}
	if c.Route("c.example", "/x/") != nil || c.Route("b.example", "/y/") != nil {
		t.Error("found a route for an unmatched host or path")
	}
}

func TestAccountByKey(t *testing.T) {
	c := newCatalog(t)
	if c.Account("k2") == nil || c.Account("k3") != nil || c.Account("") != nil {
		t.Fatal("wrong account for a key")
	}
}

func TestRouteToUnknownServiceIsRefused(t *testing.T) {
	r := &catalog.Route{Name: "r", Split: []catalog.WeightedService{{Service: "nowhere"}}}
	if _, err := catalog.New(1, catalog.Limits{}, []*catalog.Route{r}, nil, nil); err == nil {
		t.Fatal("New accepted a route to an unknown service")
	}
}

func TestOnlyIdempotentRoutesRepeat(t *testing.T) {
	for _, c := range []struct {
		route catalog.Route
		want  bool
	}{
		{catalog.Route{Kind: catalog.Once}, false},
		{catalog.Route{Kind: catalog.Repeatable}, true},
		{catalog.Route{Kind: catalog.Stream}, false},
		{catalog.Route{Kind: catalog.Stream, Resume: true}, true},
		{catalog.Route{Kind: catalog.Once, Resume: true}, false},
	} {
		if got := c.route.MayRepeat(); got != c.want {
			t.Errorf("%+v: %t", c.route, got)
		}
	}
}
