package prompt

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// reportAge is how old the load reports of the other routers are in the mean: half an
	// exchange, and the way along rows in a larger fleet.
	reportAge = 80 * time.Millisecond
	// othersOver is the time over which the rate of what others send is taken.
	othersOver = time.Second
)

// others is how much the other routers send to a backend server.
type others struct {
	rate float64    // tokens a second, at the time it was seen
	seen model.Time // when the last report of it came
}

// add counts tokens that another router has sent.
func (o *others) add(now model.Time, tokens float64) {
	o.rate = o.at(now) + tokens/othersOver.Seconds()
	o.seen = now
}

// at returns the rate to reckon with: it fades while nothing more is heard.
func (o *others) at(now model.Time) float64 {
	return o.rate * math.Exp(-(now-o.seen).Seconds()/othersOver.Seconds())
}

// unseen returns how many of the tokens that others have sent, and of which no report can
// have come yet, are expected to be unread: the busier the engine, the more of them.
func (s *server) unseen(now model.Time) float64 {
	if s.pace.rate <= 0 {
		return 0
	}
	rate := s.others.at(now)
	busy := min(rate/s.pace.rate, 1)
	return rate * reportAge.Seconds() * busy
}
