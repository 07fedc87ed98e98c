package admin

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/store"
)

// brokenStore cannot create objects.
type brokenStore struct{ store.Store }

func (brokenStore) Create(context.Context, string, []byte) (store.Object, error) {
	return store.Object{}, errors.New("store is down")
}

// TestLostAuditEntryIsLogged guards against audit entries that are lost without a trace.
func TestLostAuditEntryIsLogged(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	s := &Server{store: brokenStore{}, log: zap.New(core)}
	s.writeAudit(t.Context(), "ann", BudgetTopUp, map[string]int{"tokens": 5}, nil)
	lines := logged.All()
	if len(lines) != 1 || lines[0].ContextMap()["operator"] != "ann" || lines[0].ContextMap()["outcome"] != "accepted" {
		t.Errorf("lines: %+v", lines)
	}
}
