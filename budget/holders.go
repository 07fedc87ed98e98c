package budget

import (
	"cmp"
	"slices"
	"time"
)

// This file finds the routers that hold the most tokens of a budget, by the page.

// recordedHolder is what the page records about a holder of a budget.
type recordedHolder struct {
	peer Peer
	// escrow is what the holder had in escrow at its last write, issued its net issue. The net
	// issue includes what the holder has spent or granted since, so it comes second.
	escrow, issued int64
}

// lenders returns the routers to borrow from, best first: in a large fleet those for which the page
// records the most tokens, whose number is recorded, and then Config.Lenders.
func (a *Agent) lenders(now time.Time, p *budgetState) (list []Peer, recorded int) {
	if a.sharedOwner() && a.cfg.Holder != nil {
		for _, h := range a.recordedHolders(p) {
			list = append(list, h.peer)
		}
	}
	recorded = len(list)
	if a.cfg.Lenders != nil {
		list = append(list, a.cfg.Lenders(now, p.id)...)
	}
	return list, recorded
}

// recordedHolders returns the other holders of a budget that may still run, those with the most
// recorded tokens first.
func (a *Agent) recordedHolders(p *budgetState) []recordedHolder {
	r := a.record(p)
	if r == nil {
		return nil
	}
	page := a.pages[p.page].page
	var list []recordedHolder
	for holder := range page.Ops { // every holder that has written the page
		h := recordedHolder{escrow: page.Escrows[holder].Parts[p.id].Tokens, issued: r.Holders[holder]}
		if holder == a.cfg.Self.Incarnation || h.escrow <= 0 && h.issued <= 0 {
			continue
		}
		if peer, ok := a.cfg.Holder(holder); ok {
			h.peer = peer
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(x, y recordedHolder) int {
		return cmp.Or(cmp.Compare(y.escrow, x.escrow), cmp.Compare(y.issued, x.issued), cmp.Compare(x.peer.ID, y.peer.ID))
	})
	return list[:min(len(list), maxLendersAsked)]
}
