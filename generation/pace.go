package generation

import "time"

const (
	// watchPause is how long a watch rests after a change: changes come in bursts, and every
	// call is counted. It doubles up to maxWatchPause while changes come without end, as
	// when all backend servers start: there a call of each watch then tells of more of them.
	watchPause    = 150 * time.Millisecond
	maxWatchPause = 600 * time.Millisecond
	// quietAfter is how long a watch must have waited for a change to be the first of a burst.
	quietAfter = 500 * time.Millisecond
	// retryPause is how long a call that failed rests; it doubles up to maxRetryPause, as
	// the store counts calls while it is out as well.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
)

// pace is how long a loop of calls of the store rests between them.
type pace struct {
	watch time.Duration // the last rest after a change
	retry time.Duration // the last rest after a failure, 0 for none since the last success
}

// afterChange returns how long to rest after a change for which the watch has waited so long.
func (p *pace) afterChange(waited time.Duration) time.Duration {
	p.retry = 0
	if waited >= quietAfter || p.watch == 0 {
		p.watch = watchPause
		return p.watch
	}
	p.watch = min(2*p.watch, maxWatchPause)
	return p.watch
}

// afterFailure returns how long to rest after a call that failed.
func (p *pace) afterFailure() time.Duration {
	p.retry = min(max(2*p.retry, retryPause), maxRetryPause)
	return p.retry
}
