package prompt

import (
	"cmp"
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
	from    *server       // from which parts are copied, nil for none
	copied  float64       // tokens
	soonest time.Duration // the least delay of all places that were looked at
}

// best returns the best place for a request; ok is false where there is none.
func (m *Machine) best(r *request) (place, bool) {
	if !m.config.Pools[r.Pool].Engine {
		return m.bestService(r)
	}
	if r.chosenFor != m.version {
		r.candidates = m.candidates(r)
		r.chosenFor = m.version
	}
	var best place
	var soonest time.Duration
	found := false
	r.home = m.homeOf(r)
	holder := m.holderOf(r)
	for rank, id := range r.candidates {
		s := m.servers[id]
		if s == nil || !m.takes(s) || slices.Contains(r.Except, id) {
			continue
		}
		p := m.placeAt(s, r, holder)
		p.score += m.config.Tuning.RankPenalty.Seconds() * float64(min(rank, maxRank))
		if !found || p.delay < soonest {
			soonest = p.delay
		}
		if !found || p.score < best.score {
			best, found = p, true
		}
	}
	best.soonest = soonest
	return best, found
}

// placeAt returns what is expected of a request at a backend server.
func (m *Machine) placeAt(s *server, r *request, holder *server) place {
	p := place{server: s, backlog: s.backlog(m.now), unread: m.unreadAt(s, r)}
	p.ahead = s.reading(p.backlog)
	m.copyFrom(&p, holder, r)
	if over := s.running() - s.Slots; s.Slots > 0 && over >= 0 {
		p.ahead += time.Duration(over+1) * m.config.Tuning.SlotDelay
	}
	copying := p.copying()
	p.delay = s.pace.base + p.ahead + s.reading(p.unread) + copying
	extra := (s.reading(p.unread) + copying).Seconds() * m.config.Tuning.ReadWeight
	p.score = p.delay.Seconds() + extra + s.health.failing(m.now)*m.config.Tuning.FailureWeight
	if !s.Near {
		p.score += m.config.Tuning.FarPenalty.Seconds()
	}
	return p
}

const (
	// minCopied is the least number of tokens that is worth a copy.
	minCopied = 1000
	// farCopy is how much longer a copy takes between data halls.
	farCopy = 2
)

// holderOf returns the backend server among the candidates that keeps most of a
// request's prompt, nil where they can't copy. One that is leaving will do.
func (m *Machine) holderOf(r *request) *server {
	if m.config.Pools[r.Pool].CopyRate <= 0 {
		return nil
	}
	var best *server
	least := float64(r.Prompt.Tokens)
	for _, id := range r.candidates {
		s := m.servers[id]
		if s == nil || s.health.out(m.now) {
			continue
		}
		if unread := m.unreadAt(s, r); unread < least {
			best, least = s, unread
		}
	}
	return best
}

// copyFrom lets a place copy what another backend server keeps of a prompt.
func (m *Machine) copyFrom(p *place, holder *server, r *request) {
	if holder == nil || holder == p.server {
		return
	}
	unread := m.unreadAt(holder, r)
	if p.unread-unread < minCopied {
		return
	}
	p.from, p.copied, p.unread = holder, p.unread-unread, unread
}

// copying returns how long the copy takes.
func (p *place) copying() time.Duration {
	if p.from == nil {
		return 0
	}
	seconds := p.copied / p.server.copyRate
	if p.from.Hall != p.server.Hall {
		seconds *= farCopy
	}
	return time.Duration(seconds * float64(time.Second))
}

const (
	// maxCandidates is how many backend servers are looked at for a request,
	// however many there are: the first ones by rendezvous hashing, those that
	// are known to keep its shared parts, and some by chance.
	maxCandidates = 24
	ranked        = 12
	holders       = 6
	// maxRank bounds what a place in the order counts.
	maxRank = 8
)

// candidates returns the backend servers to be looked at for a request, in the
// order of rendezvous hashing over its shared parts.
func (m *Machine) candidates(r *request) []model.BackendID {
	all := m.byPool[r.Pool]
	shared, ok := sharedKey(&r.Prompt)
	var order []weighed
	if ok {
		order = m.weigh(all, shared)
	}
	if len(all) <= maxCandidates {
		if ok {
			return idsOf(heaviest(order, len(order)))
		}
		return all
	}
	out := slices.Clone(all[:ranked])
	switch {
	case ok && m.config.HallHomes:
		out = m.byHallAndHolders(order, partKey(shared))
	case ok:
		out = m.rankedAndHolders(order, partKey(shared))
	}
	out = append(out, m.ownCold(r.Pool)...)
	for len(out) < maxCandidates {
		out = append(out, all[m.random.IntN(len(all))])
	}
	return out
}

// weighed is a backend server with its weight for a prompt.
type weighed struct {
	id     model.BackendID
	weight uint64
}

// weigh returns the weights of backend servers under rendezvous hashing.
func (m *Machine) weigh(all []model.BackendID, shared uint64) []weighed {
	subject := strconv.FormatUint(shared, 16)
	out := make([]weighed, 0, len(all))
	for _, id := range all {
		out = append(out, weighed{id, model.Rendezvous(m.servers[id].Name, subject)})
	}
	return out
}

// rankedAndHolders returns the first backend servers by rendezvous hashing, and then the
// first of the others that are known to keep a part.
func (m *Machine) rankedAndHolders(order []weighed, part uint32) []model.BackendID {
	first := heaviest(order, ranked)
	last := first[len(first)-1].weight
	var keep []weighed
	for _, w := range order {
		if s := m.servers[w.id]; w.weight < last && s.kept.has(s.sent, part, s.room) {
			keep = append(keep, w)
		}
	}
	return append(idsOf(first), idsOf(heaviest(keep, holders))...)
}

// heaviest returns the n heaviest in order. All are looked at for every request, and few
// taken: at 320 backend servers the choice takes 36 us, and 56 where they are all sorted
// (BenchmarkCandidates).
func heaviest(from []weighed, n int) []weighed {
	out := make([]weighed, 0, n+1)
	for _, w := range from {
		if len(out) == n && (n == 0 || w.weight <= out[n-1].weight) {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, w, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
		out = slices.Insert(out, at, w)
		out = out[:min(len(out), n)]
	}
	return out
}

func idsOf(from []weighed) []model.BackendID {
	out := make([]model.BackendID, 0, maxCandidates)
	for _, w := range from {
		out = append(out, w.id)
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
