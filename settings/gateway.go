package settings

import (
	"time"

	"github.com/gaplink/gaplink/bound"
)

// Gateway are all static settings of a gateway: a router on a platform that
// holds its configuration, server registrations and budgets.
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
	// Regions names the region of each failure domain. Requests that may run in some
	// regions only are sent to servers of domains that are named here.
	Regions map[string]string `toml:"regions"`
	Log     Log               `toml:"log"`
}

// GatewayInstance says who and where the process is.
type GatewayInstance struct {
	// ID is the instance's name.
	ID string `toml:"id" validate:"required"`
	// Domain is its failure domain.
	Domain string `toml:"domain" validate:"required"`
}

// GatewayListen are the addresses that the process binds, as IP:port.
type GatewayListen struct {
	// Callers is where callers connect.
	Callers string `toml:"callers" validate:"required,hostname_port"`
	// Ready is asked by the balancer whether the router takes connections.
	Ready string `toml:"ready" validate:"required,hostname_port"`
	// Peers is where other routers connect.
	Peers string `toml:"peers" validate:"required,hostname_port"`
	// Metrics serves counters and histograms; empty: it is not served.
	Metrics string `toml:"metrics" validate:"omitempty,hostname_port"`
}

// GatewayStore is the platform's store.
type GatewayStore struct {
	// Address is IP:port.
	Address string `toml:"address" validate:"required,hostname_port"`
	// Timeout bounds one call; a store in trouble answers some dozen times
	// slower than usual.
	Timeout Duration `toml:"timeout" validate:"min=1000000"`
}

// GatewayFleet says where other routers may be found.
type GatewayFleet struct {
	// Seeds are addresses of other routers for a start without the store.
	Seeds []string `toml:"seeds"`
	// FirstStart tells that the whole fleet starts for the first time. Each router
	// then waits until it knows the others before it asks the store for anything.
	FirstStart bool `toml:"first_start"`
}

// GatewayBounds are the times within which a change must count at every router,
// from the store's answer to whoever made it.
type GatewayBounds struct {
	// Apply is for a new configuration, Leave for a backend server that takes no new
	// work. The shorter they are, the more often routers ask the store.
	Apply Duration `toml:"apply" validate:"min=1000000000"`
	Leave Duration `toml:"leave" validate:"min=1000000000"`
	// Evacuate is for the evacuation of a failure domain; 0: the platform knows no
	// evacuations, and the store is not asked for any.
	Evacuate Duration `toml:"evacuate" validate:"eq=0|min=1000000000"`
}

// GatewayBudgets are the settings of the token budgets.
type GatewayBudgets struct {
	// Hold is how much demand a router holds ahead. Longer lasts longer
	// through a store outage; shorter strands less when routers die.
	Hold Duration `toml:"hold" validate:"min=100000000"`
	// Refill is the share of Hold below which a router draws more.
	Refill float64 `toml:"refill" validate:"min=0,max=1"`
	// ScarceWithin is how long a budget must last, at the fleet's demand, for half
	// of what is left of it to be held by routers. Shorter holds more of scarce
	// budgets: fewer refusals in an outage, more lost when routers lose power.
	ScarceWithin Duration `toml:"scarce_within" validate:"min=100000000"`
}

// GatewayServers are the settings of connections to backend servers.
type GatewayServers struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout Duration `toml:"dial_timeout" validate:"min=1000000"`
	// IdleTimeout is how long an unused connection is kept when the server
	// names no time itself.
	IdleTimeout Duration `toml:"idle_timeout" validate:"min=1000000"`
}

// GatewayRetries bound the repeats of all routers together.
type GatewayRetries struct {
	// Ratio is the share of a service's requests that may be repeats.
	Ratio float64 `toml:"ratio" validate:"min=0,max=1"`
	// Slack is the number of repeats that all routers together may make
	// beyond that in the operator's window.
	Slack float64 `toml:"slack" validate:"min=0"`
}

// GatewayStop are the settings of a planned stop.
type GatewayStop struct {
	// Grace is the time from the signal until the process is killed.
	Grace Duration `toml:"grace" validate:"min=1000000000"`
	// Notice is how long new requests are still taken, until the balancer has
	// noticed that the router is leaving. What is taken later than 3 s after the
	// signal would have to end within the grace time, however long it runs.
	Notice Duration `toml:"notice" validate:"min=0"`
}

// GatewayOperator says who may list and lift verdicts on requests.
type GatewayOperator struct {
	// KeyHash is the SHA-256 hash (hex) of the operators' key; empty: nobody may.
	KeyHash string `toml:"key_hash" validate:"omitempty,len=64,hexadecimal"`
}

// GatewayMemory bounds the process's memory.
type GatewayMemory struct {
	// LimitMB is the memory that the process may use, in MB.
	LimitMB int64 `toml:"limit_mb" validate:"min=16"`
}

// GatewayFiles bounds the process's descriptors.
type GatewayFiles struct {
	// Limit is the number of descriptors that the process may have open; 0: it is not
	// known, and connections are bounded by memory alone.
	Limit int `toml:"limit" validate:"min=0"`
}

// GatewayLink is the instance's network link.
type GatewayLink struct {
	// Mbps is its capacity in each direction, in Mbit/s. A router whose link is
	// full refuses work and takes no new connections for a while; 0: the
	// capacity is not known, and it never does.
	Mbps float64 `toml:"mbps" validate:"min=0"`
}

// DefaultGateway returns the settings that a file need not name.
func DefaultGateway() Gateway {
	return Gateway{
		Store:   GatewayStore{Timeout: Duration(bound.CallTimeout)},
		Budgets: GatewayBudgets{Hold: Duration(20 * time.Second), Refill: 0.9, ScarceWithin: Duration(12 * time.Second)},
		Servers: GatewayServers{DialTimeout: Duration(250 * time.Millisecond), IdleTimeout: Duration(10 * time.Second)},
		Retries: GatewayRetries{Ratio: 0.2, Slack: 50},
		Stop:    GatewayStop{Grace: Duration(8 * time.Second), Notice: Duration(2900 * time.Millisecond)},
		Memory:  GatewayMemory{LimitMB: 256},
		Bounds:  GatewayBounds{Apply: Duration(2 * time.Second), Leave: Duration(2 * time.Second)},
		Log:     Log{Level: "info"},
	}
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(path string) (Gateway, error) {
	return load(path, DefaultGateway())
}

// ParseGateway decodes and checks a gateway's settings; name is used in errors.
func ParseGateway(name string, text []byte) (Gateway, error) {
	return parse(name, text, DefaultGateway())
}
