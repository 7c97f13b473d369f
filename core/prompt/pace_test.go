package prompt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answer lets an engine with a true base and rate answer a request to it that nothing
// is ahead of.
func answer(p *pace, unread float64, base time.Duration, rate float64) {
	took := base + time.Duration(unread/rate*float64(time.Second))
	p.learn(took, &flight{unread: unread}, 1)
}

// TestPaceIsMeasured begins with an engine twice as fast as expected, whose answers
// begin sooner, and then with one half as fast.
func TestPaceIsMeasured(t *testing.T) {
	is := is.New(t)
	for _, truth := range []struct {
		base time.Duration
		rate float64
	}{{30 * time.Millisecond, 100_000}, {90 * time.Millisecond, 25_000}} {
		p := newPace()
		p.expect(50_000)
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			answer(p, 100+800*random.Float64(), truth.base, truth.rate)
			answer(p, 4000+8000*random.Float64(), truth.base, truth.rate)
		}
		is.True((p.base - truth.base).Abs() < 8*time.Millisecond)
		is.True(p.rate > 0.8*truth.rate && p.rate < 1.25*truth.rate)
		p.expect(40_000) // the number of engines has changed
		is.True(p.rate > 0.8*truth.rate && p.rate < 1.25*truth.rate)
	}
}

// TestPaceIsOfIdleEngines lets all answers come late that something was ahead of.
func TestPaceIsOfIdleEngines(t *testing.T) {
	is := is.New(t)
	p := newPace()
	p.expect(50_000)
	for range 100 {
		p.learn(time.Second, &flight{unread: 500, ahead: 100 * time.Millisecond}, 1)
		p.learn(time.Second, &flight{unread: 5000, copied: true}, 1)
	}
	is.Equal(p.base, firstBase)
	is.Equal(p.rate, 50_000.0)
}

// TestPaceOfASlowEngineIsItsOwn lets one engine that is known to be slow answer: that
// tells nothing of the others.
func TestPaceOfASlowEngineIsItsOwn(t *testing.T) {
	is := is.New(t)
	p := newPace()
	p.expect(50_000)
	for range 100 {
		p.learn(firstBase+time.Second, &flight{unread: 10_000}, 5)
	}
	is.True(p.rate > 45_000 && p.rate < 55_000)
}
