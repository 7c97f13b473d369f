package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// minHitRateWeight is the least weight of the newest answer in the hit rate. The first answers have a larger weight:
// a router that has restarted while the engines kept running would otherwise refuse requests for seconds that could
// be served in time.
const minHitRateWeight = 0.1

// homeStats estimates how often the home of a prompt, the first choice by rendezvous hashing, has cached its shared
// parts although this router has neither sent them there nor received a placement for them, because other routers
// have sent them.
type homeStats struct {
	hitRate float64
	answers int // number of answers observed
}

// observe records how long an answer from a home took to begin.
func (h *homeStats) observe(took time.Duration, f *flight) {
	if f.beginIfUncached <= f.beginIfCached {
		return
	}
	hit := 0.0
	if took < (f.beginIfCached+f.beginIfUncached)/2 {
		hit = 1
	}
	h.answers++
	h.hitRate += max(minHitRateWeight, 1/float64(h.answers+1)) * (hit - h.hitRate)
}

// homeOf returns the home of a request's prompt, nil if no part of it is shared or no backend server can be its home.
func (m *Machine) homeOf(r *request) *server {
	if _, shared := sharedKey(&r.Prompt); !shared {
		return nil
	}
	for _, id := range r.candidates {
		if s := m.servers[id]; s != nil && s.engine && s.inService() && m.notices.Accepts(m.now, id) &&
			!s.health.excluded(m.now) && !s.cold.active(m.now) {
			return s
		}
	}
	return nil
}

// expectedPrefill returns how many tokens of a request's prompt a backend server is expected to prefill.
func (m *Machine) expectedPrefill(s *server, r *request) float64 {
	uncached := s.uncachedTokens(&r.Prompt)
	if s != r.home {
		return uncached
	}
	return uncached - m.homes.hitRate*max(uncached-unsharedTokens(&r.Prompt), 0)
}

// unsharedTokens returns the tokens of a prompt's last part, which no other prompt shares.
func unsharedTokens(p *model.Prompt) float64 {
	if len(p.Parts) == 0 {
		return float64(p.Tokens)
	}
	return float64(p.Parts[len(p.Parts)-1].Tokens)
}

// minMeasuredTokens is the least number of shared tokens whose prefill time shows whether they were cached.
const minMeasuredTokens = 3000

// predictHomeAnswer stores when the answer from the home is expected to begin, both with and without its shared parts
// cached.
func (m *Machine) predictHomeAnswer(r *request, p place) {
	uncached, unshared := p.server.uncachedTokens(&r.Prompt), unsharedTokens(&r.Prompt)
	if p.server != r.home || p.copySource != nil || uncached-unshared < minMeasuredTokens {
		return
	}
	begin := p.server.latency.base + p.queueDelay + r.Lag
	r.flight.beginIfCached = begin + p.server.prefillTime(unshared)
	r.flight.beginIfUncached = begin + p.server.prefillTime(uncached)
}
