// Package store defines the interface to the platform's key-value service, which stores the state that must survive a
// restart of the routers. It contains an adapter for the JSON form of etcd's version 3 API (/v3/kv/range, /v3/kv/txn,
// /v3/watch), which uses only single keys, compare-and-swap on the revision of the last change, and watches.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of a store.
var (
	namespace = errorx.NewNamespace("store")
	// Unavailable is the error of a call that had no effect.
	Unavailable = namespace.NewType("unavailable")
	// Ambiguous is the error of a call whose response was lost: it may have taken effect, or still do so.
	Ambiguous = namespace.NewType("ambiguous")
	// Compacted is the error of a request for changes that the store no longer has: the current state must be read
	// again.
	Compacted = namespace.NewType("forgotten")
)

// PingTimeout is the time-out of a ping. A slow store answers in half of it.
const PingTimeout = 600 * time.Millisecond

// PingReadTimeout is the time-out that an adapter uses for a ping. It must be shorter than PingTimeout: only when its
// own time-out ends does the adapter detect that the connection is unresponsive, and discard its idle connections,
// which may be as well.
const PingReadTimeout = PingTimeout - 100*time.Millisecond

// Value is the value of a key. A value of revision 0 does not exist.
type Value struct {
	Data     []byte
	Revision int64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// GetStale returns a value of a key that may be seconds old, where the store offers that at a lower cost. A
	// missing value does not imply that the key does not exist.
	GetStale(ctx context.Context, key string) (Value, error)
	// Swap sets the value of a key if its revision is the given one, and reports whether it did. If not, it returns
	// the current value.
	Swap(ctx context.Context, key string, revision int64, data []byte) (Value, bool, error)
	// Ping returns nil if the store answers. It is the call with the lowest cost.
	Ping(ctx context.Context) error
	// Wait waits until the revision of a key is above the given one, and returns its value.
	Wait(ctx context.Context, key string, revision int64) (Value, error)
}
