package lab

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/filter/authenticate"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/table"
)

// operatorKey is the operator key of lab fleets.
const operatorKey = "lab-operator-key"

const operatorTimeout = 15 * time.Second

// operator sends admin commands to a router, as gaplinkctl does.
type operator struct {
	peers *peer.Client
	name  string
	addr  string
}

func newOperator(name, addr string) *operator {
	return &operator{peers: peer.NewClient(peer.Options{DialTimeout: time.Second}), name: name, addr: addr}
}

func (o *operator) do(command string, args, into any) error {
	body, err := json.Marshal(args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	resp, err := peer.Call[peer.AdminRequest, peer.AdminAnswer](ctx, o.peers, o.addr, peer.MethodAdmin, &peer.AdminRequest{
		Operator: o.name, Key: operatorKey, Command: command, Args: body,
	})
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(resp.Result, into)
}

// accountSpec is a client account to create, with the limits of its budgets.
type accountSpec struct {
	ID      string
	Budgets map[string]int64
}

// setUp creates accounts, keys, budgets, pools and table rows. It returns the keys by
// account.
func (o *operator) setUp(accounts []accountSpec, pools []table.Pool) (map[string]string, error) {
	keys := map[string]string{}
	for _, a := range accounts {
		key, err := o.account(a)
		if err != nil {
			return nil, err
		}
		keys[a.ID] = key
	}
	for _, p := range pools {
		if err := o.do(admin.PoolSet, admin.PoolArgs{Pool: p}, nil); err != nil {
			return nil, err
		}
		row := admin.TableSetArgs{Row: "*/" + p.Target + "/" + p.Site, Assignments: []string{"weight=50"}}
		if err := o.do(admin.TableSet, row, nil); err != nil {
			return nil, err
		}
	}
	return keys, nil
}

func (o *operator) account(a accountSpec) (string, error) {
	if err := o.do(admin.AccountCreate, admin.AccountArgs{ID: a.ID}, nil); err != nil {
		return "", err
	}
	for id, limit := range a.Budgets {
		if err := o.do(admin.BudgetCreate, admin.BudgetArgs{ID: id, Account: a.ID, Tokens: limit}, nil); err != nil {
			return "", err
		}
	}
	var answer admin.KeyAnswer
	err := o.do(admin.AccountKey, admin.AccountArgs{ID: a.ID}, &answer)
	return answer.Key, err
}

func operatorKeyHash() string { return authenticate.Hash(operatorKey) }
