package prompt

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// place is a candidate backend server for a request, with the expected load and delay.
type place struct {
	server        *server
	delay         time.Duration // until the answer begins
	prefillTokens float64       // tokens of the prompt to prefill
	backlog       float64       // tokens to prefill before the prompt
	queueDelay    time.Duration // time to prefill the backlog
	score         float64       // in seconds; the lowest is the best
	copySource    *server       // backend server from which cached parts are copied, nil for none
	copiedTokens  float64       // number of tokens copied
	minDelay      time.Duration // least delay of all places evaluated
}

// best returns the best place for a request. The result is false if there is none.
func (m *Machine) best(r *request) (place, bool) {
	if !m.config.Pools[r.Pool].Engine {
		return m.bestService(r)
	}
	if r.candidatesVersion != m.version {
		r.candidates = m.candidates(r)
		r.candidatesVersion = m.version
	}
	r.home = m.homeOf(r)
	holders := m.holdersOf(r)
	best, found := m.bestOf(r, holders, func(s *server) bool {
		return m.accepts(s) && !slices.Contains(r.Exclude, s.id)
	})
	if !found && r.Bound {
		return m.bestOf(r, holders, m.acceptsLastResort)
	}
	return best, found
}

// bestOf returns the best place for a request at those candidates that accept it.
func (m *Machine) bestOf(r *request, holders []holder, accepts func(*server) bool) (best place, found bool) {
	var minDelay time.Duration
	for rank, id := range r.candidates {
		s := m.servers[id]
		if s == nil || !r.mayGoTo(s) || !accepts(s) {
			continue
		}
		p := m.placeAt(s, r, holderOf(holders, s.Build))
		p.score += m.config.Tuning.RankPenalty.Seconds() * float64(min(rank, maxRank))
		if r.Try {
			p.score = float64(s.running())
		}
		if !found || p.delay < minDelay {
			minDelay = p.delay
		}
		if !found || p.score < best.score {
			best, found = p, true
		}
	}
	best.minDelay = minDelay
	return best, found
}

// placeAt returns the expected load and delay of a request at a backend server.
func (m *Machine) placeAt(s *server, r *request, holder *server) place {
	p := place{server: s, backlog: s.backlog(m.now), prefillTokens: m.expectedPrefill(s, r)}
	p.queueDelay = s.prefillTime(p.backlog)
	m.planCopy(&p, holder, r)
	if over := s.running() - s.Slots; s.Slots > 0 && over >= 0 {
		p.queueDelay += time.Duration(over+1) * m.config.Tuning.SlotDelay
	}
	copyTime := p.copyTime()
	p.delay = s.latency.base + p.queueDelay + s.prefillTime(p.prefillTokens) + copyTime
	extra := (s.prefillTime(p.prefillTokens) + copyTime).Seconds() * m.config.Tuning.PrefillWeight
	p.score = p.delay.Seconds() + extra + s.health.failureRate(m.now)*m.config.Tuning.FailurePenalty
	if !s.Near {
		p.score += m.config.Tuning.CrossHallPenalty.Seconds()
	}
	return p
}

const (
	// minCopiedTokens is the least number of tokens for which a copy is worthwhile.
	minCopiedTokens = 1000
	// crossHallCopyFactor is how much longer a copy between data halls takes.
	crossHallCopyFactor = 2
)

// holder is the candidate of a software version that caches most of a request's prompt.
type holder struct {
	server   *server
	uncached float64 // tokens of the prompt that it doesn't cache
}

// holdersOf returns, for each software version, the candidate that caches most of a request's prompt; none if the pool
// does not support copies. It may be a backend server that is leaving. Versions may cache a prompt in different formats.
// The result is valid until the next call.
func (m *Machine) holdersOf(r *request) []holder {
	m.holders = m.holders[:0]
	if m.config.Pools[r.Pool].CopyRate <= 0 {
		return nil
	}
	for _, id := range r.candidates {
		s := m.servers[id]
		if s == nil || s.health.excluded(m.now) {
			continue
		}
		uncached := m.expectedPrefill(s, r)
		known := slices.IndexFunc(m.holders, func(h holder) bool { return h.server.Build == s.Build })
		switch {
		case known < 0 && uncached < float64(r.Prompt.Tokens):
			m.holders = append(m.holders, holder{server: s, uncached: uncached})
		case known >= 0 && uncached < m.holders[known].uncached:
			m.holders[known] = holder{server: s, uncached: uncached}
		}
	}
	return m.holders
}

// holderOf returns the holder of a software version, nil if there is none.
func holderOf(holders []holder, build model.Build) *server {
	for _, h := range holders {
		if h.server.Build == build {
			return h.server
		}
	}
	return nil
}

// planCopy makes a place copy the parts of a prompt that another backend server caches.
func (m *Machine) planCopy(p *place, holder *server, r *request) {
	if holder == nil || holder == p.server {
		return
	}
	uncached := m.expectedPrefill(holder, r)
	if p.prefillTokens-uncached < minCopiedTokens {
		return
	}
	p.copySource, p.copiedTokens, p.prefillTokens = holder, p.prefillTokens-uncached, uncached
}

// copyTime returns how long the copy takes.
func (p *place) copyTime() time.Duration {
	if p.copySource == nil {
		return 0
	}
	seconds := p.copiedTokens / p.server.copyRate
	if p.copySource.Hall != p.server.Hall {
		seconds *= crossHallCopyFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

const (
	// maxCandidates is the number of backend servers evaluated for a request, regardless of the pool's size: the
	// first maxRanked by rendezvous hashing, up to maxHolders others known to cache its shared parts, and random
	// ones.
	maxCandidates = 24
	maxRanked     = 12
	maxHolders    = 6
	// maxRank limits the rank for which a penalty is added.
	maxRank = 8
)

// candidates returns the backend servers to evaluate for a request, in the order of rendezvous hashing over its
// shared parts.
func (m *Machine) candidates(r *request) []model.BackendID {
	all := m.eligible(r)
	shared, ok := sharedKey(&r.Prompt)
	var order []weightedBackend
	if ok {
		order = m.weightsOf(all, shared)
	}
	if len(all) <= maxCandidates {
		if ok {
			return idsOf(heaviest(order, len(order)))
		}
		return all
	}
	out := slices.Clone(all[:maxRanked])
	switch {
	case ok && m.config.HallHomes:
		out = m.byHallAndHolders(order, partKey(shared))
	case ok:
		out = m.rankedAndHolders(order, partKey(shared))
	}
	out = append(out, m.assignedCold(r.Pool)...)
	for len(out) < maxCandidates {
		out = append(out, all[m.random.IntN(len(all))])
	}
	return out
}

// eligible returns the backend servers of a request's pool that it can be sent to.
func (m *Machine) eligible(r *request) []model.BackendID {
	all := m.byPool[r.Pool]
	if !r.Bound && len(r.NotAt) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(id model.BackendID) bool { return !r.mayGoTo(m.servers[id]) })
}

// weightedBackend is a backend server with its rendezvous hashing weight for a prompt.
type weightedBackend struct {
	id     model.BackendID
	weight uint64
}

// weightsOf returns the weights of backend servers under rendezvous hashing.
func (m *Machine) weightsOf(all []model.BackendID, shared uint64) []weightedBackend {
	subject := strconv.FormatUint(shared, 16)
	out := make([]weightedBackend, 0, len(all))
	for _, id := range all {
		out = append(out, weightedBackend{id, model.Rendezvous(m.servers[id].Name, subject)})
	}
	return out
}

// rankedAndHolders returns the first backend servers by rendezvous hashing, followed by the first of the others that
// are known to cache a part.
func (m *Machine) rankedAndHolders(order []weightedBackend, part uint32) []model.BackendID {
	first := heaviest(order, maxRanked)
	last := first[len(first)-1].weight
	var caching []weightedBackend
	for _, w := range order {
		if s := m.servers[w.id]; w.weight < last && s.cache.has(s.sentTokens, part, s.cacheTokens) {
			caching = append(caching, w)
		}
	}
	return append(idsOf(first), idsOf(heaviest(caching, maxHolders))...)
}

// heaviest returns the n backend servers with the largest weights in order. It runs over the whole pool for every
// request and selects few: with 320 backend servers this takes 36 us, and sorting all of them 56 us
// (BenchmarkCandidates).
func heaviest(from []weightedBackend, n int) []weightedBackend {
	out := make([]weightedBackend, 0, n+1)
	for _, w := range from {
		if len(out) == n && (n == 0 || w.weight <= out[n-1].weight) {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, w, func(a, b weightedBackend) int { return cmp.Compare(b.weight, a.weight) })
		out = slices.Insert(out, at, w)
		out = out[:min(len(out), n)]
	}
	return out
}

func idsOf(from []weightedBackend) []model.BackendID {
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
