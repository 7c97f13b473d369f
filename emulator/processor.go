package emulator

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// processor is what a router can decide on, as a bucket that fills at a rate.
type processor struct {
	rate  float64 // requests a second, 0 for no bound
	level float64 // requests that may be taken at once
	at    model.Time
}

// burstOf is the time whose requests the bucket holds.
const burstOf = 100 * time.Millisecond

// take tells whether a request can be decided on now, and takes what that needs.
func (p *processor) take(now model.Time) bool {
	if p.rate <= 0 {
		return true
	}
	p.level = min(p.level+p.rate*(now-p.at).Seconds(), max(p.rate*burstOf.Seconds(), 1))
	p.at = now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}
