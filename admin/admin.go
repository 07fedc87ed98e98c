// Package admin executes operators' commands, which gaplinkctl sends over drpc. Every
// router accepts them, since there is no separate control node.
package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/tables"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/filter/authenticate"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/table"
)

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 24

// Server answers operators' commands.
type Server struct {
	keyHash  string
	pages    int
	shards   int
	store    store.Store
	members  *members.Controller
	tables   *tables.Controller
	budgets  *budgets.Controller
	verdicts *verdicts.Controller
	peers    *peer.Client
	log      *zap.Logger
	commands map[string]command
}

// command executes one operator command with JSON arguments.
type command func(ctx context.Context, operator string, args []byte) (any, error)

// New returns a server that accepts the operator key with the hash keyHash. pages and shards are
// the numbers of budget pages and ledger shards.
func New(keyHash string, pages, shards int, s store.Store, m *members.Controller, t *tables.Controller, b *budgets.Controller, v *verdicts.Controller, p *peer.Client, log *zap.Logger) *Server {
	srv := &Server{keyHash: keyHash, pages: pages, shards: shards, store: s, members: m, tables: t, budgets: b, verdicts: v, peers: p, log: log}
	srv.commands = map[string]command{
		AccountCreate: withArgs(srv.accountCreate),
		AccountKey:    withArgs(srv.accountKey),
		AccountList:   withArgs(srv.accountList),
		BudgetCreate:  withArgs(srv.budgetCreate),
		BudgetTopUp:   withArgs(srv.budgetTopUp),
		BudgetShow:    withArgs(srv.budgetShow),
		BudgetClose:   withArgs(srv.budgetClose),
		PoolSet:       withArgs(srv.poolSet),
		PoolList:      withArgs(srv.poolList),
		PoolDelete:    withArgs(srv.poolDelete),
		TableGet:      withArgs(srv.tableGet),
		TableSet:      withArgs(srv.tableSet),
		TableApply:    withArgs(srv.tableApply),
		Audit:         withArgs(srv.audit),
		Bills:         withArgs(srv.bills),
		Status:        withArgs(srv.status),

		verdicts.CommandList: srv.verdictCommand(verdicts.CommandList),
		verdicts.CommandLift: srv.verdictCommand(verdicts.CommandLift),
	}
	return srv
}

// withArgs returns a command that decodes its JSON arguments and calls fn.
func withArgs[A any](fn func(context.Context, string, A) (any, error)) command {
	return func(ctx context.Context, operator string, args []byte) (any, error) {
		var a A
		if err := json.Unmarshal(args, &a); err != nil {
			return nil, result.New(result.BadRow, "arguments: %v", err)
		}
		return fn(ctx, operator, a)
	}
}

// Do implements the drpc method: it verifies the operator key and runs the command.
func (s *Server) Do(ctx context.Context, req *peer.AdminRequest) (*peer.AdminAnswer, error) {
	if !authenticate.Matches(req.Key, s.keyHash) {
		return nil, result.New(result.NotOperator, "the operator key is missing or wrong")
	}
	cmd, ok := s.commands[req.Command]
	if !ok {
		return nil, result.New(result.UnknownObject, "unknown command %q", req.Command)
	}
	out, err := cmd(ctx, req.Operator, req.Args)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	return &peer.AdminAnswer{Result: body}, nil
}

// verdictCommand returns a command on the verdicts, by which requests are quarantined.
func (s *Server) verdictCommand(name string) command {
	return func(_ context.Context, operator string, args []byte) (any, error) {
		return s.verdicts.Do(operator, name, args)
	}
}

// propose proposes edits to the fleet. A change that reached the configuration log is in the
// audit trail through that log; for one refused earlier, propose writes an audit entry.
func (s *Server) propose(ctx context.Context, operator string, skip []string, edits ...table.Edit) (table.Change, error) {
	change := table.Change{ID: uuid.NewString(), Operator: operator, Edits: edits}
	final, err := s.tables.Propose(ctx, change, skip)
	if err != nil && result.From(err).Code != result.CannotFollow {
		s.writeAudit(ctx, operator, "change", edits, err)
	}
	return final, err
}

func (s *Server) account(id string) (table.Account, int64, error) {
	st := s.tables.State()
	a, ok := st.Accounts[id]
	if !ok {
		return a, 0, result.New(result.UnknownObject, "account %s does not exist", id)
	}
	return a, st.ObjectRevision(table.KindAccount, id), nil
}

func (s *Server) accountCreate(ctx context.Context, operator string, a AccountArgs) (any, error) {
	return s.propose(ctx, operator, nil, table.NewEdit(table.KindAccount, a.ID, 0, table.Account{ID: a.ID}))
}

func (s *Server) accountKey(ctx context.Context, operator string, a AccountArgs) (any, error) {
	account, revision, err := s.account(a.ID)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	key := "gl-" + hex.EncodeToString(secret)
	hashes := append([]string(nil), account.KeyHashes...)
	account.KeyHashes = append(hashes, authenticate.Hash(key))
	change, err := s.propose(ctx, operator, nil, table.NewEdit(table.KindAccount, a.ID, revision, account))
	return KeyAnswer{Account: a.ID, Key: key, Revision: change.Revision}, err
}

func (s *Server) accountList(_ context.Context, _ string, _ struct{}) (any, error) {
	return s.tables.State().Objects(table.KindAccount), nil
}

func (s *Server) budgetCreate(ctx context.Context, operator string, a BudgetArgs) (any, error) {
	account, revision, err := s.account(a.Account)
	if err != nil {
		return nil, err
	}
	if err := budgets.Create(ctx, s.store, s.pages, a.ID, a.Account, a.Tokens); err != nil {
		s.writeAudit(ctx, operator, BudgetCreate, a, err)
		return nil, err
	}
	s.writeAudit(ctx, operator, BudgetCreate, a, nil)
	if account.Budget == "" {
		account.Budget = a.ID
	}
	account.Budgets = append(append([]string(nil), account.Budgets...), a.ID)
	return s.propose(ctx, operator, nil, table.NewEdit(table.KindAccount, a.Account, revision, account))
}

func (s *Server) budgetTopUp(ctx context.Context, operator string, a BudgetArgs) (any, error) {
	limit, err := budgets.TopUp(ctx, s.store, s.pages, a.ID, a.Tokens)
	s.writeAudit(ctx, operator, BudgetTopUp, a, err)
	if err != nil {
		return nil, err
	}
	return BudgetAnswer{ID: a.ID, Limit: limit}, nil
}

func (s *Server) budgetShow(ctx context.Context, _ string, a BudgetArgs) (any, error) {
	r, err := budgets.Show(ctx, s.store, s.pages, a.ID)
	if err != nil {
		return nil, err
	}
	answer := BudgetAnswer{ID: a.ID, Account: r.Account, Limit: r.Limit, Issued: r.Issued(), Free: r.Free()}
	answer.Holders = r.Holders
	answer.WrittenOff = r.WrittenOff
	s.addHeld(ctx, &answer)
	answer.SpentOrStranded = answer.Issued - answer.Held
	return answer, nil
}

// addHeld adds the tokens that the routers hold, and lists the routers that don't answer.
func (s *Server) addHeld(ctx context.Context, answer *BudgetAnswer) {
	for _, m := range s.members.Members() {
		resp, err := peer.Call[peer.HoldingRequest, peer.HoldingAnswer](ctx, s.peers, m.Addr, peer.MethodHolding, &peer.HoldingRequest{Budgets: []string{answer.ID}})
		if err != nil {
			answer.Silent = append(answer.Silent, m.ID)
			continue
		}
		h := resp.Holdings[answer.ID]
		answer.Held += h.Balance + h.Reserved + h.Writing + h.Unrecorded
	}
}

// budgetClose closes a holder whose instance the operator attests to be terminated. The
// tokens that it held remain counted as spent.
func (s *Server) budgetClose(ctx context.Context, operator string, a HolderArgs) (any, error) {
	var err error
	for n := range s.pages {
		if err = budgets.CloseHolder(ctx, s.store, n, a.Holder); err != nil {
			break
		}
	}
	s.writeAudit(ctx, operator, BudgetClose, a, err)
	return struct{}{}, err
}

func (s *Server) poolSet(ctx context.Context, operator string, a PoolArgs) (any, error) {
	revision := s.tables.State().ObjectRevision(table.KindPool, a.Pool.Name)
	return s.propose(ctx, operator, a.Skip, table.NewEdit(table.KindPool, a.Pool.Name, revision, a.Pool))
}

func (s *Server) poolList(_ context.Context, _ string, _ struct{}) (any, error) {
	return s.tables.State().Objects(table.KindPool), nil
}

func (s *Server) poolDelete(ctx context.Context, operator string, a PoolArgs) (any, error) {
	revision := s.tables.State().ObjectRevision(table.KindPool, a.Pool.Name)
	if revision == 0 {
		return nil, result.New(result.UnknownObject, "pool %s does not exist", a.Pool.Name)
	}
	return s.propose(ctx, operator, a.Skip, table.Edit{Kind: table.KindPool, Name: a.Pool.Name, Expect: revision})
}

func (s *Server) tableGet(_ context.Context, _ string, _ struct{}) (any, error) {
	return table.RowList(s.tables.State()), nil
}

// tableSet edits one row. Without an expected revision it expects the current one.
func (s *Server) tableSet(ctx context.Context, operator string, a TableSetArgs) (any, error) {
	st := s.tables.State()
	row, ok := st.Rows[a.Row]
	if !ok {
		var err error
		if row, err = table.ParseName(a.Row); err != nil {
			return nil, err
		}
	}
	row, err := table.SetColumns(row, a.Assignments)
	if err != nil {
		return nil, err
	}
	expect := st.ObjectRevision(table.KindRow, a.Row)
	if a.Expect != nil {
		expect = *a.Expect
	}
	return s.propose(ctx, operator, a.Skip, table.RowEdit(row, expect))
}

func (s *Server) tableApply(ctx context.Context, operator string, a TableApplyArgs) (any, error) {
	return s.propose(ctx, operator, a.Skip, a.Edits...)
}

const auditPrefix = "audit/"

// writeAudit writes an audit entry for a command that is not in the configuration log. The command
// has been decided by then, so an entry that cannot be written goes to the log.
func (s *Server) writeAudit(ctx context.Context, operator, what string, args any, err error) {
	text, _ := json.Marshal(args)
	entry := AuditEntry{At: time.Now().UTC(), Operator: operator, What: what + " " + string(text), Outcome: "accepted"}
	if err != nil {
		entry.Outcome = "refused: " + err.Error()
	}
	value, _ := json.Marshal(entry)
	key := fmt.Sprintf("%s%d-%s", auditPrefix, entry.At.UnixNano(), uuid.NewString())
	if _, err := s.store.Create(ctx, key, value); err != nil {
		s.log.Error("cannot write audit entry; it may be missing", zap.String("operator", operator), zap.String("command", entry.What),
			zap.String("outcome", entry.Outcome), zap.Error(err))
	}
}

// audit returns the entries of the configuration log and the other audit entries, oldest first.
func (s *Server) audit(ctx context.Context, _ string, _ struct{}) (any, error) {
	changes, err := s.tables.Log(ctx)
	if err != nil {
		return nil, err
	}
	var entries []AuditEntry
	for _, c := range changes {
		entries = append(entries, auditEntries(c)...)
	}
	objects, _, err := s.store.List(ctx, auditPrefix)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "the store does not answer").Wrap(err)
	}
	for _, o := range objects {
		entries = append(entries, decodeEntry(o))
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].At.Before(entries[j].At) })
	return entries, nil
}

// decodeEntry decodes an audit entry. An entry that cannot be decoded is listed as unreadable,
// since a trail without it would look complete.
func decodeEntry(o store.Object) AuditEntry {
	var e AuditEntry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return AuditEntry{At: entryTime(o.Key), What: o.Key, Outcome: "not readable: " + err.Error()}
	}
	return e
}

// entryTime returns the time at the start of an audit entry's key; zero if there is none.
func entryTime(key string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, auditPrefix), "-")
	nanos, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}

func auditEntries(c table.Change) []AuditEntry {
	outcome := string(c.Status)
	if len(c.Missing) > 0 {
		outcome = fmt.Sprintf("%s: %v could not follow", c.Status, c.Missing)
	}
	var entries []AuditEntry
	for _, e := range c.Edits {
		entries = append(entries, AuditEntry{
			At:       c.At,
			Operator: c.Operator,
			What:     string(e.Kind) + " " + e.Name,
			Before:   e.Before,
			After:    e.Value,
			Revision: c.Revision,
			Outcome:  outcome,
			Skipped:  c.Skipped,
		})
	}
	return entries
}

// bills returns the billed attempts and tokens in the ledger, by budget.
func (s *Server) bills(ctx context.Context, _ string, _ struct{}) (any, error) {
	sums := map[string]*BillSum{}
	for n := range s.shards {
		objects, _, err := s.store.List(ctx, ledger.Prefix(n))
		if err != nil {
			return nil, result.New(result.StoreUnavailable, "the store does not answer").Wrap(err)
		}
		for _, o := range objects {
			if err := addBills(sums, o.Value); err != nil {
				return nil, err
			}
		}
	}
	list := make([]BillSum, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Budget < list[j].Budget })
	return list, nil
}

func addBills(sums map[string]*BillSum, value []byte) error {
	seg, err := ledger.DecodeSegment(value)
	if err != nil {
		return err
	}
	for _, b := range seg.Batches {
		for _, op := range b.Ops {
			if op.Kind != ledger.Bill {
				continue
			}
			if sums[op.Budget] == nil {
				sums[op.Budget] = &BillSum{Account: op.Account, Budget: op.Budget}
			}
			sums[op.Budget].Attempts++
			sums[op.Budget].Tokens += op.Tokens
		}
	}
	return nil
}

func (s *Server) status(_ context.Context, _ string, _ struct{}) (any, error) {
	return StatusAnswer{
		Instance: s.members.Self().ID,
		Ready:    s.tables.Ready(),
		Revision: s.tables.State().Revision,
		Members:  s.members.Members(),
	}, nil
}
