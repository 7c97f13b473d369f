package emulator

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// tokenBucket limits the rate at which a router processes requests.
type tokenBucket struct {
	rate      float64 // requests per second, 0 for no limit
	tokens    float64 // requests that may be processed at once
	updatedAt model.Time
}

// burst is the time in which an empty bucket is filled.
const burst = 100 * time.Millisecond

// take reports whether a request can be processed now, and removes its token.
func (b *tokenBucket) take(now model.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), max(b.rate*burst.Seconds(), 1))
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
