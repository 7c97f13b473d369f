package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestOnlyWhatLeavesTheHallIsCounted sends to backend servers of the own data hall and another one, and to one that
// isn't known any more.
func TestOnlyWhatLeavesTheHallIsCounted(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{DataHall: "hall-a"}, zerolog.Nop(), metrics)
	a := &attempt{service: s, req: fasthttp.AcquireRequest()}
	a.req.SetBodyString("twelve bytes")
	halls := map[string]bool{"hall-a": false, "hall-b": true, "": false}
	for hall, far := range halls {
		is.Equal(a.leaves(hall), far)
		a.countBytes(telemetry.HallRequests, hall, len(a.req.Body()))
	}
	is.Equal(counted(t, metrics, "between_halls_bytes_total"), 12.0)
}
