package store

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestBrokenAnswerOfStoreIsNoAnswer guards against a broken answer of the store being taken for a value, or for a swap that
// took place: after one, the swap's result is unknown.
func TestBrokenAnswerOfStoreIsNoAnswer(t *testing.T) {
	for name, text := range users.BrokenAround(`{"header":{"revision":"7"},"succeeded":true,"kvs":[]}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := users.ServeText(text)
			is.NoErr(err)
			defer stop()
			client := NewEtcd(address)
			defer client.Close()
			_, err = client.Get(t.Context(), "key")
			is.True(errorx.IsOfType(err, Unavailable))
			_, _, err = client.Swap(t.Context(), "key", 0, []byte("value"))
			is.True(errorx.IsOfType(err, Ambiguous))
			_, err = client.Wait(t.Context(), "key", 1)
			is.True(errorx.IsOfType(err, Unavailable))
		})
	}
}
