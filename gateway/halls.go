package gateway

import (
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// hallOf returns the data hall of a backend server, "" if it has been removed since.
func (a *attempt) hallOf(id model.BackendID) string {
	return a.service.generation.InForce().Core.Backends[id].DataHall
}

// isRemote reports whether a data hall is another one than this router's.
func (a *attempt) isRemote(hall string) bool {
	return hall != "" && hall != a.service.settings.DataHall
}

// countBytes counts the bytes exchanged with another data hall.
func (a *attempt) countBytes(kind, hall string, bytes int) {
	if bytes > 0 && a.isRemote(hall) {
		a.service.metrics.Halls.Bytes.WithLabelValues(kind).Add(float64(bytes))
	}
}

// countSent counts the bytes of a send and of its cache copy that go to other data halls.
func (a *attempt) countSent(d scheduler.Decision) {
	hall := a.hallOf(d.Backend)
	a.countBytes(telemetry.HallRequests, hall, len(a.req.Body()))
	if d.CopyFrom != 0 && a.hallOf(d.CopyFrom) != hall {
		a.service.metrics.Halls.Copied.Add(float64(d.Copied))
	}
}
