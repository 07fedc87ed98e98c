package settings

import (
	"time"

	"github.com/gaplink/gaplink/bound"
)

// Gateway holds all static settings of a gateway: a router on a platform that stores
// its configuration, server registrations and budgets.
type Gateway struct {
	Instance GatewayInstance `toml:"instance"`
	Listen   GatewayListen   `toml:"listen"`
	Store    GatewayStore    `toml:"store"`
	Fleet    GatewayFleet    `toml:"fleet"`
	Budgets  GatewayBudgets  `toml:"budgets"`
	Servers  GatewayServers  `toml:"servers"`
	Retries  GatewayRetries  `toml:"retries"`
	Stop     GatewayStop     `toml:"stop"`
	Memory   GatewayMemory   `toml:"memory"`
	Files    GatewayFiles    `toml:"files"`
	Link     GatewayLink     `toml:"link"`
	Bounds   GatewayBounds   `toml:"bounds"`
	Operator GatewayOperator `toml:"operator"`
	// Regions maps each failure domain to its region. Requests that are restricted to
	// regions are sent only to servers of the domains listed here.
	Regions map[string]string `toml:"regions"`
	Log     Log               `toml:"log"`
	Load    GatewayLoad       `toml:"load"`
}

// GatewayLoad switches the parts that decide under high load. Each but Returns is on by default, and takes
// effect only where the configuration and the fleet call for it.
type GatewayLoad struct {
	// Budgets: routers return tokens that they do not need, and while tokens are short the most
	// urgent routes get them first.
	Budgets bool `toml:"budgets"`
	// Servers: routers of a large fleet share the load of backend servers, and choose servers of
	// routes with an event objective by predicted times.
	Servers bool `toml:"servers"`
	// Entry: how requests are treated that arrive over a saturated link of known capacity.
	Entry bool `toml:"entry"`
	// Returns: Retry-After is derived from the time at which the request can be served, and requests
	// that can be served soon are held for it. Off by default: in simulated days it served no more.
	Returns bool `toml:"returns"`
}

// GatewayInstance identifies the process and its location.
type GatewayInstance struct {
	// ID is the instance's name.
	ID string `toml:"id" validate:"required"`
	// Domain is its failure domain.
	Domain string `toml:"domain" validate:"required"`
}

// GatewayListen holds the addresses that the process binds, as IP:port.
type GatewayListen struct {
	// Callers is the address for callers.
	Callers string `toml:"callers" validate:"required,hostname_port"`
	// Ready is the address of the readiness check, which the load balancer polls.
	Ready string `toml:"ready" validate:"required,hostname_port"`
	// Peers is the address for other routers.
	Peers string `toml:"peers" validate:"required,hostname_port"`
	// Metrics is the address that serves the metrics; if empty, they are not served.
	Metrics string `toml:"metrics" validate:"omitempty,hostname_port"`
}

// GatewayStore configures the access to the platform's store.
type GatewayStore struct {
	// Address is the IP:port of the store.
	Address string `toml:"address" validate:"required,hostname_port"`
	// Timeout limits one call. An overloaded store responds some dozen times slower
	// than usual.
	Timeout Duration `toml:"timeout" validate:"min=1000000"`
}

// GatewayFleet configures how other routers are discovered.
type GatewayFleet struct {
	// Seeds are addresses of other routers, used to start without the store.
	Seeds []string `toml:"seeds"`
	// FirstStart is set if the whole fleet starts for the first time. Each router
	// then waits until it knows the others before it calls the store.
	FirstStart bool `toml:"first_start"`
}

// GatewayBounds limits the time until a change takes effect at every router, counted
// from the store's response to the writer of the change.
type GatewayBounds struct {
	// Apply is the limit for a new configuration, Leave for a backend server that takes
	// no new work. With shorter limits, routers read the store more often.
	Apply Duration `toml:"apply" validate:"min=1000000000"`
	Leave Duration `toml:"leave" validate:"min=1000000000"`
	// Evacuate is the limit for the evacuation of a failure domain; 0 means that the
	// platform has no evacuations, and the store is not read for them.
	Evacuate Duration `toml:"evacuate" validate:"eq=0|min=1000000000"`
}

// GatewayBudgets holds the settings of the token budgets.
type GatewayBudgets struct {
	// Hold is the amount of tokens that a router holds ahead, as a time at current
	// demand. A longer time bridges longer store outages; a shorter one strands fewer
	// tokens when routers crash.
	Hold Duration `toml:"hold" validate:"min=100000000"`
	// Refill is the fraction of Hold below which a router draws more tokens.
	Refill float64 `toml:"refill" validate:"min=0,max=1"`
	// ScarceWithin is how long the rest of a budget must last, at the fleet's demand,
	// for routers to hold half of it. A shorter time lets routers hold more of scarce
	// budgets: fewer requests are refused in an outage, and more tokens are lost when
	// routers lose power.
	ScarceWithin Duration `toml:"scarce_within" validate:"min=100000000"`
}

// GatewayServers holds the settings of connections to backend servers.
type GatewayServers struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout Duration `toml:"dial_timeout" validate:"min=1000000"`
	// IdleTimeout is how long an idle connection is kept if the server announces no
	// timeout itself.
	IdleTimeout Duration `toml:"idle_timeout" validate:"min=1000000"`
	// Source is the IP address from which connections are opened, for instances with several; if
	// empty, the system chooses.
	Source string `toml:"source" validate:"omitempty,ip"`
}

// GatewayRetries limits the retries of all routers together.
type GatewayRetries struct {
	// Ratio is the fraction of a service's requests that may be retries.
	Ratio float64 `toml:"ratio" validate:"min=0,max=1"`
	// Slack is the number of retries beyond Ratio that all routers together may make
	// within Window. With fewer than one for each router there are no retries.
	Slack float64 `toml:"slack" validate:"min=0"`
	// Window is the time over which the operator counts retries. A process has no part of Slack
	// for so long after its start, since an earlier one may have used it.
	Window Duration `toml:"window" validate:"min=0"`
}

// GatewayStop holds the settings of a graceful shutdown.
type GatewayStop struct {
	// Grace is the time from the signal until the process is killed.
	Grace Duration `toml:"grace" validate:"min=1000000000"`
	// Notice is how long new requests are still accepted, until the load balancer has
	// noticed that the router is shutting down. A request accepted later than 3 s
	// after the signal would have to end within Grace, however long it runs.
	Notice Duration `toml:"notice" validate:"min=0"`
}

// GatewayOperator configures who may list and lift verdicts on requests.
type GatewayOperator struct {
	// KeyHash is the SHA-256 hash (hex) of the operators' key; if empty, nobody may.
	KeyHash string `toml:"key_hash" validate:"omitempty,len=64,hexadecimal"`
}

// GatewayMemory limits the memory of the process.
type GatewayMemory struct {
	// LimitMB is the memory that the process may use, in MB.
	LimitMB int64 `toml:"limit_mb" validate:"min=16"`
}

// GatewayFiles limits the file descriptors of the process.
type GatewayFiles struct {
	// Limit is the number of file descriptors that the process may have open; 0 means
	// unknown, so that only memory limits the number of connections.
	Limit int `toml:"limit" validate:"min=0"`
}

// GatewayLink describes the network link of the instance.
type GatewayLink struct {
	// Mbps is the capacity in each direction, in Mbit/s. A router whose link is
	// saturated temporarily refuses work and accepts no new connections; 0 means
	// unknown, so that it never does.
	Mbps float64 `toml:"mbps" validate:"min=0"`
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Store:   GatewayStore{Timeout: Duration(bound.CallTimeout)},
		Budgets: GatewayBudgets{Hold: Duration(20 * time.Second), Refill: 0.9, ScarceWithin: Duration(12 * time.Second)},
		Servers: GatewayServers{DialTimeout: Duration(250 * time.Millisecond), IdleTimeout: Duration(10 * time.Second)},
		Retries: GatewayRetries{Ratio: 0.2, Slack: 50, Window: Duration(10 * time.Second)},
		Stop:    GatewayStop{Grace: Duration(8 * time.Second), Notice: Duration(2900 * time.Millisecond)},
		Memory:  GatewayMemory{LimitMB: 256},
		Bounds:  GatewayBounds{Apply: Duration(2 * time.Second), Leave: Duration(2 * time.Second)},
		Log:     Log{Level: "info"},
		Load:    GatewayLoad{Budgets: true, Servers: true, Entry: true},
	}
}

// LoadGateway reads and validates a gateway's settings file.
func LoadGateway(path string) (Gateway, error) {
	return load(path, DefaultGateway())
}

// ParseGateway decodes and validates a gateway's settings; errors contain name.
func ParseGateway(name string, text []byte) (Gateway, error) {
	return parse(name, text, DefaultGateway())
}
