package prompt

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// decide goes over what waits, in the order in which it is served, and sends or
// refuses what is due; once in recheck at the most, as a pass over a long queue
// takes time that a busy router doesn't have for each event.
func (m *Machine) decide() {
	if len(m.waiting) == 0 || m.now < m.passed+recheck {
		return
	}
	m.passed = m.now
	m.endUnheard()
	l := m.levels()
	for _, r := range m.ranked(l.owed) {
		m.consider(r, l)
	}
}

const (
	// maxWaiting is how many requests wait at the most, and maxWaitingOf how many of
	// one account. Each is looked at anew in every pass, for which a router that is
	// flooded by one account has no time; and the others need places too.
	maxWaiting   = 64
	maxWaitingOf = 12
)

// makeRoom finds a place in the queue for a request; where there is none, it refuses
// that request, or the newest one of the account that has the most, and tells
// whether the request may wait.
func (m *Machine) makeRoom(r *request) bool {
	waiting := map[model.AccountID]int{}
	for _, o := range m.waiting {
		waiting[o.Account]++
	}
	own := waiting[r.Account]
	if own >= maxWaitingOf {
		m.refuseUnseen(r)
		return false
	}
	if len(m.waiting) < maxWaiting {
		return true
	}
	var last *request
	for _, o := range m.waiting {
		if last == nil || waiting[o.Account] >= waiting[last.Account] {
			last = o
		}
	}
	if waiting[last.Account] <= own+1 {
		last = r
	}
	m.refuseUnseen(last)
	return last != r
}

// refuseUnseen refuses a request for which there is no place in the queue.
func (m *Machine) refuseUnseen(r *request) {
	m.drop(r)
	m.actions = append(m.actions, Refuse{
		ID: r.ID, Reason: QueueFull, RetryAfter: m.config.Tuning.RetryAfter, Waited: m.now - r.arrived,
		Basis: m.basis(r, place{}, m.levels()),
	})
}

// drop forgets a request of which nothing was sent.
func (m *Machine) drop(r *request) {
	m.removeWaiting(r)
	delete(m.requests, r.ID)
}

// ranked returns what waits in the order in which it is served: by priority,
// then by the part of its share that its account has had, then by arrival.
func (m *Machine) ranked(level float64) []*request {
	out := slices.Clone(m.waiting)
	slices.SortStableFunc(out, func(a, b *request) int {
		return cmp.Or(
			cmp.Compare(m.priority(a), m.priority(b)),
			cmp.Compare(m.had(a.Account, level), m.had(b.Account, level)),
		)
	})
	return out
}

// priorityStep is how much an account's priority goes before a route's.
const priorityStep = 1000

func (m *Machine) priority(r *request) int {
	return m.config.Accounts[r.Account]*priorityStep + r.Priority
}

// consider sends or refuses a request, or lets it wait on. One beyond its account's share
// doesn't wait: what it waits for are the others' requests, and the places that it would
// take here are those of requests that could be sent at once. On the busiest day of 64
// routers, waiting as the others do, 0.15 of the objective, left 18,600 of 43,300 requests
// answered in time, and not waiting 30,400 (docs/design/0001-shifted-work.md).
func (m *Machine) consider(r *request, l levels) {
	t := &m.config.Tuning
	waited := m.now - r.arrived
	if m.now >= r.deadline {
		m.refuse(r, TooLate, 0, l)
		return
	}
	p, ok := m.best(r)
	stands := within // of plain services there are no shares
	if m.config.Pools[r.Pool].Engine {
		stands = m.standingOf(r.Account, l)
	}
	if ok && m.mayBegin(r, p, stands) {
		m.dispatch(r, p, l)
		return
	}
	if !ok && m.refuseResting(r, l) {
		return
	}
	if stands == within && waited < m.mayWait(r, ok) {
		return
	}
	switch {
	case !ok:
		m.refuse(r, NoBackend, t.RetryAfter, l)
	case stands != within:
		m.refuse(r, OverShare, t.RetryOver, l)
	default:
		m.refuse(r, NoRoom, max(p.delay-m.mayDelay(r), t.RetryAfter), l)
	}
}

// mayBegin tells whether a request is sent to the place found for it now. One
// whose own prompt takes so long to read that it can hardly be in time is sent
// where next to nothing is ahead of it: refusing it would do so for ever.
func (m *Machine) mayBegin(r *request, p place, stands standing) bool {
	t := &m.config.Tuning
	if r.Objective <= 0 {
		return true
	}
	if !p.server.engine {
		return m.mayBeginService(r, p)
	}
	if stands != within {
		return m.mayBeginOver(r, p, stands)
	}
	if p.delay <= m.mayDelay(r) {
		return true
	}
	alone := p.delay - p.ahead
	large := alone > time.Duration(t.Large*float64(r.Objective))
	return large && p.ahead <= time.Duration(t.BeginLarge*float64(r.Objective))
}

// mayBeginOver tells whether a request beyond its account's share is sent to the place found
// for it now: where little is ahead of it and its own prompt is kept, so that it takes what
// would idle and pushes out little of what engines keep for others. It copies nothing,
// which halves what is copied on the busiest day of 64 routers (3,037 to 1,565 GB). Its delay
// is bounded by a part of what an idle engine leaves of the objective, as a part of the whole
// would keep out all requests of short objectives.
func (m *Machine) mayBeginOver(r *request, p place, stands standing) bool {
	base := p.server.pace.base
	part := m.config.Tuning.BeginOver
	switch stands {
	case farOver:
		part = m.config.Tuning.BeginFar
	case beyondReach:
		return false
	}
	spare := float64(max(r.Objective-base, 0))
	return p.from == nil && p.delay <= base+time.Duration(part*spare)
}

// mayDelay returns the longest expected delay with which a request within its account's
// share is sent.
func (m *Machine) mayDelay(r *request) time.Duration {
	return time.Duration(m.config.Tuning.Begin*float64(r.Objective)) - (m.now-r.arrived)/2
}

// mayWait returns how long a request waits before it is refused.
func (m *Machine) mayWait(r *request, ok bool) time.Duration {
	t := &m.config.Tuning
	if !ok && m.evacuated(r.Pool) {
		return 0
	}
	if r.Objective <= 0 || !ok {
		return t.WaitNone
	}
	return time.Duration(t.Wait * float64(r.Objective))
}

// evacuated tells whether all that could serve a pool is in evacuated data halls: there is
// nothing to wait for.
func (m *Machine) evacuated(pool model.PoolID) bool {
	some := false
	for _, id := range m.byPool[pool] {
		s := m.servers[id]
		if s.serves() {
			return false
		}
		some = some || s.Evacuated
	}
	return some
}

func (m *Machine) removeWaiting(r *request) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
}

func (m *Machine) refuse(r *request, reason Reason, retryAfter time.Duration, l levels) {
	m.drop(r)
	p, _ := m.best(r)
	m.actions = append(m.actions, Refuse{
		ID: r.ID, Reason: reason, RetryAfter: retryAfter, Waited: m.now - r.arrived, Basis: m.basis(r, p, l),
		Holds: m.holds(r, reason, retryAfter, p, l),
	})
}

// holds returns how long the reason of a refusal is expected to hold for others of the
// account and route: until the soonest backend server that was looked at has room, or the amounts
// are sampled anew by which the account is beyond reach. Beyond its share another prompt may be
// kept where room idles, and a place in the queue or a backend server may be there at any moment.
func (m *Machine) holds(r *request, reason Reason, retryAfter time.Duration, p place, l levels) time.Duration {
	switch reason {
	case Resting:
		return retryAfter
	case NoRoom:
		return p.soonest - time.Duration(m.config.Tuning.Begin*float64(r.Objective))
	case OverShare:
		if m.standingOf(r.Account, l) == beyondReach {
			return m.shares.sampled + sampleEvery - m.now
		}
	}
	return 0
}

func (m *Machine) dispatch(r *request, p place, l levels) {
	m.removeWaiting(r)
	basis := m.basis(r, p, l)
	s := p.server
	r.server = s
	if s.cold.is(m.now) {
		s.cold.meter.Note(m.now)
	}
	r.flight = s.send(m.now, p.unread, p.delay+r.Lag)
	r.flight.ahead, r.flight.copied = p.ahead, p.from != nil
	if s.engine {
		m.assume(s.Pool, p.unread)
	} else {
		r.flight.alone = float64(len(s.flights))+float64(s.remote) <= float64(s.Slots)
	}
	m.markHome(r, p)
	for i, part := range r.Prompt.Parts {
		key := partKey(part.ID)
		s.kept.touch(s.sent, key, s.room)
		if i < len(r.Prompt.Parts)-1 {
			m.tell(s, key)
		}
	}
	d := Dispatch{
		ID: r.ID, Backend: s.id, Waited: m.now - r.arrived, Basis: basis,
	}
	if p.from != nil {
		d.CopyFrom, d.Copied = p.from.id, int(p.copied)
	}
	m.actions = append(m.actions, d)
}

// basis returns what a decision on a request rests on; the place has no backend server
// where there is none.
func (m *Machine) basis(r *request, p place, l levels) Basis {
	stands := m.standingOf(r.Account, l)
	out := Basis{
		Stands: stands.String(), Ahead: l.best,
		Delay: p.delay, Unread: int(p.unread), Backlog: int(p.backlog), Soonest: p.soonest,
		Over: stands != within, Had: m.had(r.Account, l.owed),
		Lately: m.hadLately(r.Account, l), Owed: l.owed, Bound: l.bound, Brief: l.brief, Age: m.oldestReport(),
	}
	if l.owed > 0 {
		out.Asked = m.Usage(r.Account).Asked / l.owed
	}
	if s := p.server; s != nil {
		out.Best, out.Slow = s.id, s.health.slowness()
		out.Unheard = int(s.unseen(m.now) + s.assumed)
	}
	return out
}
