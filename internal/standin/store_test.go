package standin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/store"
)

// TestSwapsOfManyKeys checks that the answer to a swap holds the revision of that swap while other keys change.
func TestSwapsOfManyKeys(t *testing.T) {
	is := is.NewRelaxed(t)
	server, err := Serve("127.0.0.1:0", NewStore().Handle)
	is.NoErr(err)
	defer server.Close()
	var wg sync.WaitGroup
	for key := range 8 {
		wg.Go(func() {
			store := store.NewEtcd(server.Address())
			defer store.Close()
			var revision int64
			for range 50 {
				v, swapped, err := store.Swap(context.Background(), fmt.Sprint(key), revision, []byte("x"))
				is.NoErr(err)
				is.True(swapped) // no other goroutine writes this key
				revision = v.Revision
			}
		})
	}
	wg.Wait()
}

// TestLeases checks that a key with a lease remains while the lease is renewed, and is removed when it is revoked or
// expires.
func TestLeases(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	put := func(key string, id string) {
		var in storeTxn
		text := fmt.Sprintf(`{"compare":[{"key":%q,"mod_revision":"0"}],"success":[{"request_put":{"key":%q,"value":"eA==","lease":%q}}]}`, key, key, id)
		is.NoErr(json.Unmarshal([]byte(text), &in))
		swapped, _, _ := s.swap(in)
		is.True(swapped)
	}
	exists := func(key string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		raw, err := base64.StdEncoding.DecodeString(key)
		is.NoErr(err)
		return len(s.lookup(raw)) == 1
	}
	revoked, ok := s.grantLease(leaseMessage{TTL: "600"})
	is.True(ok)
	put("YQ==", revoked.ID)
	is.True(exists("YQ=="))
	_, ok = s.renewLease(revoked)
	is.True(ok)
	_, ok = s.revokeLease(revoked)
	is.True(ok)
	is.True(!exists("YQ=="))
	_, ok = s.renewLease(revoked)
	is.True(!ok) // it has been revoked
	short, _ := s.grantLease(leaseMessage{TTL: "0.01"})
	put("Yg==", short.ID)
	for end := time.Now().Add(30 * time.Second); exists("Yg==") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(!exists("Yg=="))
}
