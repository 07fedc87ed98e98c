// Package table defines the operators' configuration: client accounts, backend server
// pools, and the table of weights and limits.
//
// Each configuration has a revision. A change is either committed for the whole fleet
// or refused; see Participant. The package does no I/O of its own.
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

// Kinds of configured objects.
const (
	KindAccount Kind = "account"
	KindPool    Kind = "pool"
	KindRow     Kind = "row"
)

// Any as a row's Account makes the row apply to all client accounts.
const Any = "*"

// Account is a client account.
type Account struct {
	// ID is the account's name.
	ID string `json:"id"`
	// KeyHashes are the SHA-256 hashes (hex) of its keys. The keys themselves
	// are stored nowhere.
	KeyHashes []string `json:"key_hashes"`
	// Budget is the default budget of requests that name none.
	Budget string `json:"budget"`
	// Budgets are all budgets that the account may use.
	Budgets []string `json:"budgets"`
}

// Owns reports whether the account may use the budget.
func (a Account) Owns(budget string) bool {
	for _, b := range a.Budgets {
		if b == budget {
			return true
		}
	}
	return false
}

// PoolKind is the kind of the servers of a pool: model engines or plain services.
type PoolKind string

// Kinds of pools.
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
	// Fencing is set if the server rejects requests with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
}

// Pool is a group of interchangeable backend servers at one site.
type Pool struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Kind is model or service.
	Kind PoolKind `json:"kind"`
	// Target is the model or service that the pool serves.
	Target string `json:"target"`
	// Site is the data centre, such as "old" or "new".
	Site string `json:"site"`
	// Servers are the members of the pool.
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
	// MaxInFlight limits the requests in flight across the fleet; 0 means no limit.
	MaxInFlight int `json:"max_in_flight"`
	// RatePerSecond limits requests per second across the fleet; 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second"`
	// TokensPerSecond limits reserved tokens per second; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Priority orders requests under load; higher values are served first.
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

// Edit is the part of a change that concerns one object.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Expect is the revision of the object that the operator saw; 0 means
	// that it did not exist.
	Expect int64 `json:"expect"`
	// Value is the new content; null deletes the object.
	Value json.RawMessage `json:"value,omitempty"`
	// Before is the replaced content, for the audit trail.
	Before json.RawMessage `json:"before,omitempty"`
}

// Status is the decision state of a change.
type Status string

// Statuses of a change. Committed and Refused are final.
const (
	Proposed  Status = "proposed"
	Committed Status = "committed"
	Refused   Status = "refused"
)

// Change is one entry of the configuration log.
type Change struct {
	// Revision is the entry's number in the log. There are no gaps: a refused
	// change keeps its number.
	Revision int64 `json:"revision"`
	// ID is unique, so that a proposer whose store response was lost can tell its
	// own proposal from another.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Edits    []Edit    `json:"edits"`
	Status   Status    `json:"status"`
	// Missing lists the instances that could not apply a refused change.
	Missing []string `json:"missing,omitempty"`
	// Skipped lists the instances that the operator attested to be terminated.
	Skipped []string `json:"skipped,omitempty"`
}

// Encode returns the change as it is stored (JSON).
func (c Change) Encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // the fields always encode
	}
	return value
}

// DecodeChange decodes a stored change.
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

// State is the configuration at one revision.
type State struct {
	Revision  int64
	Accounts  map[string]Account
	Pools     map[string]Pool
	Rows      map[string]Row
	revisions map[Kind]map[string]int64
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{
		Accounts:  map[string]Account{},
		Pools:     map[string]Pool{},
		Rows:      map[string]Row{},
		revisions: map[Kind]map[string]int64{KindAccount: {}, KindPool: {}, KindRow: {}},
	}
}

// ObjectRevision returns the revision of an object's last change, or 0 if the object
// doesn't exist.
func (s *State) ObjectRevision(kind Kind, name string) int64 {
	return s.revisions[kind][name]
}

// Object returns an object as it is stored. It returns false if there is none.
func (s *State) Object(kind Kind, name string) (Object, bool) {
	rev := s.revisions[kind][name]
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

// Objects returns all objects of a kind, sorted by name.
func (s *State) Objects(kind Kind) []Object {
	var list []Object
	for name := range s.revisions[kind] {
		o, _ := s.Object(kind, name)
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Clone returns a copy that shares no maps with s.
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
	for kind, revs := range s.revisions {
		for name, rev := range revs {
			c.revisions[kind][name] = rev
		}
	}
	return c
}

// Apply returns the state after a change. A change that is not committed only advances
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
	s.revisions[e.Kind][e.Name] = revision
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
	delete(s.revisions[kind], name)
	switch kind {
	case KindAccount:
		delete(s.Accounts, name)
	case KindPool:
		delete(s.Pools, name)
	case KindRow:
		delete(s.Rows, name)
	}
}

// RowsFor returns the effective rows of an account and target by site. The account's
// own row takes precedence over the "*" row of the same site.
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
	key := Row{Account: account, Target: target, Site: site}
	if r, ok := s.Rows[key.Name()]; ok {
		return r, true
	}
	key.Account = Any
	r, ok := s.Rows[key.Name()]
	return r, ok
}

// HasTarget reports whether a pool of that kind serves the target.
func (s *State) HasTarget(kind PoolKind, target string) bool {
	for _, p := range s.Pools {
		if p.Kind == kind && p.Target == target {
			return true
		}
	}
	return false
}
