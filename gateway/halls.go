package gateway

import (
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// hallOf returns the data hall of a backend server, "" for one that is gone since.
func (a *attempt) hallOf(id model.BackendID) string {
	return a.service.generation.InForce().Core.Backends[id].DataHall
}

// leaves tells whether what goes to a data hall leaves this one.
func (a *attempt) leaves(hall string) bool { return hall != "" && hall != a.service.settings.DataHall }

// countBytes counts what goes to a data hall, or comes from there, where it isn't this one.
func (a *attempt) countBytes(kind, hall string, bytes int) {
	if bytes > 0 && a.leaves(hall) {
		a.service.metrics.Halls.Bytes.WithLabelValues(kind).Add(float64(bytes))
	}
}

// countSent counts what a send takes to other data halls.
func (a *attempt) countSent(d scheduler.Decision) {
	hall := a.hallOf(d.Backend)
	a.countBytes(telemetry.HallRequests, hall, len(a.req.Body()))
	if d.CopyFrom != 0 && a.hallOf(d.CopyFrom) != hall {
		a.service.metrics.Halls.Copied.Add(float64(d.Copied))
	}
}
