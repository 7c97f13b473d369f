package prompt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
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

// TestLateStartDoesNotSetThePace lets a router begin before engines that look idle to it
// and aren't: its answers come late, in any order, as others have sent there too, which it hears
// afterwards. When all has been quiet for a while it must take an idle engine for as fast
// as before. A router that takes engines for slow sends less, and would never learn better.
func TestLateStartDoesNotSetThePace(t *testing.T) {
	for order := range uint64(20) {
		lateStart(t, rand.New(rand.NewPCG(order, 1)))
	}
}

// lateStart is one such start, with its answers in an order by chance.
func lateStart(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	const engines = 60
	m := newMachine(engines)
	m.SetRouters(2)
	// Soonest, as an engine whose answer was late may be taken for slow itself.
	expected := func(now model.Time, id model.RequestID) time.Duration {
		m.Arrive(now, ask(id, 1, 1000+uint64(id), 1000))
		return dispatched(t, m).Basis.Soonest
	}
	m.TakeLoadReport(0, "b", 1, LoadReport{Sequence: 1})
	before := expected(0, 1)
	m.Finish(time.Second, 1, Done, 50)
	now := 2 * time.Second
	var sent []model.RequestID
	for id := range model.RequestID(engines) {
		m.Arrive(now, ask(id+2, 1, uint64(id), 1000))
		for _, a := range m.Take() {
			if d, ok := a.(Dispatch); ok {
				sent = append(sent, d.ID)
			}
		}
	}
	report := LoadReport{Sequence: 2}
	for _, id := range m.order {
		report.Loads = append(report.Loads, Load{Backend: id, Sent: 20_000})
	}
	m.TakeLoadReport(now+150*time.Millisecond, "b", 1, report)
	random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	for _, id := range sent {
		m.Began(now+2*before, id)
		m.Finish(now+3*time.Second, id, Done, 50)
	}
	after := expected(now+20*time.Second, 1000)
	is.True(len(sent) > engines/2)
	is.True(after < before*11/10)
}
