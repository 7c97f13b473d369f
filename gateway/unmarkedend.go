package gateway

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

// errUnconfirmedEnd is the error for a response whose end isn't marked, of a backend server that isn't known to be alive.
var errUnconfirmedEnd = errors.New("response ended with its connection, and its backend server has ended or doesn't respond")

// checkUnmarkedEnd returns an error if a response whose end isn't marked may be truncated. The kernel closes the
// connections of a process that crashes in order, often between two events, so that the response is whole only if its
// backend server is alive after its end. Otherwise it is asked for again where that is allowed. Where it isn't, the caller
// gets a failure, or a response that is visibly truncated: of a whole one it may be told that it wasn't, but never the
// reverse.
func (r *relay) checkUnmarkedEnd(a *attempt) error {
	if r.framing != exchange.UntilClose {
		return nil
	}
	r.server = a.service.back.Liveness(a.sentTo)
	if r.server != back.Alive {
		return errUnconfirmedEnd
	}
	return nil
}

// ending returns how a complete answer with a status ends its request.
func ending(status int) core.Ending {
	if status >= fasthttp.StatusBadRequest {
		return core.Inconclusive
	}
	return core.Done
}
