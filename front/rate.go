package front

import (
	"sync"
	"time"
)

const (
	// defaultRate is the assumed rate of an engine, in tokens per second, before a response has been measured.
	defaultRate = 30.0
	// rateWeight is the weight of the newest response in the smoothed rate.
	rateWeight = 0.1
)

// rateEstimator estimates how many tokens of an unstreamed response have been generated so far, from the rate of
// previous responses. The actual number is only available at the end, and without an estimate the account would appear
// to receive nothing until then.
type rateEstimator struct {
	mu   sync.Mutex
	rate float64 // tokens per second, 0 before the first response
}

func (e *rateEstimator) observe(tokens float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	newest := tokens / took.Seconds()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rate == 0 {
		e.rate = newest
		return
	}
	e.rate += rateWeight * (newest - e.rate)
}

func (e *rateEstimator) estimate(elapsed time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rate == 0 {
		return defaultRate * elapsed.Seconds()
	}
	return e.rate * elapsed.Seconds()
}

// report calls progress regularly with the estimated number of tokens until stop is called.
func (e *rateEstimator) report(progress func(tokens float64)) (stop func()) {
	done := make(chan struct{})
	var ended sync.WaitGroup
	began := time.Now()
	ended.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				progress(e.estimate(time.Since(began)))
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}
