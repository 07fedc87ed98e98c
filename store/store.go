// Package store is gaplink's one narrow interface to the platform's object
// API: versioned objects with conditional updates and watches.
//
// Every call counts at the platform, a waiting watch as one, so the package
// also counts them. Implementations: store/memory (tests and the stand-in's
// core) and store/httpstore (the platform's HTTP API).
package store

import (
	"context"
	"errors"
	"strings"
	"time"
)

// MaxValueBytes is the largest value the platform holds.
const MaxValueBytes = 1 << 20

// Errors of a store. Every other error means ErrUnknown.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict: the condition did not hold; nothing was changed.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable: the call was refused; it certainly had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: no answer came; a change may have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Object is one stored value.
type Object struct {
	// Key names the object; parts are separated by '/'.
	Key string `json:"key"`
	// Version is the store revision of the last change; 0 means absent.
	Version int64 `json:"version"`
	// Value is the content, MaxValueBytes at most.
	Value []byte `json:"value"`
	// Deleted marks a deletion in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// NameOf returns the part of a key after its kind.
func NameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

// Events is the answer of a watch.
type Events struct {
	// Objects are the changed objects, oldest first.
	Objects []Object `json:"objects"`
	// Revision is where the next watch goes on.
	Revision int64 `json:"revision"`
	// Gap tells that events since the asked revision are no longer held, so
	// that the watcher must list again.
	Gap bool `json:"gap,omitempty"`
}

// Store is the platform's object API.
type Store interface {
	// Get reads one object, or fails with ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Create makes an object, or fails with ErrConflict if it exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the value if the version still holds. With ErrConflict it
	// returns the object as it is, if the store tells it; its version is else 0.
	Update(ctx context.Context, key string, version int64, value []byte) (Object, error)
	// Delete removes the object if the version still holds.
	Delete(ctx context.Context, key string, version int64) error
	// List reads all objects under a prefix in the order of their keys, with
	// the revision from which a watch goes on.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Watch waits at most wait for changes under prefix after revision since.
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Events, error)
}

// StaleReader is a store that also gives answers which may be some seconds old, for a
// tenth of the price of others.
type StaleReader interface {
	// ListStale is List, but neither the objects nor the revision need be the newest.
	ListStale(ctx context.Context, prefix string) ([]Object, int64, error)
	// GetStale is Get, but the object need not be the newest.
	GetStale(ctx context.Context, key string) (Object, error)
}

// ListStale lists what may be some seconds old, if the store has that, and else what
// is newest.
func ListStale(ctx context.Context, s Store, prefix string) ([]Object, int64, error) {
	if stale, ok := s.(StaleReader); ok {
		return stale.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// GetStale reads what may be some seconds old, if the store has that, and else what
// is newest.
func GetStale(ctx context.Context, s Store, key string) (Object, error) {
	if stale, ok := s.(StaleReader); ok {
		return stale.GetStale(ctx, key)
	}
	return s.Get(ctx, key)
}

// Put writes value under key: a create for version 0, else an update.
func Put(ctx context.Context, s Store, key string, version int64, value []byte) (Object, error) {
	if version == 0 {
		return s.Create(ctx, key, value)
	}
	return s.Update(ctx, key, version, value)
}
