package prompt

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// observeAnswer adds the answer of an idle engine with a true base and rate.
func observeAnswer(p *latencyModel, unread float64, base time.Duration, rate float64) {
	took := base + time.Duration(unread/rate*float64(time.Second))
	p.observe(took, &flight{prefillTokens: unread}, 1)
}

// TestLatencyModelConverges begins with an engine twice as fast as expected whose answers begin sooner, and continues
// with one half as fast.
func TestLatencyModelConverges(t *testing.T) {
	is := is.New(t)
	for _, truth := range []struct {
		base time.Duration
		rate float64
	}{{30 * time.Millisecond, 100_000}, {90 * time.Millisecond, 25_000}} {
		p := newLatencyModel()
		p.setInitialRate(50_000)
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			observeAnswer(p, 100+800*random.Float64(), truth.base, truth.rate)
			observeAnswer(p, 4000+8000*random.Float64(), truth.base, truth.rate)
		}
		is.True((p.base - truth.base).Abs() < 8*time.Millisecond)
		is.True(p.rate > 0.8*truth.rate && p.rate < 1.25*truth.rate)
		p.setInitialRate(40_000) // the number of engines has changed
		is.True(p.rate > 0.8*truth.rate && p.rate < 1.25*truth.rate)
	}
}

// TestLatencyModelIgnoresQueuedRequests has all answers late that had something queued ahead of them.
func TestLatencyModelIgnoresQueuedRequests(t *testing.T) {
	is := is.New(t)
	p := newLatencyModel()
	p.setInitialRate(50_000)
	for range 100 {
		p.observe(time.Second, &flight{prefillTokens: 500, queueDelay: 100 * time.Millisecond}, 1)
		p.observe(time.Second, &flight{prefillTokens: 5000, copied: true}, 1)
	}
	is.Equal(p.base, initialBase)
	is.Equal(p.rate, 50_000.0)
}

// TestLatencyModelIgnoresSlowEngines has one engine answer that is known to be slow, which must not affect the model
// of its pool.
func TestLatencyModelIgnoresSlowEngines(t *testing.T) {
	is := is.New(t)
	p := newLatencyModel()
	p.setInitialRate(50_000)
	for range 100 {
		p.observe(initialBase+time.Second, &flight{prefillTokens: 10_000}, 5)
	}
	is.True(p.rate > 45_000 && p.rate < 55_000)
}

// TestLatencyModelRecoversAfterLateStart starts a router whose engines appear idle but are not: its answers are late,
// in random order, because other routers have sent requests there, which they report afterwards. After an idle
// period, the router must expect as short a delay of an idle engine as before. A router that overestimates delays
// dispatches less, and would not correct its estimate from further answers.
func TestLatencyModelRecoversAfterLateStart(t *testing.T) {
	for order := range uint64(20) {
		runLateStart(t, rand.New(rand.NewPCG(order, 1)))
	}
}

// runLateStart runs one such start with a random order of answers.
func runLateStart(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	const engines = 60
	m := newMachine(engines)
	m.SetRouters(2)
	// It uses MinDelay, as an engine whose answer was late may itself be considered slow.
	expected := func(now model.Time, id model.RequestID) time.Duration {
		m.Arrive(now, newRequest(id, 1, 1000+uint64(id), 1000))
		return onlyDispatch(t, m).Basis.MinDelay
	}
	m.ApplyLoadReport(0, "b", 1, LoadReport{Sequence: 1})
	before := expected(0, 1)
	m.Finish(time.Second, 1, Done, 50)
	now := 2 * time.Second
	var sent []model.RequestID
	for id := range model.RequestID(engines) {
		m.Arrive(now, newRequest(id+2, 1, uint64(id), 1000))
		for _, a := range m.TakeActions() {
			if d, ok := a.(Dispatch); ok {
				sent = append(sent, d.ID)
			}
		}
	}
	report := LoadReport{Sequence: 2}
	for _, id := range m.order {
		report.Loads = append(report.Loads, Load{Backend: id, Sent: 20_000})
	}
	m.ApplyLoadReport(now+150*time.Millisecond, "b", 1, report)
	random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	for _, id := range sent {
		m.RecordBegin(now+2*before, id)
		m.Finish(now+3*time.Second, id, Done, 50)
	}
	after := expected(now+20*time.Second, 1000)
	is.True(len(sent) > engines/2)
	is.True(after < before*11/10)
}
