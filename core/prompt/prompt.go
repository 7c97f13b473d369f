// Package prompt decides where requests go whose cost is mostly the reading of
// their prompts, when they go, and which are refused.
//
// # The model of a backend server
//
// An engine reads prompts one after the other at a steady rate, between the
// tokens of what it already answers. Parts of prompts that it has kept aren't
// read again, as long as all parts before them are kept too. So the state that
// counts is its backlog: the tokens sent to it that it hasn't read yet.
//
// Each router counts the tokens sent to each backend server, its own at once and
// the other routers' from their load reports, which say what is new since the report
// before. It estimates how many of them have been read: the estimate grows at the
// engine's rate, and each first token of an answer corrects it. A request that has
// begun shows that all that was sent before it has been read; one that hasn't
// shows the contrary. The correction finds slow and silent backend servers as well.
//
// How soon an idle engine begins its answer and how fast it reads are measured, for
// each pool, on the answers to requests that nothing seemed to be ahead of.
//
// # The choice of a backend server
//
// The one where the answer begins soonest, with the reading of the prompt counted
// more than once, as it takes capacity from others. Where none is known to keep
// the prompt's shared parts, rendezvous hashing over them lets all routers choose
// alike. In a large fleet a router hears little of what the others have sent where,
// so it learns from its own requests how often the first choice, their home, has
// kept what this router never sent there, and expects as much of it from then on.
//
// In a large fleet each data hall can have a home of its own for each shared part: what is
// shared by many is then read once in each, and most requests needn't leave their data hall.
//
// # Accounts
//
// Over a window of some seconds each account may begin its max-min share of what
// the engines make, counted over the fleet from the routers' load reports: whoever asks for less
// than an even part gets it all, and what is left is divided evenly among the others. The
// same holds for the last second, so that an account that is sent by many routers can't
// fill the engines before the others' requests come. Work within the share goes first,
// by what part of the share its account has had; work beyond it goes only where
// capacity would idle: where its answer is expected little later than an idle
// engine would begin it.
//
// # Waiting and refusing
//
// A request waits in the router for as long as it can be hoped to begin in time,
// and then is refused, with the time until there will be room. It is refused
// early, so that its caller can still be served in time when it asks again.
package prompt

import (
	"math/rand/v2"
	"time"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// Config is what the decisions rest on.
type Config struct {
	Pools    map[model.PoolID]Pool
	Backends map[model.BackendID]Backend
	Accounts map[model.AccountID]int // the priority of each
	// TokensPerSecond is what all engines make together, 0 where unknown.
	TokensPerSecond float64
	// HallHomes lets prompts that share parts have a home in each data hall, and not one in the
	// fleet.
	HallHomes bool
	Tuning    Tuning
}

// Pool is a set of backend servers that can stand in for one another.
type Pool struct {
	// Engine tells whether its backend servers read prompts.
	Engine bool
	// Memory is what one of them keeps, in tokens.
	Memory int
	// CopyRate is how many tokens a second one copies of what another keeps, 0
	// where they can't.
	CopyRate float64
	// ColdBound is how many requests a backend server may get in any second from all
	// routers while it is cold, 0 for no bound; ColdFor is how long after its start that
	// lasts.
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
	// Evacuated tells that its data hall is evacuated.
	Evacuated bool
	// Cold tells that it is slow from its start, as far as it has announced.
	Cold bool
}

// Machine is the state machine. It does no I/O and reads no clock.
type Machine struct {
	now        model.Time
	config     Config
	random     *rand.Rand
	routers    int // that are live, this one included
	servers    map[model.BackendID]*server
	order      []model.BackendID // of servers
	byPool     map[model.PoolID][]model.BackendID
	version    int        // of the configuration here
	waiting    []*request // by arrival
	requests   map[model.RequestID]*request
	shares     shares
	outputs    map[uint32]*mean // expected output by route
	peers      map[string]*peerLoad
	placements []Placement
	actions    []Action
	passed     model.Time // when all that waits was last gone over
	homes      homes
	paces      map[model.PoolID]*pace
	works      map[model.PoolID]*mean // how long a request of a plain service takes
	unheard    unheard
	fleet      fleet
	usable     float64 // part of the engines that aren't evacuated
	notices    *notice.Book
	returns    map[model.PoolID]model.Time // when the last caller was asked back that found all resting
}

// request is a request that waits or runs.
type request struct {
	Request
	arrived  model.Time
	deadline model.Time
	cost     float64 // tokens, as shares count them
	server   *server // that it was sent to
	flight   *flight
	began    bool
	draw     float64 // by chance, from 0 to 1

	home       *server           // to which routers that know nothing send it
	candidates []model.BackendID // to look at, in order
	chosenFor  int               // version of the configuration
}

// New returns the machine of a router that has just started.
func New(now model.Time, random *rand.Rand) *Machine {
	return &Machine{
		now: now, random: random, routers: 1, passed: now - recheck,
		servers:  map[model.BackendID]*server{},
		requests: map[model.RequestID]*request{},
		shares:   newShares(),
		outputs:  map[uint32]*mean{},
		peers:    map[string]*peerLoad{},
		paces:    map[model.PoolID]*pace{},
		works:    map[model.PoolID]*mean{},
		fleet:    fleet{began: now},
		usable:   1,
		notices:  notice.New(),
		returns:  map[model.PoolID]model.Time{},
	}
}

// Configure puts a configuration in force.
func (m *Machine) Configure(now model.Time, c Config) {
	m.now = max(m.now, now)
	m.config = c
	m.config.Tuning = c.Tuning.withDefaults()
	for id := range m.servers {
		if _, known := c.Backends[id]; !known {
			m.servers[id].gone = true
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
	m.usable = 1
	if all > 0 {
		m.usable = float64(all-evacuated) / float64(all)
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
		s.room = m.config.Tuning.KeptPart * float64(c.Pools[b.Pool].Memory)
		s.pace = m.paceOf(b.Pool)
		s.pace.expect(m.config.Tuning.rateOf(c.TokensPerSecond, engines[b.Pool]))
	}
	m.order = sortedIDs(m.servers)
	m.shareColdOut()
	m.version++
	m.byPool = map[model.PoolID][]model.BackendID{}
	for _, id := range m.order {
		pool := m.servers[id].Pool
		m.byPool[pool] = append(m.byPool[pool], id)
	}
}

// paceOf returns what is known of how soon the engines of a pool begin their answers.
func (m *Machine) paceOf(pool model.PoolID) *pace {
	if m.paces[pool] == nil {
		m.paces[pool] = newPace()
	}
	return m.paces[pool]
}

// fade lets some of what this router has learned of backend servers fade. What keeps it
// from sending to them must, as only requests that are sent show that it holds no more.
func (m *Machine) fade(passed time.Duration) {
	m.shares.fadeLargest(passed)
	for _, p := range m.paces {
		p.fade(passed)
	}
	for _, s := range m.servers {
		s.health.fade(passed)
	}
}

// Heed lets the machine heed what backend servers say of themselves, as a book holds it.
func (m *Machine) Heed(notices *notice.Book) { m.notices = notices }

// SetRouters tells how many routers are live, this one included.
func (m *Machine) SetRouters(n int) { m.routers = max(n, 1) }

// Take returns the actions since the last call.
func (m *Machine) Take() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Has tells whether a request waits or runs here.
func (m *Machine) Has(id model.RequestID) bool { return m.requests[id] != nil }

// Idle tells whether no request waits or runs here.
func (m *Machine) Idle() bool { return len(m.requests) == 0 }

// Arrive takes a request.
func (m *Machine) Arrive(now model.Time, in Request) {
	m.now = max(m.now, now)
	r := &request{Request: in, arrived: m.now, deadline: m.now + in.Wait, draw: m.random.Float64()}
	r.cost = m.CostOf(&in)
	if m.config.Pools[in.Pool].Engine {
		m.shares.largest = max(m.shares.largest, r.cost)
	}
	m.requests[in.ID] = r
	if !m.makeRoom(r) {
		return
	}
	m.waiting = append(m.waiting, r)
	if len(m.waiting) == 1 {
		m.consider(r, m.levels())
		m.passed = m.now
		return
	}
	m.decide()
}

// Sent tells whether a request was sent to a backend server.
func (m *Machine) Sent(id model.RequestID) bool {
	r := m.requests[id]
	return r != nil && r.server != nil
}

// Cost returns what a request that was dispatched costs its account, in tokens.
func (m *Machine) Cost(id model.RequestID) float64 {
	if r := m.requests[id]; r != nil {
		return r.cost
	}
	return 0
}

// Began tells that a request's answer has begun.
func (m *Machine) Began(now model.Time, id model.RequestID) {
	m.now = max(m.now, now)
	r := m.requests[id]
	if r == nil || r.server == nil || r.began {
		return
	}
	r.began = true
	s := r.server
	if s.engine && s.undisturbed(r.flight) {
		s.pace.learn(m.now-r.flight.sent-r.Lag, r.flight, s.health.slowness())
	}
	s.began(m.now, r.flight)
	m.homes.learn(m.now-r.flight.sent, r.flight)
	m.decide()
}

// Finish ends a request that was dispatched; output is what it made, in tokens.
func (m *Machine) Finish(now model.Time, id model.RequestID, ending Ending, output float64) {
	m.now = max(m.now, now)
	r := m.requests[id]
	if r == nil {
		return
	}
	delete(m.requests, id)
	if r.server == nil {
		m.removeWaiting(r)
		m.decide()
		return
	}
	if ending == Done {
		m.learnWork(r.server, r.flight)
	}
	r.server.finished(m.now, r.flight, m.judged(r, ending), m.random)
	if ending == Done && output > 0 {
		if m.outputs[r.Route] == nil {
			m.outputs[r.Route] = &mean{value: output}
		}
		m.outputs[r.Route].add(output)
	}
	m.decide()
}

// silence is how many times its objective a request must have gone without any
// answer for its caller's leaving to tell against the backend server.
const silence = 2

// judged returns what the ending of a request says of its backend server: one that
// was silent until the caller left has failed.
func (m *Machine) judged(r *request, ending Ending) Ending {
	mute := !r.began && r.Objective > 0 && m.now-r.flight.sent > silence*r.Objective
	if ending == Left && mute {
		return Failed
	}
	return ending
}

// Tick lets time pass.
func (m *Machine) Tick(now model.Time) {
	m.now = max(m.now, now)
	m.decide()
}

// never is a time that doesn't come.
const never = model.Time(1<<63 - 1)

// Wake returns when the next Tick is due.
func (m *Machine) Wake() model.Time {
	if len(m.waiting) == 0 {
		return never
	}
	return m.passed + recheck
}

// recheck is how often what waits is looked at anew.
const recheck = 10 * time.Millisecond

// mean is a mean that follows what it is given.
type mean struct{ value float64 }

// meanWeight is the weight of the newest value.
const meanWeight = 0.05

func (m *mean) add(v float64) { m.value += meanWeight * (v - m.value) }
