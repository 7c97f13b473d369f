package core

import (
	"maps"
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// gapMeter follows the gap in service between accounts while both have had
// work waiting without a break: the difference of what each was given since
// the later of the two began to wait.
type gapMeter struct {
	fleet *fleet
	began map[model.AccountID]start
	worst float64
	sum   float64
	count int
}

// start is when an account began to wait, and what all had been given by then.
type start struct {
	at      model.Time
	service map[model.AccountID]float64
}

func newGapMeter(f *fleet) *gapMeter {
	return &gapMeter{fleet: f, began: map[model.AccountID]start{}}
}

// weighted returns an account's service divided by its weight.
func (m *gapMeter) weighted(id model.AccountID) float64 {
	return m.fleet.service[id] / m.fleet.config.Accounts[id].Weight
}

// sample takes the gap as it is now.
func (m *gapMeter) sample() float64 {
	waiting := map[model.AccountID]bool{}
	for _, j := range m.fleet.jobs {
		if !j.running {
			waiting[j.account] = true
		}
	}
	for _, id := range sortedKeys(m.fleet.config.Accounts) {
		if !waiting[id] {
			delete(m.began, id)
			continue
		}
		if _, ok := m.began[id]; !ok {
			m.began[id] = start{at: m.fleet.time.Now(), service: m.snapshot()}
		}
	}
	gap := m.widest()
	m.worst = max(m.worst, gap)
	m.sum += gap
	m.count++
	return gap
}

// follow samples the gap from now on.
func (m *gapMeter) follow() {
	m.sample()
	m.fleet.after(gapEvery, m.follow)
}

// gapEvery is how often a gap that is followed is sampled.
const gapEvery = 100 * time.Millisecond

func (m *gapMeter) snapshot() map[model.AccountID]float64 {
	out := map[model.AccountID]float64{}
	for id := range m.fleet.config.Accounts {
		out[id] = m.weighted(id)
	}
	return out
}

func (m *gapMeter) widest() float64 {
	ids := sortedKeys(maps.Clone(m.began))
	widest := 0.0
	for i, a := range ids {
		for _, b := range ids[i+1:] {
			later := m.began[a]
			if m.began[b].at > later.at {
				later = m.began[b]
			}
			d := m.weighted(a) - later.service[a] - m.weighted(b) + later.service[b]
			widest = max(widest, math.Abs(d))
		}
	}
	return widest
}

func (m *gapMeter) mean() float64 { return m.sum / float64(max(m.count, 1)) }
