package status

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/wire"
)

// TestDeadRoutersDoNotDisplaceOthers guards against a status without some of the routers: the dead ones were added to the
// list without the lock that the answers of the others take. It relies on the race detector.
func TestDeadRoutersDoNotDisplaceOthers(t *testing.T) {
	is := is.New(t)
	var members []*wire.Rumour
	for i := range 400 {
		state := wire.Status_STATUS_ALIVE
		if i%2 == 1 {
			state = wire.Status_STATUS_DEAD
		}
		members = append(members, &wire.Rumour{Name: fmt.Sprint(i), Status: state})
	}
	fetch := func(_ context.Context, _ string) (*wire.StatusResponse, error) { return nil, errors.New("unreachable") }
	for range 5 {
		routers, answers := gather(context.Background(), members, fetch)
		is.Equal(len(routers), len(members))
		is.Equal(len(answers), 0)
	}
}
