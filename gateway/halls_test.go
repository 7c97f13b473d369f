package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestOnlyTrafficToOtherHallsIsCounted counts bytes for the router's own data hall, for another one, and for a backend
// server that has been removed.
func TestOnlyTrafficToOtherHallsIsCounted(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{DataHall: "hall-a"}, zerolog.Nop(), metrics)
	a := &attempt{service: s, req: fasthttp.AcquireRequest()}
	a.req.SetBodyString("twelve bytes")
	halls := map[string]bool{"hall-a": false, "hall-b": true, "": false}
	for hall, far := range halls {
		is.Equal(a.isRemote(hall), far)
		a.countBytes(telemetry.HallRequests, hall, len(a.req.Body()))
	}
	is.Equal(counted(t, metrics, "between_halls_bytes_total"), 12.0)
}
