// Package poison identifies the requests that crash backend servers.
//
// A request that crashes the process that runs it is a poison request (a query of death): each
// time it is sent again, by a router's retry or by its caller, it crashes another server and
// fails the other requests that run there. The package is pure: callers pass the time.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Fingerprint identifies the content of a request: two attempts of one request have the same
// fingerprint, whatever their ids.
//
// It is a truncated SHA-256. A shorter or faster hash would avoid accidental collisions, but
// anybody could compute a second body with the same hash and have another caller's request
// quarantined. 128 bits prevent that without a secret that all routers would have to share.
type Fingerprint [16]byte

// Identity holds the parts of a request that its fingerprint covers.
type Identity struct {
	// Account is the client account that sends the request; empty on a public route. It keeps
	// an account from creating requests with the fingerprint of another account's request.
	Account string
	Method  string
	// Host is empty where it names the router and not the content that is requested.
	Host string
	// Target is the path with its query.
	Target string
	Body   []byte
	// Parts are the IDs of the parts of the prompt that may be shared with other requests. The fingerprint
	// does not cover them.
	Parts []string
}

// Fingerprint returns the fingerprint of an identity.
func (id Identity) Fingerprint() Fingerprint {
	return hashOf([]byte(id.Account), []byte(id.Method), []byte(id.Host), []byte(id.Target), id.Body)
}

// hashOf returns the fingerprint of a sequence of values. Each is prefixed with its length, so that their
// boundaries are unambiguous.
func hashOf(values ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, v := range values {
		binary.BigEndian.PutUint64(length[:], uint64(len(v)))
		_, _ = h.Write(length[:]) // hash.Hash never returns an error
		_, _ = h.Write(v)
	}
	return Fingerprint(h.Sum(nil))
}

// String returns the fingerprint in hexadecimal digits, as shown in logs and to operators.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Parse parses a fingerprint formatted by String.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil {
		return f, fmt.Errorf("poison: fingerprint %q: %w", text, err)
	}
	if len(raw) != len(f) {
		return f, fmt.Errorf("poison: fingerprint %q has %d digits, not %d", text, len(text), 2*len(f))
	}
	copy(f[:], raw)
	return f, nil
}

// Affinity returns a hash of the fingerprint that selects a server, never 0.
func (f Fingerprint) Affinity() uint64 { return max(binary.BigEndian.Uint64(f[:8]), 1) }
