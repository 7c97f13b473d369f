package generation

import "time"

const (
	// watchPause is the delay after a watched change: changes come in bursts, and the store counts every call. It
	// doubles up to maxWatchPause while changes keep coming, as when all backend servers start, so that a watch call
	// then returns several changes.
	watchPause    = 150 * time.Millisecond
	maxWatchPause = 600 * time.Millisecond
	// burstGap is how long a watch must have waited for a change for it to start a new burst.
	burstGap = 500 * time.Millisecond
	// retryPause is the delay after a failed call. It doubles up to maxRetryPause, as the store also counts calls
	// that fail.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
)

// pace computes the delays between the calls of a loop that calls the store.
type pace struct {
	watch time.Duration // last delay after a change
	retry time.Duration // last delay after a failure, 0 if there was none since the last success
}

// afterChange returns the delay after a change for which the watch has waited the given time.
func (p *pace) afterChange(waited time.Duration) time.Duration {
	p.retry = 0
	if waited >= burstGap || p.watch == 0 {
		p.watch = watchPause
		return p.watch
	}
	p.watch = min(2*p.watch, maxWatchPause)
	return p.watch
}

// afterFailure returns the delay after a failed call.
func (p *pace) afterFailure() time.Duration {
	p.retry = min(max(2*p.retry, retryPause), maxRetryPause)
	return p.retry
}
