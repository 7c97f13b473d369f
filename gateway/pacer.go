package gateway

import "time"

// pacer keeps what one goroutine does within a rate, in bursts of up to pacerBurst.
type pacer struct {
	every time.Duration // 0 for no bound
	next  time.Time     // when the burst is used up, by the rate
}

// pacerBurst is the time whose number may be done at once: a pause is not worth less than that.
const pacerBurst = 5 * time.Millisecond

func newPacer(perSecond float64) pacer {
	if perSecond <= 0 {
		return pacer{}
	}
	return pacer{every: time.Duration(float64(time.Second) / perSecond)}
}

// pause counts one, and sleeps where that was too many.
func (p *pacer) pause() {
	if p.every == 0 {
		return
	}
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.every)
	if ahead := p.next.Sub(now); ahead > pacerBurst {
		time.Sleep(ahead)
	}
}
