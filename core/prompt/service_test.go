package prompt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/internal/eventqueue"
	"github.com/tamarindstep/tamarindstep/model"
)

// Parameters of the simulated plain service. The demand is that of a service with half of its backend servers
// evacuated.
const (
	serviceSlots     = 6
	serviceQueue     = 24
	serviceWork      = 60 * time.Millisecond
	serviceObjective = 300 * time.Millisecond
	reportInterval   = 100 * time.Millisecond
	roundTrip        = 4 * time.Millisecond // both directions
)

// serviceSimulation simulates routers and the backend servers of a plain service.
type serviceSimulation struct {
	clock        eventqueue.Queue
	random       *rand.Rand
	fleet        []*Machine
	servers      map[model.BackendID]*serviceServer
	requested    int
	inTime       int
	late         int
	rejected     int // by a backend server whose queue was full
	refused      int
	arrivals     map[model.RequestID]model.Time
	retryRefused bool // refused callers retry once after RetryAfter
	registries   map[*Machine]*notice.Registry
	// disturbed counts the requests that reached a backend server during its rest, more than half a second after it
	// had requested that rest from their router.
	disturbed map[restRequest]int
}

// restRequest identifies a backend server that has requested a rest from a router.
type restRequest struct {
	router *Machine
	server *serviceServer
}

type serviceServer struct {
	id         model.BackendID
	running    int
	queue      []func()
	restsUntil model.Time // end of the rest
	notified   map[*Machine]model.Time
}

// restAll makes all backend servers reject requests and request a rest for the given time.
func (w *serviceSimulation) restAll(duration time.Duration) {
	for _, s := range w.servers {
		s.restsUntil = w.clock.Now() + duration
	}
}

// rejectResting rejects a request at a resting backend server.
func (w *serviceSimulation) rejectResting(m *Machine, s *serviceServer, id model.RequestID) {
	if at, notified := s.notified[m]; notified && w.clock.Now() > at+500*time.Millisecond {
		w.disturbed[restRequest{m, s}]++
	}
	if _, notified := s.notified[m]; !notified {
		s.notified[m] = w.clock.Now()
	}
	left := s.restsUntil - w.clock.Now()
	w.clock.After(roundTrip/2, func() {
		w.registries[m].Record(w.clock.Now(), s.id, notice.Notice{Rest: left})
		w.finish(m, id, Rejected)
	})
}

func newServiceSimulation(routers, servers int) *serviceSimulation {
	w := &serviceSimulation{
		random: rand.New(rand.NewPCG(7, 8)), servers: map[model.BackendID]*serviceServer{}, arrivals: map[model.RequestID]model.Time{},
		registries: map[*Machine]*notice.Registry{}, disturbed: map[restRequest]int{},
	}
	c := Config{Pools: map[model.PoolID]Pool{pool: {}}, Backends: map[model.BackendID]Backend{}}
	for i := range servers {
		name := fmt.Sprintf("service-%d", i)
		c.Backends[model.Backend(name)] = Backend{Name: name, Pool: pool, Near: true, Slots: serviceSlots}
		w.servers[model.Backend(name)] = &serviceServer{id: model.Backend(name), notified: map[*Machine]model.Time{}}
	}
	w.fleet = newFleet(routers, 0, c)
	for i, m := range w.fleet {
		m.SetRouters(routers)
		w.registries[m] = notice.New()
		m.SetNotices(w.registries[m])
		w.tick(m)
		w.report(i, 1)
	}
	return w
}

// tick runs a router's periodic processing.
func (w *serviceSimulation) tick(m *Machine) {
	m.Sample(w.clock.Now())
	m.Tick(w.clock.Now())
	w.act(m)
	w.clock.After(passInterval, func() { w.tick(m) })
}

// report sends a router's load reports to all others.
func (w *serviceSimulation) report(i int, sequence uint64) {
	report, _ := w.fleet[i].ReportLoads()
	report.Sequence = sequence
	w.clock.After(reportInterval, func() {
		for j, o := range w.fleet {
			if j != i {
				o.ApplyLoadReport(w.clock.Now(), fmt.Sprint(i), 1, report)
			}
		}
		w.report(i, sequence+1)
	})
}

// sendRequests sends requests to random routers at a rate per second.
func (w *serviceSimulation) sendRequests(perSecond float64, until model.Time) {
	if w.clock.Now() >= until {
		return
	}
	w.sendRequest(w.fleet[w.random.IntN(len(w.fleet))])
	pause := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	w.clock.After(pause, func() { w.sendRequests(perSecond, until) })
}

func (w *serviceSimulation) act(m *Machine) {
	for _, a := range m.TakeActions() {
		switch a := a.(type) {
		case Dispatch:
			w.clock.After(roundTrip/2, func() { w.arrive(m, w.servers[a.Backend], a.ID) })
		case Refuse:
			w.refused++
			if w.retryRefused {
				w.clock.After(a.RetryAfter, func() { w.sendRequest(m) })
			}
		}
	}
}

// sendRequest sends a request to a router.
func (w *serviceSimulation) sendRequest(m *Machine) {
	w.requested++
	id := model.RequestID(w.requested)
	w.arrivals[id] = w.clock.Now()
	m.Arrive(w.clock.Now(), Request{ID: id, Pool: pool, Objective: serviceObjective, Wait: 1500 * time.Millisecond})
	w.act(m)
}

// arrive delivers a request to a backend server, which runs, queues or rejects it.
func (w *serviceSimulation) arrive(m *Machine, s *serviceServer, id model.RequestID) {
	run := func() {
		s.running++
		took := time.Duration(float64(serviceWork) * (0.5 + w.random.Float64()))
		w.clock.After(took, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			w.clock.After(roundTrip/2, func() { w.finish(m, id, Done) })
		})
	}
	switch {
	case w.clock.Now() < s.restsUntil:
		w.rejectResting(m, s, id)
	case s.running < serviceSlots:
		run()
	case len(s.queue) < serviceQueue:
		s.queue = append(s.queue, run)
	default:
		w.rejected++
		w.clock.After(roundTrip/2, func() { w.finish(m, id, Rejected) })
	}
}

func (w *serviceSimulation) finish(m *Machine, id model.RequestID, ending Ending) {
	if ending == Done && w.clock.Now()-w.arrivals[id] <= serviceObjective {
		w.inTime++
	} else if ending == Done {
		w.late++
	}
	m.Finish(w.clock.Now(), id, ending, 0)
	w.act(m)
}

// TestOverloadedServiceAnswersInTime sends a plain service a fifth more than its capacity: its answers must be in
// time and its slots in use.
func TestOverloadedServiceAnswersInTime(t *testing.T) {
	for _, routers := range []int{9, 64} {
		is := is.New(t)
		w := newServiceSimulation(routers, 2)
		const duration = 20 * time.Second
		const capacity = 2 * serviceSlots * float64(time.Second/serviceWork)
		w.sendRequests(1.2*capacity, duration)
		w.clock.Run(duration)
		t.Logf("%d routers: %d requests, in time %d, late %d, rejected %d, refused %d", routers, w.requested, w.inTime, w.late, w.rejected, w.refused)
		is.True(float64(w.inTime) >= 0.85*capacity*duration.Seconds())
		is.True(float64(w.late) <= 0.05*float64(w.requested))
		is.True(float64(w.rejected) <= 0.03*float64(w.requested))
	}
}

// TestServiceBelowCapacityServesAll sends three fifths of the capacity.
func TestServiceBelowCapacityServesAll(t *testing.T) {
	for _, routers := range []int{9, 64} {
		is := is.New(t)
		w := newServiceSimulation(routers, 4)
		const duration = 20 * time.Second
		const capacity = 4 * serviceSlots * float64(time.Second/serviceWork)
		w.sendRequests(0.6*capacity, duration)
		w.clock.Run(duration)
		t.Logf("%d routers: %d requests, in time %d, late %d, rejected %d, refused %d", routers, w.requested, w.inTime, w.late, w.rejected, w.refused)
		is.True(float64(w.inTime) >= 0.97*float64(w.requested))
	}
}

// TestSlowServiceIsRetried has a plain service take longer than the objective for a while: requests must be
// dispatched to it again when it no longer does.
func TestSlowServiceIsRetried(t *testing.T) {
	is := is.New(t)
	m := New(0, rand.New(rand.NewPCG(1, 2)))
	m.Configure(0, Config{
		Pools:    map[model.PoolID]Pool{pool: {}},
		Backends: map[model.BackendID]Backend{1: {Name: "one", Pool: pool, Slots: serviceSlots}},
	})
	now := model.Time(0)
	for id := model.RequestID(1); id < 20; id++ {
		m.Arrive(now, Request{ID: id, Pool: pool, Objective: serviceObjective, Wait: time.Second})
		onlyDispatch(t, m)
		now += 2 * serviceObjective
		m.Finish(now, id, Done, 0)
	}
	m.Arrive(now, Request{ID: 100, Pool: pool, Objective: serviceObjective, Wait: time.Second})
	is.Equal(onlyDispatch(t, m).Backend, model.BackendID(1))
}
