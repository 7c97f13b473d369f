package standin

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/platform"
)

// A swap's answer names the revision of that swap, whatever other keys change
// meanwhile.
func TestSwapsOfManyKeys(t *testing.T) {
	is := is.NewRelaxed(t)
	server, err := Serve("127.0.0.1:0", NewStore().Handle)
	is.NoErr(err)
	defer server.Close()
	var all sync.WaitGroup
	for key := range 8 {
		all.Go(func() {
			store := platform.NewEtcdStore(server.Address())
			defer store.Close()
			var revision int64
			for range 50 {
				v, swapped, err := store.Swap(context.Background(), fmt.Sprint(key), revision, []byte("x"))
				is.NoErr(err)
				is.True(swapped) // nobody else writes this key
				revision = v.Revision
			}
		})
	}
	all.Wait()
}
