package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

// peerMux returns the RPC methods that the router serves to other routers and
// operators.
func (r *Router) peerMux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodBudget, r.onBudget)
	peer.Handle(m, peer.MethodHolding, r.onHolding)
	peer.Handle(m, peer.MethodLedger, r.onLedger)
	peer.Handle(m, peer.MethodRunning, r.onRunning)
	peer.Handle(m, peer.MethodPrepare, r.onPrepare)
	peer.Handle(m, peer.MethodDecide, r.onDecide)
	peer.Handle(m, peer.MethodLeaving, r.onLeaving)
	peer.Handle(m, peer.MethodAdmin, r.admin.Do)
	peer.Handle(m, peer.MethodWho, r.onWho)
	peer.Handle(m, peer.MethodBarrier, r.onBarrier)
	peer.Handle(m, peer.MethodLeft, r.onLeft)
	peer.Handle(m, peer.MethodVerdicts, r.verdicts.OnReport)
	return m
}

func (r *Router) onBudget(_ context.Context, req *peer.BudgetMessage) (*peer.Empty, error) {
	return &peer.Empty{}, r.budgets.Receive(req.Message)
}

func (r *Router) onHolding(_ context.Context, req *peer.HoldingRequest) (*peer.HoldingAnswer, error) {
	return &peer.HoldingAnswer{Incarnation: r.incarnation, Holdings: r.reclaims.Holdings(req.Budgets)}, nil
}

func (r *Router) onWho(context.Context, *peer.Empty) (*peer.WhoAnswer, error) {
	return &peer.WhoAnswer{Incarnation: r.incarnation}, nil
}

func (r *Router) onLeft(context.Context, *peer.Empty) (*peer.LeftAnswer, error) {
	return &peer.LeftAnswer{Servers: r.health.Leaving()}, nil
}

func (r *Router) onBarrier(ctx context.Context, req *peer.BarrierRequest) (*peer.Empty, error) {
	if len(req.Fenced) == 0 {
		return &peer.Empty{}, nil
	}
	return &peer.Empty{}, r.reclaims.Barrier(ctx, req.Fenced)
}

func (r *Router) onLedger(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerAnswer, error) {
	op := req.Op
	op.Durable = req.Durable
	outcome, err := r.ledgers.Submit(ctx, req.Shard, op)
	if err != nil {
		return nil, result.New(result.LedgerUnreachable, "%v", err)
	}
	return &peer.LedgerAnswer{Outcome: outcome}, nil
}

func (r *Router) onRunning(_ context.Context, req *peer.RunningRequest) (*peer.RunningAnswer, error) {
	return &peer.RunningAnswer{Running: r.ledgers.IsServing(req.Incarnation, req.Claim)}, nil
}

func (r *Router) onPrepare(ctx context.Context, req *peer.PrepareRequest) (*peer.PrepareAnswer, error) {
	ok, revision := r.tables.Prepare(ctx, req.Change)
	return &peer.PrepareAnswer{OK: ok, Revision: revision}, nil
}

func (r *Router) onDecide(_ context.Context, req *peer.DecideRequest) (*peer.DecideAnswer, error) {
	return &peer.DecideAnswer{Revision: r.tables.Decide(req.Change)}, nil
}

func (r *Router) onLeaving(_ context.Context, req *peer.LeavingRequest) (*peer.Empty, error) {
	if req.Kind == "router" {
		r.members.SetLeaving(req.ID)
	} else {
		r.health.MarkLeaving(req.ID)
	}
	return &peer.Empty{}, nil
}

// parameters must be the same on all instances, since they determine the placement of
// budgets and requests.
type parameters struct {
	Pages  int `json:"pages"`
	Shards int `json:"shards"`
}

const (
	parametersKey     = "fleet/parameters"
	joinRetryInterval = 300 * time.Millisecond
)

// join checks the settings against the fleet's stored parameters, which the first router
// writes, and registers this process as a token holder. A router whose settings differ
// never becomes ready.
func (r *Router) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.tryJoin(ctx)
		if err == nil {
			r.joined.Store(true)
			go r.verdicts.Run(ctx) // queries the other routers first, so it needs the member list
			return
		}
		r.log.Info("could not join the fleet; retrying", zap.Error(err))
		_ = wait.For(ctx, joinRetryInterval)
	}
}

func (r *Router) tryJoin(ctx context.Context) error {
	own := parameters{Pages: r.settings.Budgets.Pages, Shards: r.settings.Ledger.Shards}
	fleet, err := r.fleetParameters(ctx, own)
	if err != nil {
		return err
	}
	if fleet != own {
		return result.New(result.ParametersMismatch, "settings %+v differ from the fleet's %+v", own, fleet)
	}
	if err := r.reclaims.Register(ctx); err != nil {
		return err
	}
	r.members.Refresh(ctx)
	r.health.FetchLeaving(ctx)
	return nil
}

func (r *Router) fleetParameters(ctx context.Context, own parameters) (parameters, error) {
	var fleet parameters
	o, err := r.store.Get(ctx, parametersKey)
	if errors.Is(err, store.ErrNotFound) {
		value, _ := json.Marshal(own)
		_, _ = r.store.Create(ctx, parametersKey, value)
		o, err = r.store.Get(ctx, parametersKey)
	}
	if err != nil {
		return fleet, err
	}
	return fleet, json.Unmarshal(o.Value, &fleet)
}
