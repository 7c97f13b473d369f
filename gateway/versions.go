package gateway

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core"
)

// sentVersion is the software version that a request was last sent to, and its pool; "" for a backend server that
// announces none.
type sentVersion struct{ pool, name string }

// versionOutcomes are the endings of sends that tell about a version. Callers that leave and requests that were not sent
// don't.
var versionOutcomes = map[core.Ending]string{
	core.Done: "done", core.Inconclusive: "inconclusive", core.Failed: "failed", core.Rejected: "rejected",
}

// countVersion counts the ending of a send by the version of its backend server.
func (a *attempt) countVersion(ending core.Ending) {
	outcome, tells := versionOutcomes[ending]
	if tells && a.version.name != "" {
		a.service.metrics.Front.Versions.WithLabelValues(a.version.pool, a.version.name, outcome).Inc()
	}
}

// observeFirstEvent records the time from a send to the first part of its stream by the version of its backend server.
func (a *attempt) observeFirstEvent() {
	if a.version.name != "" {
		a.service.metrics.Front.FirstEvent.WithLabelValues(a.version.pool, a.version.name).Observe(time.Since(a.sentAt).Seconds())
	}
}
