package front

import (
	"sync"
	"time"
)

const (
	// startRate is the rate of tokens a second that is taken for an engine's
	// until one is known.
	startRate = 30.0
	// rateWeight is the weight of the newest answer in the smoothed rate.
	rateWeight = 0.1
)

// pace expects how many tokens an answer has by now that isn't streamed, from
// the rate of those that have ended: its tokens show only at its end, and until
// then its account would seem to be given nothing.
type pace struct {
	mu   sync.Mutex
	rate float64 // tokens a second, 0 for not known yet
}

func (p *pace) observe(tokens float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	newest := tokens / took.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		p.rate = newest
		return
	}
	p.rate += rateWeight * (newest - p.rate)
}

func (p *pace) expect(elapsed time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return startRate * elapsed.Seconds()
	}
	return p.rate * elapsed.Seconds()
}

// follow tells of the tokens expected until it is stopped.
func (p *pace) follow(tell func(tokens float64)) (stop func()) {
	done := make(chan struct{})
	var ended sync.WaitGroup
	began := time.Now()
	ended.Go(func() {
		ticker := time.NewTicker(progressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				tell(p.expect(time.Since(began)))
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}
