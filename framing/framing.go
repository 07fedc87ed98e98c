// Package framing tells what proves the end of an HTTP/1.x answer.
package framing

import "net/http"

// Proved tells whether the framing of an answer proves its end, once its body was
// read to io.EOF: a length, chunks, or a kind of answer that has no body. Any other
// answer ends with its connection, and may be whole or cut.
func Proved(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
