package gateway

import (
	"testing"

	"github.com/gaplink/gaplink/catalog"
)

// TestRequestsRunInTheirRegions: a request runs in the regions that its route or its account
// lists, and only in their intersection if both list some. A domain of unknown region is not
// in any.
func TestRequestsRunInTheirRegions(t *testing.T) {
	g := &Gateway{Options: Options{Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}}
	for name, c := range map[string]struct {
		route, account []string
		want           map[string]bool
	}{
		"none named": {nil, nil, map[string]bool{"a1": true, "b1": true, "x": true}},
		"route":      {[]string{"a"}, nil, map[string]bool{"a1": true, "a2": true, "b1": false, "x": false}},
		"account":    {nil, []string{"b"}, map[string]bool{"a1": false, "b1": true}},
		"both":       {[]string{"a", "b"}, []string{"b", "c"}, map[string]bool{"a1": false, "b1": true}},
		"apart":      {[]string{"a"}, []string{"b"}, map[string]bool{"a1": false, "b1": false}},
	} {
		t.Run(name, func(t *testing.T) {
			req := &call{g: g, route: &catalog.Route{Regions: c.route}, account: &catalog.Account{Regions: c.account}}
			in := req.allowedDomains()
			for domain, want := range c.want {
				if got := in == nil || in(domain); got != want {
					t.Errorf("in %s: %v, want %v", domain, got, want)
				}
			}
		})
	}
}
