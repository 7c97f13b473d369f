// Package prompt decides where and when to dispatch requests whose cost is mostly the prefill of their prompts, and
// which of them to refuse.
//
// # The model of a backend server
//
// An engine prefills prompts one after the other at a steady rate, between the output tokens of the answers it is
// generating. Cached parts of a prompt are not prefilled again if all parts before them are cached as well. The
// relevant state is therefore the backlog: the tokens sent to the engine that it has not prefilled yet.
//
// Each router counts the tokens sent to each backend server: its own at once, those of other routers from their load
// reports, which contain the changes since the report before. It estimates how many of them have been prefilled. The
// estimate grows at the engine's rate, and the first token of each answer corrects it: a request that has begun shows
// that everything sent before it has been prefilled, and a late one shows the contrary. The correction also detects
// slow and silent backend servers.
//
// The time that an idle engine takes to begin an answer and its prefill rate are measured for each pool, from the
// answers to requests that apparently had nothing queued ahead of them.
//
// # The choice of a backend server
//
// A request goes to the backend server where its answer begins soonest. The prefill time of its prompt has an
// additional weight, as it uses capacity that others need. If no backend server is known to cache the shared parts of
// the prompt, rendezvous hashing over these parts makes all routers choose the same one, the home of the prompt. In a
// large fleet a router does not receive all placements of the others. It therefore estimates from its own requests
// how often a home has cached parts that this router never sent there, and expects the same fraction of later prompts
// to be cached.
//
// In a large fleet, each data hall can have a home of its own for each shared part. Widely shared parts are then
// prefilled once in each data hall, and most requests do not leave their data hall.
//
// # Accounts
//
// Within a window of some seconds, each account may start its max-min share of the engines' capacity, computed over
// the fleet from the routers' load reports: an account that requests less than an even share gets everything, and the
// rest is divided evenly among the others. The same applies to a shorter burst period, so that an account served by
// many routers cannot fill the engines before the requests of others arrive. Requests within the share are served
// first, ordered by the fraction of the share that their account has started. Requests over the share only use idle
// capacity: their answers must be expected little later than on an idle engine.
//
// # Waiting and refusals
//
// A request waits in the router as long as it can be expected to begin in time. It is then refused with the time
// until capacity is expected to be available. Refusals are early, so that the caller can still be served in time when
// it retries.
package prompt

import (
	"math/rand/v2"
	"time"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// Config is the configuration of the state machine.
type Config struct {
	Pools    map[model.PoolID]Pool
	Backends map[model.BackendID]Backend
	Accounts map[model.AccountID]int // priority of each account
	// TokensPerSecond is the capacity of all engines together, 0 if unknown.
	TokensPerSecond float64
	// HallHomes gives prompts with shared parts one home in each data hall instead of one in the fleet.
	HallHomes bool
	Tuning    Tuning
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	// Engine reports whether its backend servers are engines, which prefill prompts.
	Engine bool
	// CacheTokens is the cache size of each backend server, in tokens.
	CacheTokens int
	// CopyRate is the rate at which a backend server copies what another caches, in tokens per second; 0 if copies
	// are not supported.
	CopyRate float64
	// ColdBound is how many requests a cold backend server may receive in any second from all routers, 0 for no
	// limit. ColdFor is how long after its start a backend server is cold.
	ColdBound int
	ColdFor   time.Duration
}

// Backend is a backend server.
type Backend struct {
	Name    string
	Pool    model.PoolID
	Near    bool // in this router's data hall
	Hall    string
	Slots   int
	Leaving bool
	// Evacuated reports whether its data hall is evacuated.
	Evacuated bool
	// Cold reports whether it has announced that it is slow after its start.
	Cold bool
	// Build is the version of its software.
	Build model.Build
}

// Machine is the state machine of the decisions. It does no I/O and reads no clock.
type Machine struct {
	now            model.Time
	config         Config
	random         *rand.Rand
	routers        int // live routers, this one included
	servers        map[model.BackendID]*server
	order          []model.BackendID // sorted IDs of servers
	byPool         map[model.PoolID][]model.BackendID
	version        int        // increases with each configuration or list of routers
	waiting        []*request // in order of arrival
	requests       map[model.RequestID]*request
	shares         shares
	outputs        map[uint32]*ewma // expected output tokens by route
	peers          map[string]*peerLoad
	placements     []Placement
	actions        []Action
	lastPass       model.Time // time of the last pass over the waiting requests
	homes          homeStats
	latencies      map[model.PoolID]*latencyModel
	serviceTimes   map[model.PoolID]*ewma // time per request of plain services
	startup        startupAssumption
	coldAssignment coldAssignment
	usableFraction float64 // fraction of the engines that are not evacuated
	notices        *notice.Registry
	holders        []holder                    // result of holdersOf, reused
	nextRetry      map[model.PoolID]model.Time // earliest retry time for the next caller refused with Resting
}

// request is a waiting or running request.
type request struct {
	Request
	arrived  model.Time
	deadline model.Time
	cost     float64 // in tokens, as counted towards shares
	server   *server // the backend server it was dispatched to, nil before
	flight   *flight
	began    bool
	uniform  float64 // random, from 0 to 1
	// considered reports whether a pass has evaluated it.
	considered bool

	home              *server           // where routers without placements dispatch it
	candidates        []model.BackendID // to evaluate, in order
	candidatesVersion int               // version for which candidates was computed
}

// New returns the state machine of a router that has just started.
func New(now model.Time, random *rand.Rand) *Machine {
	return &Machine{
		now: now, random: random, routers: 1, lastPass: now - passInterval,
		servers:        map[model.BackendID]*server{},
		requests:       map[model.RequestID]*request{},
		shares:         newShares(),
		outputs:        map[uint32]*ewma{},
		peers:          map[string]*peerLoad{},
		latencies:      map[model.PoolID]*latencyModel{},
		serviceTimes:   map[model.PoolID]*ewma{},
		coldAssignment: coldAssignment{started: now},
		usableFraction: 1,
		notices:        notice.New(),
		nextRetry:      map[model.PoolID]model.Time{},
	}
}

// Configure applies a configuration.
func (m *Machine) Configure(now model.Time, c Config) {
	m.now = max(m.now, now)
	m.config = c
	m.config.Tuning = c.Tuning.withDefaults()
	for id := range m.servers {
		if _, known := c.Backends[id]; !known {
			delete(m.servers, id)
		}
	}
	engines := map[model.PoolID]int{}
	all, evacuated := 0, 0
	for _, b := range c.Backends {
		if !c.Pools[b.Pool].Engine {
			continue
		}
		engines[b.Pool]++
		all++
		if b.Evacuated {
			evacuated++
		}
	}
	m.usableFraction = 1
	if all > 0 {
		m.usableFraction = float64(all-evacuated) / float64(all)
	}
	for id, b := range c.Backends {
		s := m.servers[id]
		if s == nil {
			s = newServer(id, m.now)
			m.servers[id] = s
		}
		s.cold.configure(m.now, s.Backend, b, c.Pools[b.Pool])
		s.Backend = b
		s.engine = c.Pools[b.Pool].Engine
		s.copyRate = c.Pools[b.Pool].CopyRate
		s.cacheTokens = m.config.Tuning.CacheFraction * float64(c.Pools[b.Pool].CacheTokens)
		s.latency = m.latencyOf(b.Pool)
		s.latency.setInitialRate(m.config.Tuning.rateOf(c.TokensPerSecond, engines[b.Pool]))
	}
	m.order = sortedIDs(m.servers)
	m.assignCold()
	m.version++
	m.byPool = map[model.PoolID][]model.BackendID{}
	for _, id := range m.order {
		pool := m.servers[id].Pool
		m.byPool[pool] = append(m.byPool[pool], id)
	}
}

// latencyOf returns the latency model of a pool.
func (m *Machine) latencyOf(pool model.PoolID) *latencyModel {
	if m.latencies[pool] == nil {
		m.latencies[pool] = newLatencyModel()
	}
	return m.latencies[pool]
}

// decay reduces the weight of earlier observations of backend servers. This includes observations that keep this
// router from dispatching to them, as only dispatched requests would show that these no longer apply.
func (m *Machine) decay(elapsed time.Duration) {
	m.shares.decayLargestCost(elapsed)
	for _, p := range m.latencies {
		p.decay(elapsed)
	}
	for _, s := range m.servers {
		s.health.decay(elapsed)
	}
}

// SetNotices sets the registry of notices that backend servers have sent about themselves.
func (m *Machine) SetNotices(notices *notice.Registry) { m.notices = notices }

// SetRouters sets the number of live routers, this one included.
func (m *Machine) SetRouters(n int) { m.routers = max(n, 1) }

// TakeActions returns the actions since the last call.
func (m *Machine) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Has reports whether a request is waiting or running.
func (m *Machine) Has(id model.RequestID) bool { return m.requests[id] != nil }

// Idle reports whether no request is waiting or running.
func (m *Machine) Idle() bool { return len(m.requests) == 0 }

// Arrive adds a new request.
func (m *Machine) Arrive(now model.Time, in Request) {
	m.now = max(m.now, now)
	r := &request{Request: in, arrived: m.now, deadline: m.now + in.Wait, uniform: m.random.Float64()}
	r.cost = m.CostOf(&in)
	if m.config.Pools[in.Pool].Engine {
		m.shares.largestCost = max(m.shares.largestCost, r.cost)
	}
	m.requests[in.ID] = r
	if !m.makeRoom(r) {
		return
	}
	m.waiting = append(m.waiting, r)
	if len(m.waiting) == 1 {
		m.processRequest(r, m.levels())
		m.lastPass = m.now
		return
	}
	m.processQueue()
}

// Dispatched reports whether a request was dispatched and is still running.
func (m *Machine) Dispatched(id model.RequestID) bool {
	r := m.requests[id]
	return r != nil && r.server != nil
}

// Cost returns what a dispatched request costs its account, in tokens.
func (m *Machine) Cost(id model.RequestID) float64 {
	if r := m.requests[id]; r != nil {
		return r.cost
	}
	return 0
}

// RecordBegin records that the answer to a request has begun.
func (m *Machine) RecordBegin(now model.Time, id model.RequestID) {
	m.now = max(m.now, now)
	r := m.requests[id]
	if r == nil || r.server == nil || r.began {
		return
	}
	r.began = true
	s := r.server
	if s.engine && s.isUncontended(r.flight) {
		s.latency.observe(m.now-r.flight.sent-r.Lag, r.flight, s.health.slowness())
	}
	s.recordBegin(m.now, r.flight)
	m.homes.observe(m.now-r.flight.sent, r.flight)
	m.processQueue()
}

// Finish removes a request; output is the number of output tokens generated.
func (m *Machine) Finish(now model.Time, id model.RequestID, ending Ending, output float64) {
	m.now = max(m.now, now)
	r := m.requests[id]
	if r == nil {
		return
	}
	delete(m.requests, id)
	if r.server == nil {
		m.removeWaiting(r)
		m.processQueue()
		return
	}
	if ending == Done {
		m.recordServiceTime(r.server, r.flight)
	}
	r.server.recordEnd(m.now, r.flight, m.effectiveEnding(r, ending), m.random)
	if ending == Done && output > 0 {
		if m.outputs[r.Route] == nil {
			m.outputs[r.Route] = &ewma{value: output}
		}
		m.outputs[r.Route].add(output)
	}
	m.processQueue()
}

// silenceFactor is the multiple of its objective that a request must have been without an answer for its caller's
// disconnection to count as a failure of the backend server.
const silenceFactor = 2

// effectiveEnding returns the ending that counts for the health of the backend server. If it was silent until the
// caller disconnected, it has failed.
func (m *Machine) effectiveEnding(r *request, ending Ending) Ending {
	silent := !r.began && r.Objective > 0 && m.now-r.flight.sent > silenceFactor*r.Objective
	if ending == Disconnected && silent {
		return Failed
	}
	return ending
}

// Tick advances the time and processes the waiting requests.
func (m *Machine) Tick(now model.Time) {
	m.now = max(m.now, now)
	m.processQueue()
}

// never is later than any time that occurs.
const never = model.Time(1<<63 - 1)

// Wake returns when the next Tick is due.
func (m *Machine) Wake() model.Time {
	if len(m.waiting) == 0 {
		return never
	}
	return m.lastPass + passInterval
}

// passInterval is the interval between passes over the waiting requests.
const passInterval = 10 * time.Millisecond

// ewma is an exponentially weighted moving average.
type ewma struct{ value float64 }

// ewmaWeight is the weight of the newest value.
const ewmaWeight = 0.05

func (m *ewma) add(v float64) { m.value += ewmaWeight * (v - m.value) }
