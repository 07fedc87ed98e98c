package gateway

import (
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// maxUnknownHeaders bounds the unknown headers that are logged, since a server may send a new
// name in each response.
const maxUnknownHeaders = 32

// unknownHeaders holds the names of unknown response headers seen so far. The zero value is ready
// to use. It is safe for concurrent use.
type unknownHeaders struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add records a name and reports whether it is new and within maxUnknownHeaders, and whether it is
// the last one.
func (u *unknownHeaders) add(name string) (isNew, isLast bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] || len(u.seen) >= maxUnknownHeaders {
		return false, false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[name] = true
	return true, len(u.seen) == maxUnknownHeaders
}

// logUnknown logs each unknown header of servers' responses once. Such a header is forwarded to the
// caller, and what it means to the router, if anything, is ignored.
func (g *Gateway) logUnknown(server string, h http.Header) {
	for _, name := range g.Protocol.Unknown(h) {
		if isNew, isLast := g.unknown.add(name); isNew {
			g.Logs.All.Warn("unknown header in a server's response; forwarding it without acting on it", zap.String("header", name),
				zap.String("value", firstBytes(h.Get(name))), zap.String("server", server), zap.Bool("further_ones_not_logged", isLast))
		}
	}
}

// maxLoggedValue is the length in bytes to which a header value is cut in the log.
const maxLoggedValue = 64

func firstBytes(text string) string { return text[:min(len(text), maxLoggedValue)] }
