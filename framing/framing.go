// Package framing reads HTTP/1.x responses: what counts as one, how long its head may be, and whether its framing marks its end.
package framing

import "net/http"

// Delimited reports whether a response whose body was read to io.EOF is known to be
// complete: it has a length, is chunked, or is of a kind without a body. Any other
// response ends when its connection closes and may be truncated.
func Delimited(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
