package framing

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the errors for a response whose head HTTP/1.1 does not allow. It belongs to no request, and
// the server may have run the one that was sent. net/http itself rejects some of these heads with errors of its own.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrMalformed if the version of a response is not HTTP/1.0 or HTTP/1.1, its status
// is none of 100 to 599 or is 101, which no request here asks for, or the name of a header field is not a token. net/http
// drops or keeps such a field; if it is one of those that delimit the body, the body has another end.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 || resp.ProtoMinor > 1 {
		return fmt.Errorf("%w: version %q", ErrMalformed, resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// ReadResponse is http.ReadResponse for responses that Check accepts and whose status line has a single space before
// the status. Check does not see that space; RFC 9112, section 4, lets a reader accept more of them.
func ReadResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	const status = len("HTTP/1.1 ") // its offset
	if start, err := r.Peek(status + 1); err == nil && start[status] == ' ' {
		return nil, fmt.Errorf("%w: status line %q", ErrMalformed, start)
	}
	resp, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Transport is an http.RoundTripper that returns only responses that Check accepts. The connection of any other one is
// closed, and the error wraps ErrMalformed.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // the response is of no use
		_ = conn.Conn.Close() // net/http keeps the connection if the body is empty
		return nil, err
	}
	return resp, nil
}
