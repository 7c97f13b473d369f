package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// homeWeight is the least weight of the newest answer in what homes are trusted with. The
// first answers weigh more: a router that has just started, before engines that haven't,
// would else refuse for seconds what would be served in time.
const homeWeight = 0.1

// homes is how often the home of a prompt, the first choice by rendezvous hashing,
// had kept its shared parts although this router hadn't sent them there and hadn't
// heard of it: others had.
type homes struct {
	trust float64
	seen  int // answers
}

// learn takes how long an answer took to begin at its home.
func (h *homes) learn(took time.Duration, f *flight) {
	if f.ifCold <= f.ifKept {
		return
	}
	kept := 0.0
	if took < (f.ifKept+f.ifCold)/2 {
		kept = 1
	}
	h.seen++
	h.trust += max(homeWeight, 1/float64(h.seen+1)) * (kept - h.trust)
}

// homeOf returns the home of a request's prompt, nil where none of it is shared or
// no backend server can be its home.
func (m *Machine) homeOf(r *request) *server {
	if _, shared := sharedKey(&r.Prompt); !shared {
		return nil
	}
	for _, id := range r.candidates {
		if s := m.servers[id]; s != nil && s.engine && s.serves() && m.notices.Takes(m.now, id) && !s.health.out(m.now) && !s.cold.is(m.now) {
			return s
		}
	}
	return nil
}

// unreadAt returns how many tokens of a request's prompt are expected to be read at
// a backend server.
func (m *Machine) unreadAt(s *server, r *request) float64 {
	unread := s.unread(&r.Prompt)
	if s != r.home {
		return unread
	}
	return unread - m.homes.trust*max(unread-ownTokens(&r.Prompt), 0)
}

// ownTokens returns the tokens of a prompt that nobody else has.
func ownTokens(p *model.Prompt) float64 {
	if len(p.Parts) == 0 {
		return float64(p.Tokens)
	}
	return float64(p.Parts[len(p.Parts)-1].Tokens)
}

// minTold is the least number of shared tokens from whose reading the time of an
// answer tells whether they were kept.
const minTold = 3000

// markHome notes on a request that goes to its home what its answer will tell.
func (m *Machine) markHome(r *request, p place) {
	unread, own := p.server.unread(&r.Prompt), ownTokens(&r.Prompt)
	if p.server != r.home || p.from != nil || unread-own < minTold {
		return
	}
	begin := p.server.pace.base + p.ahead + r.Lag
	r.flight.ifKept = begin + p.server.reading(own)
	r.flight.ifCold = begin + p.server.reading(unread)
}
