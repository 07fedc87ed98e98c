// Package authenticate finds the client account that an API key belongs to. Only the
// SHA-256 hashes of keys are stored.
package authenticate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

// Accounts provides the configuration in force.
type Accounts interface {
	State() *table.State
}

type handler struct {
	next     filter.Handler
	accounts Accounts
}

// New returns the filter.
func New(next filter.Handler, accounts Accounts) filter.Handler {
	return &handler{next: next, accounts: accounts}
}

// Hash returns the hex-encoded SHA-256 hash that is stored for a key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Matches compares a key with a stored hash in constant time.
func Matches(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(Hash(key)), []byte(strings.ToLower(hash))) == 1
}

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, x *filter.Exchange) error {
	key, ok := strings.CutPrefix(x.R.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return result.New(result.Unauthenticated, "send the header Authorization: Bearer KEY")
	}
	account, ok := find(h.accounts.State(), Hash(key))
	if !ok {
		return result.New(result.Unauthenticated, "the key belongs to no client account")
	}
	x.Account = account
	return h.next.Serve(ctx, x)
}

// find compares the hash with those of every account, so that its duration does not
// reveal which one matched.
func find(s *table.State, hash string) (table.Account, bool) {
	var found table.Account
	ok := false
	for _, a := range s.Accounts {
		for _, stored := range a.KeyHashes {
			if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(stored))) == 1 {
				found, ok = a, true
			}
		}
	}
	return found, ok
}
