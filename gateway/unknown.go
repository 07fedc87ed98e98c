package gateway

import (
	"net/http"

	"go.uber.org/zap"
)

// logUnknown logs each unknown header of servers' responses once. Such a header is forwarded to the
// caller, and what it means to the router, if anything, is ignored.
func (g *Gateway) logUnknown(server string, h http.Header) {
	for _, name := range g.Protocol.Unknown(h) {
		if isNew, isLast := g.unknown.Add(name); isNew {
			g.Logs.All.Warn("unknown header in a server's response; forwarding it without acting on it", zap.String("header", name),
				zap.String("value", firstBytes(h.Get(name))), zap.String("server", server), zap.Bool("further_ones_not_logged", isLast))
		}
	}
}

// maxLoggedValue is the length in bytes to which a header value is cut in the log.
const maxLoggedValue = 64

func firstBytes(text string) string { return text[:min(len(text), maxLoggedValue)] }
