package prompt

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// meanReportAge is the mean age of the other routers' load reports: half a report interval, plus the relay time
	// along rows in a larger fleet.
	meanReportAge = 80 * time.Millisecond
	// remoteRateWindow is the time constant of the rate.
	remoteRateWindow = time.Second
)

// remoteTraffic estimates the rate at which the other routers send to a backend server.
type remoteTraffic struct {
	rate       float64    // tokens per second, at the time of lastReport
	lastReport model.Time // time of the last report
}

// add adds tokens that another router has sent.
func (o *remoteTraffic) add(now model.Time, tokens float64) {
	o.rate = o.rateAt(now) + tokens/remoteRateWindow.Seconds()
	o.lastReport = now
}

// rateAt returns the rate at a time; it decays without further reports.
func (o *remoteTraffic) rateAt(now model.Time) float64 {
	return o.rate * math.Exp(-(now-o.lastReport).Seconds()/remoteRateWindow.Seconds())
}

// expectedUnreported returns how many tokens of other routers are expected to be unreported and not prefilled yet.
// Their fraction increases with the engine's load.
func (s *server) expectedUnreported(now model.Time) float64 {
	if s.latency.rate <= 0 {
		return 0
	}
	rate := s.remoteTraffic.rateAt(now)
	busy := min(rate/s.latency.rate, 1)
	return rate * meanReportAge.Seconds() * busy
}
