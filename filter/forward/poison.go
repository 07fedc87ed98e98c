package forward

import (
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/table"
)

// crashRecord returns the fleet's record of whether servers crash while running the
// request.
func (h *Handler) crashRecord(x *filter.Exchange) *verdicts.Request {
	return h.verdicts.Request(func() poison.Identity {
		return poison.Identity{Account: x.Account.ID, Method: x.R.Method, Target: x.R.URL.RequestURI(), Body: x.Body}
	})
}

// serverIdentity identifies a server by the ID and address that the pool's entry holds.
func serverIdentity(s table.Server) placement.Server {
	return placement.Server{ID: s.ID, Address: s.Addr}
}

// reportOutcome reports to the fleet whether the attempt succeeded or the server broke the
// connection, as evidence of whether servers crash while running the request.
func (a *attempt) reportOutcome(f *engine.Failure) {
	switch {
	case f == nil:
		a.record.RecordSuccess(a.x.Target)
	case f.ConnectionLost && !f.Leaving:
		s := serverIdentity(a.server)
		s.Service = a.x.Target
		a.record.RecordBroken(s)
	}
}
