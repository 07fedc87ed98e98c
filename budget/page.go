// Package budget distributes a prepaid token budget among routers.
//
// The package is pure: every call takes the time as an argument, does no I/O and returns
// typed effects. Safety needs no clock, lease or leader: a page in the store records all
// tokens ever issued, tokens are issued by a conditional update that never exceeds the
// limit, and tokens move between routers only by a decrement at the sender before the
// message leaves.
package budget

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Page is one store object that holds many budgets, so that one conditional update covers
// all of them.
type Page struct {
	// Budgets maps budget names to their records.
	Budgets map[string]*Record `json:"budgets"`
	// Ops holds the number of each holder's last write. It identifies a write whose answer
	// was lost.
	Ops map[string]int64 `json:"ops"`
	// Fenced lists the holders whose tokens were reclaimed: what they still hold is void,
	// and they must not write any more.
	Fenced map[string]bool `json:"fenced,omitempty"`
	// Escrows holds the escrow of each holder.
	Escrows map[string]Escrow `json:"escrows,omitempty"`
}

// Record is the stored state of one budget.
type Record struct {
	// Account is the client account that owns the budget.
	Account string `json:"account"`
	// Limit is the prepaid number of tokens. Top-ups raise it; if the operator's
	// configuration sets it, it may also be lowered.
	Limit int64 `json:"limit"`
	// LimitVersion is the version of the configuration that set the limit; 0 if limits are
	// changed in the page itself.
	LimitVersion int64 `json:"limit_version,omitempty"`
	// Settled is the net issue of holders that closed properly.
	Settled int64 `json:"settled"`
	// WrittenOff counts issued tokens whose use cannot be determined any more, after
	// several routers died together. They count as spent.
	WrittenOff int64 `json:"written_off,omitempty"`
	// Holders is the net issue (draws minus returns) of each open holder incarnation. It
	// may be negative for one that returned tokens which another holder drew.
	Holders map[string]int64 `json:"holders"`
}

// Issued returns all tokens ever issued, net of returns: an upper bound on the tokens
// spent.
func (r *Record) Issued() int64 {
	total := r.Settled
	for _, n := range r.Holders {
		total += n
	}
	return total
}

// Free returns the tokens that can still be issued.
func (r *Record) Free() int64 {
	return r.Limit - r.Issued()
}

// NewPage returns an empty page.
func NewPage() *Page {
	return &Page{Budgets: map[string]*Record{}, Ops: map[string]int64{}, Fenced: map[string]bool{}, Escrows: map[string]Escrow{}}
}

// errInvalidPage reports JSON in which the budgets or the record of one are missing, or a
// map is null. If it were accepted as a page without them, the next write would overwrite
// the stored page, and every router would panic at its next draw, and again after each
// restart.
var errInvalidPage = errors.New("budget page: missing or null field")

// DecodePage parses the stored form of a page.
func DecodePage(value []byte) (*Page, error) {
	p := NewPage()
	p.Budgets = nil // Encode always writes them
	if err := json.Unmarshal(value, p); err != nil {
		return nil, fmt.Errorf("budget page: %w", err)
	}
	// A null replaces the empty map that an absent field leaves in place.
	if p.Budgets == nil || p.Ops == nil || p.Fenced == nil || p.Escrows == nil {
		return nil, errInvalidPage
	}
	for _, r := range p.Budgets {
		if r == nil || r.Holders == nil {
			return nil, errInvalidPage
		}
	}
	return p, nil
}

// Encode returns the stored form.
func (p *Page) Encode() []byte {
	value, err := json.Marshal(p)
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	return value
}

// Clone returns a deep copy.
func (p *Page) Clone() *Page {
	c := &Page{Budgets: make(map[string]*Record, len(p.Budgets)), Ops: maps.Clone(p.Ops), Fenced: maps.Clone(p.Fenced), Escrows: maps.Clone(p.Escrows)}
	for id, r := range p.Budgets {
		copied := *r
		copied.Holders = maps.Clone(r.Holders)
		c.Budgets[id] = &copied
	}
	return c
}

// Names returns the budget names, sorted.
func (p *Page) Names() []string {
	names := make([]string, 0, len(p.Budgets))
	for id := range p.Budgets {
		names = append(names, id)
	}
	sort.Strings(names)
	return names
}

// issue moves tokens to a holder, or back from it if negative.
func (p *Page) issue(id, holder string, tokens int64) {
	r := p.Budgets[id]
	if r.Holders == nil {
		r.Holders = map[string]int64{}
	}
	r.Holders[holder] += tokens
	if r.Holders[holder] == 0 {
		delete(r.Holders, holder)
	}
}

// Close folds a holder that will never write again into the settled sums. It is called for
// a planned stop after the holder returned what it had, and by an operator who attests
// that the instance was terminated.
func (p *Page) Close(holder string) {
	for _, r := range p.Budgets {
		r.Settled += r.Holders[holder]
		delete(r.Holders, holder)
	}
	delete(p.Ops, holder)
	delete(p.Escrows, holder)
}

// Reclaim returns to the budgets the tokens that fenced holders left behind, as computed by
// Stranded, and records the fence in the page.
func (p *Page) Reclaim(holders []string, stranded map[string]int64) {
	for id, tokens := range stranded {
		p.Budgets[id].Settled -= tokens
	}
	p.fence(holders)
}

// WriteOff permanently counts as spent the tokens that fenced holders left behind, and
// records the fence in the page.
func (p *Page) WriteOff(holders []string, stranded map[string]int64) {
	for id, tokens := range stranded {
		p.Budgets[id].WrittenOff += tokens
	}
	p.fence(holders)
}

// AllFenced reports whether all these holders are already fenced in the page.
func (p *Page) AllFenced(holders []string) bool {
	for _, h := range holders {
		if !p.Fenced[h] {
			return false
		}
	}
	return true
}

func (p *Page) fence(holders []string) {
	for _, h := range holders {
		p.Close(h)
		p.Fenced[h] = true
	}
}

// PageOf returns the number of the page that holds the budget.
func PageOf(id string, pages int) int {
	return int(xxhash.Sum64String(id) % uint64(pages))
}

// RankKey returns the name by which the owner of a page's budgets is ranked.
func RankKey(page int) string {
	return fmt.Sprintf("budgets/%d", page)
}

// PageKey returns the store key of a page.
func PageKey(page int) string {
	return fmt.Sprintf("budgets/%05d", page)
}
