// Package exchange holds the types in which the gateway speaks of callers'
// requests and backend servers' answers, and the interface behind which a
// deployment's header names are hidden.
package exchange

import (
	"net/http"
	"time"
)

// Part is one part of a prompt, as its caller names it.
type Part struct {
	ID     string
	Tokens int64
}

// Request is what a caller's headers say.
type Request struct {
	// ID is unique to one try of a caller.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// LastEvent is the id of the last event that the caller has; empty for a
	// stream from its start.
	LastEvent string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// TokensIn is the size of the prompt, MaxTokensOut the most that may be
	// generated. Both are 0 for a request without a prompt.
	TokensIn, MaxTokensOut int64
	// Prefix are the parts of the prompt in order; the last is the request's
	// own.
	Prefix []Part
}

// Worst is the most tokens that the request can cost.
func (r *Request) Worst() int64 { return r.TokensIn + r.MaxTokensOut }

// Dispatch is what a request carries to a backend server beyond the caller's
// own headers.
type Dispatch struct {
	// Server is the id of the only server that may run it.
	Server string
	// Account is the client account's name; empty on a public route.
	Account string
	// Deadline is what is left of the caller's time.
	Deadline time.Duration
	// LastEvent is where a resumed stream goes on.
	LastEvent string
	// Ranked tells that Priority is to be sent.
	Ranked   bool
	Priority int
}

// Answer is what the headers of a backend server's answer say.
type Answer struct {
	// RequestID names the request that the answer belongs to.
	RequestID string
	// NotRun tells that the server certainly did not run the request.
	NotRun bool
	// OtherServer tells that another server answers at the address.
	OtherServer bool
	// Signed tells that the answer is one that the server made itself.
	Signed bool
	// Limit is the rate limit that the answer names.
	Limit Limit
}

// Limit is the rate limit of a backend server, for the requests of all routers together.
type Limit struct {
	// Named tells that the answer names a limit, and PerSecond is the limit, in requests a
	// second, 0 or more.
	Named     bool
	PerSecond float64
	// Err tells why a limit that the answer names could not be read; nil: it could, or the
	// answer names none.
	Err error
}

// Protocol reads and writes the headers of one deployment.
type Protocol interface {
	// Request reads a caller's headers.
	Request(h http.Header) Request
	// Dispatch changes a copy of the caller's headers into those for a
	// backend server.
	Dispatch(h http.Header, d Dispatch)
	// Answer reads a backend server's headers.
	Answer(status int, h http.Header) Answer
	// Refusal sets the headers of an answer of the router's own.
	Refusal(h http.Header, id string)
}
