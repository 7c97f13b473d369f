package vmlist

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestBrokenAnswerIsNoList guards against a broken answer being taken for the list, as an empty one.
func TestBrokenAnswerIsNoList(t *testing.T) {
	for name, text := range users.BrokenAround(`{"vms":[]}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := users.ServeText(text)
			is.NoErr(err)
			defer stop()
			list := NewHTTP(address)
			defer list.Close()
			_, err = list.VMs(t.Context())
			is.True(errorx.IsOfType(err, Unavailable))
		})
	}
}
