// Package store defines the interface to the platform's object API: versioned
// objects with conditional updates and watches.
//
// The platform counts every call, a long-polling watch as one, so the package
// counts them as well. Implementations: store/memory (for tests and the platform
// stand-in) and store/httpstore (the platform's HTTP API).
package store

import (
	"context"
	"errors"
	"strings"
	"time"
)

// MaxValueBytes is the size limit of a value at the platform.
const MaxValueBytes = 1 << 20

// Errors of a store. Callers treat any other error as ErrUnknown.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict: the precondition failed; nothing was changed.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable: the call was refused and had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: no response arrived; a write may have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Object is one stored value.
type Object struct {
	// Key identifies the object; its parts are separated by '/'.
	Key string `json:"key"`
	// Version is the store revision of the last change; 0 means absent.
	Version int64 `json:"version"`
	// Value is the content, at most MaxValueBytes.
	Value []byte `json:"value"`
	// Deleted marks a deletion event of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// NameOf returns the key without its first part, the kind.
func NameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

// Events is the result of a watch.
type Events struct {
	// Objects are the changed objects, oldest first.
	Objects []Object `json:"objects"`
	// Revision is the revision from which to continue the watch.
	Revision int64 `json:"revision"`
	// Gap is set if events since the requested revision have been discarded,
	// so that the watcher must list again.
	Gap bool `json:"gap,omitempty"`
}

// Store is the platform's object API.
type Store interface {
	// Get reads one object, or fails with ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Create creates an object, or fails with ErrConflict if it exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the value if the version matches. With ErrConflict it returns
	// the current object if the store reports it; otherwise the version is 0.
	Update(ctx context.Context, key string, version int64, value []byte) (Object, error)
	// Delete removes the object if the version matches.
	Delete(ctx context.Context, key string, version int64) error
	// List reads all objects under a prefix, sorted by key, and the revision from
	// which a watch continues.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Watch waits up to wait for changes under prefix after revision since.
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Events, error)
}

// StaleReader is a store that also offers reads that may be some seconds stale, at a
// tenth of the cost of other reads.
type StaleReader interface {
	// ListStale is List, except that the objects and the revision may be stale.
	ListStale(ctx context.Context, prefix string) ([]Object, int64, error)
	// GetStale is Get, except that the object may be stale.
	GetStale(ctx context.Context, key string) (Object, error)
}

// ListStale lists objects that may be some seconds stale if s is a StaleReader;
// otherwise it calls List.
func ListStale(ctx context.Context, s Store, prefix string) ([]Object, int64, error) {
	if stale, ok := s.(StaleReader); ok {
		return stale.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// GetStale reads an object that may be some seconds stale if s is a StaleReader;
// otherwise it calls Get.
func GetStale(ctx context.Context, s Store, key string) (Object, error) {
	if stale, ok := s.(StaleReader); ok {
		return stale.GetStale(ctx, key)
	}
	return s.Get(ctx, key)
}

// Put writes value under key: it creates the object for version 0 and updates it
// otherwise.
func Put(ctx context.Context, s Store, key string, version int64, value []byte) (Object, error) {
	if version == 0 {
		return s.Create(ctx, key, value)
	}
	return s.Update(ctx, key, version, value)
}
