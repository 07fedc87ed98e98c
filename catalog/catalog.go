// Package catalog defines a gateway's configuration: routes, services, client accounts
// and limits. A Catalog is immutable after New; a newer version replaces it as a whole.
package catalog

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind determines whether a request of a route may be run again.
type Kind int

// Kinds of routes.
const (
	// Once: the request may be run at most once.
	Once Kind = iota
	// Repeatable: the request is idempotent.
	Repeatable
	// Stream: the response is a stream of events. The request may be run again only
	// if the route allows streams to be resumed.
	Stream
)

// WeightedService is a service of a route and its share of the route's traffic.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the route.
	Weight int
}

// Route configures how requests with one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may be held.
	Timeout time.Duration
	// LatencyObjective is the latency objective (SLO) for a response, or for the first
	// event of a stream.
	LatencyObjective time.Duration
	// EventObjective is the latency objective between two events of a stream.
	EventObjective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// Attempts is the maximum number of backend servers that one request may be sent
	// to.
	Attempts int
	// Public is set if requests need no key.
	Public bool
	// Resume is set if an interrupted stream may be resumed at another server.
	Resume bool
	// Regions lists the regions whose servers may run the requests; if empty, all may.
	Regions []string
}

// MayRepeat reports whether a request of the route may be run again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resume
}

// Engine describes the model engines behind a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// EventTokens is the maximum number of tokens in one event of a stream.
	EventTokens int64
}

// Service is a group of backend servers of one kind.
type Service struct {
	Name string
	// HealthPath is the path of the health check, which returns 200 while a server is
	// healthy.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// routers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Warmup is how long a server stays cold after a start. WarmupRate is the load that
	// a cold server can take, in requests per second; 0 means that servers are never
	// cold.
	Warmup     time.Duration
	WarmupRate float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority ranks the account and takes precedence over the route's priority; 0 is
	// the most urgent.
	Priority int
	// Budget is the prepaid number of input and output tokens.
	Budget int64
	// HasBudget is set if the account has a budget.
	HasBudget bool
	// Regions lists the regions whose servers may run the requests; if empty, all may.
	Regions []string
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	Accounts []*Account

	routes map[string][]*Route // by host, longest prefix first
	keys   map[string]*Account
}

// New builds a catalog. It returns an error if a route has no service or an unknown one.
func New(version int64, limits Limits, routes []*Route, services []*Service, accounts []*Account) (*Catalog, error) {
	c := &Catalog{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]*Service, len(services)),
		Accounts: accounts,
		routes:   map[string][]*Route{},
		keys:     map[string]*Account{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	if err := c.addRoutes(routes); err != nil {
		return nil, err
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			c.keys[key] = a
		}
	}
	return c, nil
}

func (c *Catalog) addRoutes(routes []*Route) error {
	for _, r := range routes {
		if len(r.Split) == 0 {
			return fmt.Errorf("catalog: route %s has no service", r.Name)
		}
		for _, service := range r.Split {
			if c.Services[service.Service] == nil {
				return fmt.Errorf("catalog: route %s has unknown service %s", r.Name, service.Service)
			}
		}
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return nil
}

// Route returns the route with the longest prefix that matches a host and path, or nil
// if there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account of a key, or nil if the key is unknown.
func (c *Catalog) Account(key string) *Account {
	return c.keys[key]
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}
