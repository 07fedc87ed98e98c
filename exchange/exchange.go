// Package exchange defines the gateway's view of callers' requests and backend servers'
// responses, and the interface that hides a deployment's header names.
package exchange

import (
	"net/http"
	"time"
)

// Part is one part of a prompt, identified by its caller.
type Part struct {
	ID     string
	Tokens int64
}

// Request holds the values of a caller's request headers.
type Request struct {
	// ID is unique to one try of a caller.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// LastEvent is the id of the last event that the caller has; empty for a stream from its
	// start.
	LastEvent string
	// FirstTry is the ID of the try that brought the first event of the stream that the caller takes
	// up; empty if it does not say.
	FirstTry string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// TokensIn is the size of the prompt, and MaxTokensOut the maximum number of generated
	// tokens. Both are 0 for a request without a prompt.
	TokensIn, MaxTokensOut int64
	// BadTokens is why the sizes cannot be read although the request states them; nil if they could
	// be, or if it states none. Such a request cannot be charged.
	BadTokens error
	// Prefix lists the parts of the prompt in order; the last one is specific to the request.
	Prefix []Part
}

// MaxTokens returns the maximum number of tokens that the request can cost.
func (r *Request) MaxTokens() int64 { return r.TokensIn + r.MaxTokensOut }

// Dispatch holds what a request to a backend server carries beyond the caller's own headers.
type Dispatch struct {
	// Server is the id of the only server that may run the request.
	Server string
	// Account is the client account's name; empty on a public route.
	Account string
	// Deadline is what is left of the caller's time.
	Deadline time.Duration
	// LastEvent is where a resumed stream goes on.
	LastEvent string
	// SendPriority reports whether Priority is sent.
	SendPriority bool
	Priority     int
}

// Answer holds the values of a backend server's response headers.
type Answer struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// NotRun reports that the server certainly did not run the request.
	NotRun bool
	// WrongServer reports that a different server answers at the address.
	WrongServer bool
	// Signed reports that the response was produced by the server itself.
	Signed bool
	// Limit is the rate limit that the response announces.
	Limit Limit
	// Leaving reports that the response announces that its server is leaving.
	Leaving bool
	// Backoff is the time for which a server that rejected the request asks this router for no
	// further requests; 0 if it does not.
	Backoff time.Duration
	// Brittle is what the response says of how much its server bears.
	Brittle Brittle
	// Malformed is why announcements other than the limit could not be parsed; nil if all
	// could. What could not be parsed counts as absent.
	Malformed error
}

// Limit is the rate limit of a backend server, for the requests of all routers together.
type Limit struct {
	// Present reports that the response announces a limit, and PerSecond is that limit in
	// requests per second, 0 or more.
	Present   bool
	PerSecond float64
	// Err is why an announced limit could not be parsed; nil if it could, or if none is
	// announced.
	Err error
}

// Brittle is a server's statement that it falls over if it must reject many requests.
type Brittle struct {
	// Present reports that the response states it, and Rejections is the number of rejected requests in
	// a second beyond which the server falls over, 0 or more.
	Present    bool
	Rejections int
}

// Protocol reads and writes the headers of one deployment.
type Protocol interface {
	// Request parses a caller's headers.
	Request(h http.Header) Request
	// Dispatch turns a copy of the caller's headers into those for a backend server.
	Dispatch(h http.Header, d Dispatch)
	// Answer parses a backend server's response headers.
	Answer(status int, h http.Header) Answer
	// Unknown returns the names of response headers that are neither parsed by Answer nor
	// standard. A deployment may have given them a meaning that the router does not implement.
	Unknown(h http.Header) []string
	// Refusal sets the headers of a response that the router generates itself.
	Refusal(h http.Header, id string)
}
