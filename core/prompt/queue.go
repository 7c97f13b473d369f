package prompt

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// processQueue dispatches or refuses the waiting requests that are due, in service order. It runs at most once per
// passInterval, as a pass over a long queue takes too much time for a busy router to make one for each event.
func (m *Machine) processQueue() {
	if len(m.waiting) == 0 || m.now < m.lastPass+passInterval {
		return
	}
	m.pass()
}

// pass dispatches or refuses the waiting requests that are due, in service order.
func (m *Machine) pass() {
	m.lastPass = m.now
	m.endStartupAssumption()
	l := m.levels()
	for _, r := range m.inServiceOrder(l.fairShare) {
		m.processRequest(r, l)
	}
}

const (
	// maxWaiting is the largest number of waiting requests, and maxWaitingPerAccount the largest number of one
	// account. Each pass evaluates every waiting request, and a router that is flooded by one account has no time for
	// more; other accounts need queue space as well.
	maxWaiting           = 64
	maxWaitingPerAccount = 12
)

// makeRoom makes queue space for a request and reports whether the request may wait. A burst for a plain service, which may
// have room for all of it, is evaluated before any of it is refused. If the queue is full, it refuses
// either that request or the newest one of the account that has the most requests waiting, but prefers to keep those that
// resume a stream.
func (m *Machine) makeRoom(r *request) bool {
	if !m.config.Pools[r.Pool].Engine && m.burstOf(r.Account) {
		m.pass()
	}
	waiting := map[model.AccountID]int{}
	for _, o := range m.waiting {
		waiting[o.Account]++
	}
	own := waiting[r.Account]
	if own >= maxWaitingPerAccount && !r.Bound {
		m.refuseQueueFull(r)
		return false
	}
	if len(m.waiting) < maxWaiting {
		return true
	}
	var last *request
	for _, o := range m.waiting {
		if !o.Bound && (last == nil || waiting[o.Account] >= waiting[last.Account]) {
			last = o
		}
	}
	if last == nil || !r.Bound && waiting[last.Account] <= own+1 {
		last = r
	}
	m.refuseQueueFull(last)
	return last != r
}

// burstOf reports whether an account has as many requests waiting as it may, of which at least half came after the last
// pass: these may only wait for the next one. A flood of requests that can't be dispatched causes at most one additional
// pass for each half of the account's queue space that becomes free.
func (m *Machine) burstOf(account model.AccountID) bool {
	own, fresh := 0, 0
	for _, o := range m.waiting {
		if o.Account != account {
			continue
		}
		own++
		if !o.considered {
			fresh++
		}
	}
	return own >= maxWaitingPerAccount && fresh >= maxWaitingPerAccount/2
}

// refuseQueueFull refuses a request for which the queue has no space.
func (m *Machine) refuseQueueFull(r *request) {
	m.drop(r)
	m.actions = append(m.actions, Refuse{
		ID: r.ID, Reason: QueueFull, RetryAfter: m.config.Tuning.RetryAfter, Waited: m.now - r.arrived,
		Basis: m.basis(r, place{}, m.levels()),
	})
}

// drop removes a request that has not been dispatched.
func (m *Machine) drop(r *request) {
	m.removeWaiting(r)
	delete(m.requests, r.ID)
}

// inServiceOrder returns the waiting requests: first those that resume a stream, as few backend servers may be able to go
// on with it, then by priority, then by the fraction of the share that the account has started, then by arrival.
func (m *Machine) inServiceOrder(share float64) []*request {
	out := slices.Clone(m.waiting)
	slices.SortStableFunc(out, func(a, b *request) int {
		return cmp.Or(
			compareBound(a, b),
			cmp.Compare(m.priority(a), m.priority(b)),
			cmp.Compare(m.startedFraction(a.Account, share), m.startedFraction(b.Account, share)),
		)
	})
	return out
}

// compareBound orders the requests that resume a stream before the others.
func compareBound(a, b *request) int {
	switch {
	case a.Bound == b.Bound:
		return 0
	case a.Bound:
		return -1
	default:
		return 1
	}
}

// accountPriorityFactor is the weight of an account's priority relative to a route's.
const accountPriorityFactor = 1000

func (m *Machine) priority(r *request) int {
	return m.config.Accounts[r.Account]*accountPriorityFactor + r.Priority
}

// processRequest dispatches or refuses a request, or leaves it waiting. A request over its account's share does not
// wait: it would wait for other accounts' requests and take queue space from requests that can be dispatched at once.
// On the busiest day of 64 routers, 18,600 of 43,300 requests were answered in time when these requests waited as
// others do, for 0.15 of the objective, and 30,400 when they did not (docs/design/0001-shifted-work.md).
func (m *Machine) processRequest(r *request, l levels) {
	t := &m.config.Tuning
	waited := m.now - r.arrived
	r.considered = true
	if m.now >= r.deadline {
		m.refuse(r, TooLate, 0, l)
		return
	}
	p, ok := m.best(r)
	status := statusWithin // shares do not apply to plain services, and were applied when a stream began
	if m.config.Pools[r.Pool].Engine && !r.Bound {
		status = m.shareStatusOf(r.Account, l)
	}
	if ok && m.mayDispatch(r, p, status) {
		m.dispatch(r, p, l)
		return
	}
	if !ok && m.refuseResting(r, l) {
		return
	}
	if status == statusWithin && waited < m.maxWait(r, ok) {
		return
	}
	switch {
	case !ok:
		m.refuse(r, NoBackend, t.RetryAfter, l)
	case status != statusWithin:
		m.refuse(r, OverShare, t.RetryAfterOverShare, l)
	default:
		m.refuse(r, NoRoom, max(p.delay-m.maxDelay(r), t.RetryAfter), l)
	}
}

// mayDispatch reports whether a request may be dispatched to the given place now. One that resumes a stream may be late:
// a part of the answer has been received, and a late rest is better than none. A request whose own prompt takes so
// long to prefill that it can hardly meet its objective is dispatched if almost nothing is queued ahead of it;
// otherwise it would be refused on every retry.
func (m *Machine) mayDispatch(r *request, p place, status shareStatus) bool {
	t := &m.config.Tuning
	if r.Objective <= 0 || r.Bound && p.delay <= (r.deadline-m.now)/2 {
		return true
	}
	if !p.server.engine {
		return m.mayDispatchToService(r, p)
	}
	if status != statusWithin {
		return m.mayDispatchOverShare(r, p, status)
	}
	if p.delay <= m.maxDelay(r) {
		return true
	}
	alone := p.delay - p.queueDelay
	large := alone > time.Duration(t.LargePromptFraction*float64(r.Objective))
	return large && p.queueDelay <= time.Duration(t.LargeQueueFraction*float64(r.Objective))
}

// mayDispatchOverShare reports whether a request over its account's share may be dispatched to the given place now.
// It may if little is queued ahead of it and its prompt is cached there, so that it uses idle capacity and evicts
// little of what engines cache for others. It copies no cached parts, which halves the copied volume on the busiest
// day of 64 routers (from 3,037 to 1,565 GB). The limit on its delay is a fraction of the objective less the delay of
// an idle engine; a fraction of the whole objective would exclude all requests with short objectives.
func (m *Machine) mayDispatchOverShare(r *request, p place, status shareStatus) bool {
	base := p.server.latency.base
	fraction := m.config.Tuning.OverShareDelayFraction
	switch status {
	case statusFarOver:
		fraction = m.config.Tuning.FarOverShareDelayFraction
	case statusLimited:
		return false
	}
	spare := float64(max(r.Objective-base, 0))
	return p.copySource == nil && p.delay <= base+time.Duration(fraction*spare)
}

// maxDelay returns the longest expected delay with which a request within its account's share is dispatched.
func (m *Machine) maxDelay(r *request) time.Duration {
	return time.Duration(m.config.Tuning.DelayFraction*float64(r.Objective)) - (m.now-r.arrived)/2
}

// maxWait returns how long a request waits before it is refused.
func (m *Machine) maxWait(r *request, ok bool) time.Duration {
	t := &m.config.Tuning
	if !ok && m.poolEvacuated(r.Pool) {
		return 0
	}
	if r.Objective <= 0 || !ok {
		return t.UnavailableWait
	}
	return time.Duration(t.WaitFraction * float64(r.Objective))
}

// poolEvacuated reports whether all backend servers that could serve a pool are in evacuated data halls, so that
// waiting is pointless.
func (m *Machine) poolEvacuated(pool model.PoolID) bool {
	anyEvacuated := false
	for _, id := range m.byPool[pool] {
		s := m.servers[id]
		if s.inService() {
			return false
		}
		anyEvacuated = anyEvacuated || s.Evacuated
	}
	return anyEvacuated
}

func (m *Machine) removeWaiting(r *request) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
}

func (m *Machine) refuse(r *request, reason Reason, retryAfter time.Duration, l levels) {
	m.drop(r)
	p, _ := m.best(r)
	m.actions = append(m.actions, Refuse{
		ID: r.ID, Reason: reason, RetryAfter: retryAfter, Waited: m.now - r.arrived, Basis: m.basis(r, p, l),
		ValidFor: m.validFor(r, reason, retryAfter, p, l),
	})
}

// validFor returns how long the reason of a refusal is expected to apply to other requests of the account and route:
// until the evaluated backend server with the least delay has room, or until the next sample if the account is
// limited. The other reasons may end at any moment: over the share, another prompt may be cached on an idle engine,
// and queue space or a backend server may become available.
func (m *Machine) validFor(r *request, reason Reason, retryAfter time.Duration, p place, l levels) time.Duration {
	switch reason {
	case Resting:
		return retryAfter
	case NoRoom:
		return p.minDelay - time.Duration(m.config.Tuning.DelayFraction*float64(r.Objective))
	case OverShare:
		if m.shareStatusOf(r.Account, l) == statusLimited {
			return m.shares.lastSample + sampleInterval - m.now
		}
	}
	return 0
}

func (m *Machine) dispatch(r *request, p place, l levels) {
	m.removeWaiting(r)
	basis := m.basis(r, p, l)
	s := p.server
	r.server = s
	if s.cold.active(m.now) {
		s.cold.meter.Record(m.now)
	}
	r.flight = s.send(m.now, p.prefillTokens, p.delay+r.Lag)
	r.flight.queueDelay, r.flight.copied = p.queueDelay, p.copySource != nil
	if s.engine {
		m.assume(s.Pool, p.prefillTokens)
	} else {
		r.flight.uncontended = float64(len(s.flights))+float64(s.remoteRunning) <= float64(s.Slots)
	}
	m.predictHomeAnswer(r, p)
	for i, part := range r.Prompt.Parts {
		key := partKey(part.ID)
		s.cache.touch(s.sentTokens, key, s.cacheTokens)
		if i < len(r.Prompt.Parts)-1 {
			m.recordPlacement(s, key)
		}
	}
	d := Dispatch{
		ID: r.ID, Backend: s.id, Waited: m.now - r.arrived, Basis: basis,
	}
	if p.copySource != nil {
		d.CopyFrom, d.Copied = p.copySource.id, int(p.copiedTokens)
	}
	m.actions = append(m.actions, d)
}

// basis returns the values on which the decision on a request is based. The place has no backend server if none was
// available.
func (m *Machine) basis(r *request, p place, l levels) Basis {
	status := m.shareStatusOf(r.Account, l)
	out := Basis{
		ShareStatus: status.String(), MostStarted: l.mostStarted,
		Delay: p.delay, PrefillTokens: int(p.prefillTokens), Backlog: int(p.backlog), MinDelay: p.minDelay,
		OverShare: status != statusWithin, StartedFraction: m.startedFraction(r.Account, l.fairShare),
		RecentStartedFraction: m.recentStartedFraction(r.Account, l), FairShare: l.fairShare, WindowLimit: l.windowLimit, BurstLimit: l.burstLimit,
		OldestContactAge: m.oldestContactAge(),
	}
	if l.fairShare > 0 {
		out.RequestedFraction = m.Usage(r.Account).Requested / l.fairShare
	}
	if s := p.server; s != nil {
		out.Backend, out.Slowness = s.id, s.health.slowness()
		out.UnreportedTokens = int(s.expectedUnreported(m.now) + s.assumedTokens)
	}
	return out
}
