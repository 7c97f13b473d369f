package claim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/claims"
)

// TestClaimsEndWithTheirContext guards against requests that are held past their deadline because so many claims wait
// that another one can't be queued.
func TestClaimsEndWithTheirContext(t *testing.T) {
	is := is.New(t)
	s := New(nil, 100, nil)
	s.run = context.Background()
	key := Key{}
	s.shards[shardOf(key)] = newRunner(s, shardOf(key)) // its loop doesn't run
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for range queueSize {
		s.shards[shardOf(key)].submit(ctx, claims.Op{}, nil)
	}
	ended := make(chan claims.Result)
	go func() { ended <- s.Commit(ctx, key, Holder{}) }()
	select {
	case result := <-ended:
		is.Equal(result, claims.Unavailable)
	case <-time.After(5 * time.Second):
		t.Fatal("the claim still waits")
	}
}
