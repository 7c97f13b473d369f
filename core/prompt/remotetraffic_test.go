package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreportedTokensGrowWithLoad has other routers send to an engine at its rate, at a tenth of it, and then
// nothing.
func TestUnreportedTokensGrowWithLoad(t *testing.T) {
	is := is.New(t)
	const rate = 50_000
	unreported := func(part float64, idle time.Duration) float64 {
		s := newServer(1, 0)
		s.latency.setInitialRate(rate)
		now := time.Duration(0)
		for now < 5*time.Second {
			now += 100 * time.Millisecond
			s.addRemote(now, part*rate/10)
		}
		return s.expectedUnreported(now + idle)
	}
	full := unreported(1, 0)
	is.True(full > 0.8*rate*meanReportAge.Seconds())
	is.True(full < 1.2*rate*meanReportAge.Seconds())
	is.True(unreported(0.1, 0) < full/50) // most of it has been prefilled
	is.True(unreported(1, 5*time.Second) < full/100)
}
