package gateway

import "time"

// pacer limits the rate of an operation of one goroutine, with bursts of up to pacerBurst.
type pacer struct {
	interval time.Duration // 0 for no limit
	next     time.Time     // when the operations so far are within the rate again
}

// pacerBurst is how far the operations may be ahead of the rate before wait sleeps: shorter sleeps aren't worthwhile.
const pacerBurst = 5 * time.Millisecond

func newPacer(perSecond float64) pacer {
	if perSecond <= 0 {
		return pacer{}
	}
	return pacer{interval: time.Duration(float64(time.Second) / perSecond)}
}

// wait counts one operation and sleeps if the rate is exceeded.
func (p *pacer) wait() {
	if p.interval == 0 {
		return
	}
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.interval)
	if ahead := p.next.Sub(now); ahead > pacerBurst {
		time.Sleep(ahead)
	}
}
