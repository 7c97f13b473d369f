package generation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceOfWatches checks the delays for a burst of changes, single changes and failures.
func TestPaceOfWatches(t *testing.T) {
	is := is.New(t)
	var p pace
	is.Equal(p.afterChange(0), watchPause)
	is.Equal(p.afterChange(0), 2*watchPause)
	is.Equal(p.afterChange(0), maxWatchPause)
	is.Equal(p.afterChange(0), maxWatchPause)
	is.Equal(p.afterChange(time.Second), watchPause) // the delay is reset after a burst
	is.Equal(p.afterFailure(), retryPause)
	is.Equal(p.afterFailure(), 2*retryPause)
	is.Equal(p.afterFailure(), maxRetryPause)
	is.Equal(p.afterFailure(), maxRetryPause)
	is.Equal(p.afterChange(time.Second), watchPause)
	is.Equal(p.afterFailure(), retryPause)
}
