package ctl

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestBrokenResponseIsLost guards against a broken response of a router being taken for a success by the command line: the
// operation may or may not have taken effect.
func TestBrokenResponseIsLost(t *testing.T) {
	for name, text := range users.BrokenAround(`{"generation":1}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := users.ServeText(text)
			is.NoErr(err)
			defer stop()
			_, err = newClient(address, "token").call("PUT", "/x", []byte("body"))
			is.True(errorx.IsOfType(err, Lost))
		})
	}
}
