package prompt

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// place is a backend server for a request, and what is expected there.
type place struct {
	server  *server
	delay   time.Duration // until the answer begins
	unread  float64       // tokens of the prompt to be read
	backlog float64       // tokens to be read before it
	ahead   time.Duration // how long that takes
	score   float64       // seconds; the least is the best
}

// best returns the best place for a request; ok is false where there is none.
func (m *Machine) best(r *request) (place, bool) {
	var best place
	found := false
	shared, hasShared := sharedKey(&r.Prompt)
	rank := m.ranks(r.Pool, shared, hasShared)
	for _, id := range m.order {
		s := m.servers[id]
		if s.Pool != r.Pool || s.Leaving || s.health.out(m.now) || slices.Contains(r.Except, id) {
			continue
		}
		p := m.placeAt(s, r)
		p.score += m.config.Tuning.RankPenalty.Seconds() * float64(rank[id])
		if !found || p.score < best.score {
			best, found = p, true
		}
	}
	return best, found
}

// placeAt returns what is expected of a request at a backend server.
func (m *Machine) placeAt(s *server, r *request) place {
	if !s.engine {
		return m.placeAtService(s)
	}
	p := place{server: s, backlog: s.backlog(m.now), unread: s.unread(&r.Prompt)}
	p.ahead = s.reading(p.backlog)
	if over := s.running() - s.Slots; s.Slots > 0 && over >= 0 {
		p.ahead += time.Duration(over+1) * m.config.Tuning.SlotDelay
	}
	p.delay = baseDelay + p.ahead + s.reading(p.unread)
	extra := s.reading(p.unread).Seconds() * m.config.Tuning.ReadWeight
	p.score = p.delay.Seconds() + extra + s.health.failures*m.config.Tuning.FailureWeight
	if !s.Near {
		p.score += m.config.Tuning.FarPenalty.Seconds()
	}
	return p
}

// placeAtService expects the least delay where the least runs for its slots.
func (m *Machine) placeAtService(s *server) place {
	load := float64(len(s.flights)*m.routers+s.running()) / 2
	full := load / float64(max(s.Slots, 1))
	p := place{server: s, score: full + s.health.failures*m.config.Tuning.FailureWeight}
	if !s.Near {
		p.score += serviceFarPenalty
	}
	if full >= 1 {
		p.delay = time.Duration(math.Min(full, maxFull) * float64(m.config.Tuning.SlotDelay))
	}
	p.score += m.random.Float64() * serviceJitter
	return p
}

const (
	// serviceFarPenalty is what another data hall counts for, in full slots.
	serviceFarPenalty = 0.2
	// serviceJitter spreads requests over services that are alike.
	serviceJitter = 0.02
	// maxFull bounds how full a service is taken to be.
	maxFull = 10
)

// ranks returns the place of each backend server of a pool in the order of
// rendezvous hashing over the prompt's shared parts.
func (m *Machine) ranks(pool model.PoolID, shared uint64, ok bool) map[model.BackendID]int {
	out := map[model.BackendID]int{}
	if !ok {
		return out
	}
	type weighed struct {
		id     model.BackendID
		weight uint64
	}
	subject := strconv.FormatUint(shared, 16)
	var all []weighed
	for _, id := range m.order {
		if s := m.servers[id]; s.Pool == pool && s.engine && !s.Leaving {
			all = append(all, weighed{id, model.Rendezvous(s.Name, subject)})
		}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	for i, w := range all {
		out[w.id] = i
	}
	return out
}

func sortedIDs(servers map[model.BackendID]*server) []model.BackendID {
	out := make([]model.BackendID, 0, len(servers))
	for id := range servers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
