// Package store holds the interface to the key-value service that keeps what
// must outlive the routers, and an adapter for the JSON form of etcd's version 3
// API (/v3/kv/range, /v3/kv/txn, /v3/watch), of which only single keys,
// compare-and-swap on the revision of the last change, and watches are used.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// The errors of a store.
var (
	namespace = errorx.NewNamespace("store")
	// Unavailable is the error for a call that had no effect.
	Unavailable = namespace.NewType("unavailable")
	// Ambiguous is the error for a call whose answer was lost: it may have had
	// its effect, or have it yet.
	Ambiguous = namespace.NewType("ambiguous")
	// Forgotten is the error for changes that the store doesn't know any more: what is
	// there must be read anew.
	Forgotten = namespace.NewType("forgotten")
)

// PingTimeout is how long the smallest of answers may take, in which a slow store gives it
// twice over.
const PingTimeout = 600 * time.Millisecond

// PingPatience is how long an adapter waits for it. Its own wait must end first: only then does
// it know that the connection is silent, and leave the others that rest, which may be as well.
const PingPatience = PingTimeout - 100*time.Millisecond

// Value is what the store holds under a key. Revision 0 is no value.
type Value struct {
	Data     []byte
	Revision int64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value under a key.
	Get(ctx context.Context, key string) (Value, error)
	// GetStale is Get of a value that may be seconds old, where the store sells that for
	// less. Nobody may conclude from it that anything isn't there.
	GetStale(ctx context.Context, key string) (Value, error)
	// Swap sets the value under a key if its revision is still the one given,
	// and tells whether it did. If not, it returns what is there instead.
	Swap(ctx context.Context, key string, revision int64, data []byte) (Value, bool, error)
	// Ping returns nil where the store answers. It costs as little as a call can.
	Ping(ctx context.Context) error
	// Wait returns the value under a key once its revision is above the given one.
	Wait(ctx context.Context, key string, revision int64) (Value, error)
}
