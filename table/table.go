// Package table holds the operators' configuration: client accounts, backend
// server pools, and the one table of weights and limits.
//
// A configuration has a revision. A change is decided for the whole fleet or
// refused; see Participant. The package is pure.
package table

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/gaplink/gaplink/result"
)

// Kind is the kind of a configured object.
type Kind string

// The kinds.
const (
	KindAccount Kind = "account"
	KindPool    Kind = "pool"
	KindRow     Kind = "row"
)

// Any in a row's Account applies the row to all client accounts.
const Any = "*"

// Account is a client account.
type Account struct {
	// ID is the account's name.
	ID string `json:"id"`
	// KeyHashes are the SHA-256 hashes (hex) of its keys. The keys themselves
	// are stored nowhere.
	KeyHashes []string `json:"key_hashes"`
	// Budget is the budget used when a request names none.
	Budget string `json:"budget"`
	// Budgets are all budgets that the account may use.
	Budgets []string `json:"budgets"`
}

// Owns tells whether the account may use the budget.
func (a Account) Owns(budget string) bool {
	for _, b := range a.Budgets {
		if b == budget {
			return true
		}
	}
	return false
}

// PoolKind tells model engines from plain services.
type PoolKind string

// The pool kinds.
const (
	Model   PoolKind = "model"
	Service PoolKind = "service"
)

// Server is one backend server.
type Server struct {
	// ID is unique in the fleet.
	ID string `json:"id"`
	// Addr is its IP:port.
	Addr string `json:"addr"`
	// Fencing tells that it refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty"`
}

// Pool is a group of equal backend servers at one site.
type Pool struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Kind is model or service.
	Kind PoolKind `json:"kind"`
	// Target is the model or the service it serves.
	Target string `json:"target"`
	// Site is the data centre, such as "old" or "new".
	Site string `json:"site"`
	// Servers are its members.
	Servers []Server `json:"servers"`
}

// Row is one row of the table of weights and limits.
type Row struct {
	// Account is a client account or "*".
	Account string `json:"account"`
	// Target is a model or a service.
	Target string `json:"target"`
	// Site is a data centre.
	Site string `json:"site"`
	// Weight is the site's share of the traffic, relative to the other sites
	// of the same account and target.
	Weight int `json:"weight"`
	// MaxInFlight limits the requests in flight in the fleet; 0 is no limit.
	MaxInFlight int `json:"max_in_flight"`
	// RatePerSecond limits requests a second in the fleet; 0 is no limit.
	RatePerSecond float64 `json:"rate_per_second"`
	// TokensPerSecond limits reserved tokens a second; 0 is no limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Priority orders requests under load; higher goes first.
	Priority int `json:"priority"`
}

// Name returns the row's name: ACCOUNT/TARGET/SITE.
func (r Row) Name() string {
	return r.Account + "/" + r.Target + "/" + r.Site
}

// Object is one configured object with the revision of its last change.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Edit is one object's part of a change.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Expect is the revision of the object that the operator saw; 0 means
	// that it did not exist.
	Expect int64 `json:"expect"`
	// Value is the new content; null deletes.
	Value json.RawMessage `json:"value,omitempty"`
	// Before is the content it replaced, for the audit trail.
	Before json.RawMessage `json:"before,omitempty"`
}

// Status is how far a change is decided.
type Status string

// The statuses. Committed and refused are final.
const (
	Proposed  Status = "proposed"
	Committed Status = "committed"
	Refused   Status = "refused"
)

// Change is one entry of the configuration log.
type Change struct {
	// Revision numbers the log without gaps; a refused change uses its
	// number up.
	Revision int64 `json:"revision"`
	// ID is unique, so that a proposal whose answer was lost is recognised.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Edits    []Edit    `json:"edits"`
	Status   Status    `json:"status"`
	// Missing names the instances that could not follow a refused change.
	Missing []string `json:"missing,omitempty"`
	// Skipped names instances that the operator attested to be terminated.
	Skipped []string `json:"skipped,omitempty"`
}

// Encode returns the stored form.
func (c Change) Encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain values always encode
	}
	return value
}

// DecodeChange reads a change from its stored form.
func DecodeChange(value []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(value, &c)
	return c, err
}

// LogPrefix is the store prefix of the configuration log.
const LogPrefix = "config/log/"

// LogKey returns the store key of a change.
func LogKey(revision int64) string {
	return fmt.Sprintf("%s%012d", LogPrefix, revision)
}

// State is the configuration at a revision.
type State struct {
	Revision int64
	Accounts map[string]Account
	Pools    map[string]Pool
	Rows     map[string]Row
	revs     map[Kind]map[string]int64
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{
		Accounts: map[string]Account{},
		Pools:    map[string]Pool{},
		Rows:     map[string]Row{},
		revs:     map[Kind]map[string]int64{KindAccount: {}, KindPool: {}, KindRow: {}},
	}
}

// ObjectRevision returns the revision of an object's last change; 0 if it
// does not exist.
func (s *State) ObjectRevision(kind Kind, name string) int64 {
	return s.revs[kind][name]
}

// Object returns an object in its stored form.
func (s *State) Object(kind Kind, name string) (Object, bool) {
	rev := s.revs[kind][name]
	if rev == 0 {
		return Object{}, false
	}
	var v any
	switch kind {
	case KindAccount:
		v = s.Accounts[name]
	case KindPool:
		v = s.Pools[name]
	default:
		v = s.Rows[name]
	}
	value, _ := json.Marshal(v)
	return Object{Kind: kind, Name: name, Revision: rev, Value: value}, true
}

// Objects returns all objects of a kind in the order of their names.
func (s *State) Objects(kind Kind) []Object {
	var list []Object
	for name := range s.revs[kind] {
		o, _ := s.Object(kind, name)
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Clone returns a copy that shares no map.
func (s *State) Clone() *State {
	c := NewState()
	c.Revision = s.Revision
	for k, v := range s.Accounts {
		c.Accounts[k] = v
	}
	for k, v := range s.Pools {
		c.Pools[k] = v
	}
	for k, v := range s.Rows {
		c.Rows[k] = v
	}
	for kind, revs := range s.revs {
		for name, rev := range revs {
			c.revs[kind][name] = rev
		}
	}
	return c
}

// Apply returns the state after a committed change; other statuses only move
// the revision.
func (s *State) Apply(c Change) (*State, error) {
	next := s.Clone()
	next.Revision = c.Revision
	if c.Status != Committed {
		return next, nil
	}
	for _, e := range c.Edits {
		if err := next.edit(c.Revision, e); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *State) edit(revision int64, e Edit) error {
	if len(e.Value) == 0 || string(e.Value) == "null" {
		s.remove(e.Kind, e.Name)
		return nil
	}
	if err := s.set(e); err != nil {
		return result.New(result.BadRow, "%s %s: %v", e.Kind, e.Name, err)
	}
	s.revs[e.Kind][e.Name] = revision
	return nil
}

func (s *State) set(e Edit) error {
	switch e.Kind {
	case KindAccount:
		return setIn(s.Accounts, e)
	case KindPool:
		return setIn(s.Pools, e)
	case KindRow:
		return setIn(s.Rows, e)
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
}

func setIn[T any](m map[string]T, e Edit) error {
	var v T
	dec := json.NewDecoder(strings.NewReader(string(e.Value)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return err
	}
	m[e.Name] = v
	return nil
}

func (s *State) remove(kind Kind, name string) {
	delete(s.revs[kind], name)
	switch kind {
	case KindAccount:
		delete(s.Accounts, name)
	case KindPool:
		delete(s.Pools, name)
	case KindRow:
		delete(s.Rows, name)
	}
}

// RowsFor returns the rows in force for an account and target, by site: an
// account's own row goes before the "*" row of the same site.
func (s *State) RowsFor(account, target string) map[string]Row {
	rows := map[string]Row{}
	for _, p := range s.Pools {
		if p.Target != target {
			continue
		}
		if r, ok := s.rowFor(account, target, p.Site); ok {
			rows[p.Site] = r
		}
	}
	return rows
}

func (s *State) rowFor(account, target, site string) (Row, bool) {
	own := Row{Account: account, Target: target, Site: site}
	if r, ok := s.Rows[own.Name()]; ok {
		return r, true
	}
	own.Account = Any
	r, ok := s.Rows[own.Name()]
	return r, ok
}

// HasTarget tells whether a pool of that kind serves the target.
func (s *State) HasTarget(kind PoolKind, target string) bool {
	for _, p := range s.Pools {
		if p.Kind == kind && p.Target == target {
			return true
		}
	}
	return false
}
