package core

import (
	"maps"
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// gapMeter measures the gap in service between accounts that have both had waiting requests without interruption: the
// difference between the service of each since the later of the two began to wait.
type gapMeter struct {
	fleet     *fleet
	baselines map[model.AccountID]baseline
	worst     float64
	sum       float64
	count     int
}

// baseline is when an account began to wait, and the service of all accounts at that time.
type baseline struct {
	at      model.Time
	service map[model.AccountID]float64
}

func newGapMeter(f *fleet) *gapMeter {
	return &gapMeter{fleet: f, baselines: map[model.AccountID]baseline{}}
}

// weighted returns an account's service divided by its weight.
func (m *gapMeter) weighted(id model.AccountID) float64 {
	return m.fleet.service[id] / m.fleet.config.Accounts[id].Weight
}

// sample measures the current gap.
func (m *gapMeter) sample() float64 {
	waiting := map[model.AccountID]bool{}
	for _, j := range m.fleet.jobs {
		if !j.running {
			waiting[j.account] = true
		}
	}
	for _, id := range sortedKeys(m.fleet.config.Accounts) {
		if !waiting[id] {
			delete(m.baselines, id)
			continue
		}
		if _, ok := m.baselines[id]; !ok {
			m.baselines[id] = baseline{at: m.fleet.time.Now(), service: m.snapshot()}
		}
	}
	gap := m.widest()
	m.worst = max(m.worst, gap)
	m.sum += gap
	m.count++
	return gap
}

// follow samples the gap at regular intervals from now on.
func (m *gapMeter) follow() {
	m.sample()
	m.fleet.after(gapInterval, m.follow)
}

// gapInterval is the sampling interval of follow.
const gapInterval = 100 * time.Millisecond

func (m *gapMeter) snapshot() map[model.AccountID]float64 {
	out := map[model.AccountID]float64{}
	for id := range m.fleet.config.Accounts {
		out[id] = m.weighted(id)
	}
	return out
}

func (m *gapMeter) widest() float64 {
	ids := sortedKeys(maps.Clone(m.baselines))
	widest := 0.0
	for i, a := range ids {
		for _, b := range ids[i+1:] {
			later := m.baselines[a]
			if m.baselines[b].at > later.at {
				later = m.baselines[b]
			}
			d := m.weighted(a) - later.service[a] - m.weighted(b) + later.service[b]
			widest = max(widest, math.Abs(d))
		}
	}
	return widest
}

func (m *gapMeter) mean() float64 { return m.sum / float64(max(m.count, 1)) }
