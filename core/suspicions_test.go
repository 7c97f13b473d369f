package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const suspectRequest = model.Fingerprint(0xfeed)

// endServer makes a router see a backend server end during the request.
func (f *fleet) endServer(n *testRouter, server string) {
	f.step(n, ServerEnded{
		Fingerprint: suspectRequest, Account: model.Account(accountNames(1)[0]), Backend: model.Backend(server), RunTime: 80 * time.Millisecond,
	})
}

// routersHolding returns the number of live routers that hold the request back.
func (f *fleet) routersHolding() int {
	out := 0
	for _, n := range f.routers {
		if !n.down && n.core.suspicions.held[suspectRequest] {
			out++
		}
	}
	return out
}

// TestEndsSeenAtSeveralRoutersAddUp makes two routers see one end each. All others must hold the request back well
// before the four seconds that a fleet is allowed for it.
func TestEndsSeenAtSeveralRoutersAddUp(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{2, 9, 59, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			f := loadedFleet(routers, 60_000)
			f.endServer(f.routers[0], "run-1")
			f.runUntil(f.time.Now() + time.Second)
			is.Equal(f.routersHolding(), 0)
			f.endServer(f.routers[routers-1], "run-2")
			began := f.time.Now()
			for f.routersHolding() < routers && f.time.Now() < began+4*time.Second {
				f.runUntil(f.time.Now() + 10*time.Millisecond)
			}
			t.Logf("all %d routers hold it back after %v", routers, f.time.Now()-began)
			is.Equal(f.routersHolding(), routers)
			is.True(f.time.Now()-began < time.Second)
			f.step(f.routers[routers/2], Answered{Fingerprint: suspectRequest})
			f.runUntil(f.time.Now() + time.Second)
			is.Equal(f.routersHolding(), 0)
		})
	}
}

// TestReturningRoutersReceiveSuspicions cuts a router off and restarts another one while a request is held back: both
// must receive the suspicion with the first datagrams.
func TestReturningRoutersReceiveSuspicions(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	isolated := f.routers[4]
	f.cut = func(a, b *testRouter) bool { return (a == isolated) != (b == isolated) }
	f.kill(f.routers[5])
	f.endServer(f.routers[0], "run-1")
	f.endServer(f.routers[1], "run-2")
	f.runUntil(f.time.Now() + 20*time.Second)
	f.endServer(f.routers[1], "run-3")
	f.runUntil(f.time.Now() + time.Second)
	is.Equal(f.routersHolding(), 7)
	f.cut = nil
	f.start(f.routers[5])
	f.runUntil(f.time.Now() + 3*time.Second)
	is.Equal(f.routersHolding(), 9)
	resent := 0
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		resent += len(d.Suspicions)
		return d
	}
	f.runUntil(f.time.Now() + 5*time.Second)
	is.Equal(resent, 0) // routers with equal suspicions send each other none
}

// storingRouter is a router that decides alone, and what the store contains of it.
type storingRouter struct {
	core   *Core
	stored *wire.Suspicion
}

func newStoringRouter() *storingRouter {
	return &storingRouter{core: New(0, member.Member{Name: "router-1", Boot: 1}, 1)}
}

// step returns the outcome for a request that is held back: its refusal, nil for none, and whether it was tried.
func (r *storingRouter) step(now model.Time, e Event) (refused *Refuse, tried bool) {
	for _, a := range r.core.Step(now, e) {
		switch a := a.(type) {
		case HeldChanged:
			if a.Seen {
				r.stored = a.Suspicion
			}
		case Refuse:
			refused = &a
		case Tried:
			tried = true
		}
	}
	return refused, tried
}

// TestRestartedRoutersRestoreFailedTry guards against early tries after all routers were restarted following a try
// during which a backend server ended: the new processes tried again seconds after their start instead of minutes
// later.
func TestRestartedRoutersRestoreFailedTry(t *testing.T) {
	is := is.New(t)
	before := newStoringRouter()
	ended := func(server string) ServerEnded {
		return ServerEnded{Fingerprint: suspectRequest, Account: 7, Backend: model.Backend(server), RunTime: 80 * time.Millisecond}
	}
	before.step(time.Second, ended("run-1"))
	before.step(2*time.Second, ended("run-2"))
	is.Equal(len(before.stored.Backends), 2)
	_, tried := before.step(10*time.Second, Arrive{ID: 1, Account: 7, Fingerprint: suspectRequest})
	is.True(tried)
	before.step(10*time.Second+100*time.Millisecond, ended("run-3"))
	is.Equal(len(before.stored.Backends), 3)

	after := newStoringRouter()
	after.step(time.Second, HeldRequestsLoaded{Suspicions: []*wire.Suspicion{before.stored}})
	for now := 2 * time.Second; now < 5*time.Minute; now += time.Second {
		refused, tried := after.step(now, Arrive{ID: 1, Account: 7, Fingerprint: suspectRequest})
		is.True(!tried && refused.Reason == HeldBack)
	}
}

// TestStoredSuspicionsStayHeldBack guards against releasing requests that a router reads from the store together
// because each is considered to be explained by the others.
func TestStoredSuspicionsStayHeldBack(t *testing.T) {
	is := is.New(t)
	var stored []*wire.Suspicion
	for f := range 5 {
		r := newStoringRouter()
		for end := range 2 {
			server := fmt.Sprintf("run-%d-%d", f, end)
			r.step(time.Duration(end+1)*time.Second, ServerEnded{
				Fingerprint: model.Fingerprint(f + 1), Account: 7, Backend: model.Backend(server), RunTime: 80 * time.Millisecond,
			})
		}
		stored = append(stored, r.stored)
	}
	after := newStoringRouter()
	after.step(time.Second, HeldRequestsLoaded{Suspicions: stored})
	for f := range stored {
		refused, _ := after.step(2*time.Second, Arrive{ID: RequestID(f + 1), Account: 7, Fingerprint: model.Fingerprint(f + 1)})
		is.True(refused != nil && refused.Reason == HeldBack)
		is.True(refused.RetryAfter > time.Second && refused.RetryAfter < 10*time.Second)
	}
	after.step(3*time.Second, Answered{Fingerprint: 1})
	is.Equal(len(after.core.suspicions.held), 4)
}

// TestTriesRequireGrant makes a router request a grant for a try that is due, and refuse the requests that arrive
// meanwhile.
func TestTriesRequireGrant(t *testing.T) {
	is := is.New(t)
	r := newStoringRouter()
	r.core.RequireTryGrants()
	for i, server := range []string{"run-1", "run-2"} {
		r.step(time.Duration(i+1)*time.Second, ServerEnded{Fingerprint: suspectRequest, Account: 7, Backend: model.Backend(server), RunTime: 80 * time.Millisecond})
	}
	arrive := func(now model.Time, id RequestID) []Action {
		return r.core.Step(now, Arrive{ID: id, Account: 7, Fingerprint: suspectRequest})
	}
	is.Equal(arrive(10*time.Second, 1), []Action{RequestTry{ID: 1, Fingerprint: suspectRequest}})
	refused, tried := r.step(10*time.Second, Arrive{ID: 2, Account: 7, Fingerprint: suspectRequest})
	is.True(!tried && refused.ID == 2 && refused.Reason == HeldBack)
	refused, tried = r.step(10*time.Second+5*time.Millisecond, TryAnswered{ID: 1})
	is.True(!tried && refused.ID == 1 && refused.RetryAfter > time.Second)

	is.Equal(arrive(30*time.Second, 3), []Action{RequestTry{ID: 3, Fingerprint: suspectRequest}})
	_, tried = r.step(30*time.Second+5*time.Millisecond, TryAnswered{ID: 3, Granted: true})
	is.True(tried)

	is.Equal(arrive(60*time.Second, 4), []Action{RequestTry{ID: 4, Fingerprint: suspectRequest}})
	r.step(60*time.Second, Abandon{ID: 4})
	refused, tried = r.step(60*time.Second+5*time.Millisecond, TryAnswered{ID: 4, Granted: true})
	is.True(!tried && refused == nil) // its caller has left

	is.Equal(arrive(90*time.Second, 5), []Action{RequestTry{ID: 5, Fingerprint: suspectRequest}})
	r.step(90*time.Second+2*time.Millisecond, ServerEnded{Fingerprint: suspectRequest, Account: 7, Backend: model.Backend("run-9"), RunTime: 80 * time.Millisecond})
	refused, tried = r.step(90*time.Second+5*time.Millisecond, TryAnswered{ID: 5, Granted: true})
	is.True(!tried && refused.ID == 5) // a backend server has ended during it meanwhile
}

// TestMalformedSuspicionsAreRejected decodes messages that no router sends, and a valid one.
func TestMalformedSuspicionsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, in := range []*wire.Suspicion{
		{},
		{Fingerprint: 1, Backends: []uint32{1}},
		{Fingerprint: 1, Backends: []uint32{1}, EndedMs: []uint32{1}, RanUs: []uint32{1, 2}, Marks: []uint32{0}},
	} {
		_, ok := decodeSuspicion(time.Minute, in)
		is.True(!ok)
	}
	valid := &wire.Suspicion{
		Fingerprint: 1, Account: 2, Backends: []uint32{3, 4}, EndedMs: []uint32{100, 200}, RanUs: []uint32{50, 60},
		Marks: []uint32{markBegun, markTry}, AnsweredMs: 301, TriedMs: 0,
	}
	s, ok := decodeSuspicion(time.Minute, valid)
	is.True(ok)
	is.True(proto.Equal(valid, encodeSuspicion(time.Minute, s)))
}

// FuzzSuspicions decodes arbitrary messages, which must neither panic nor hold back a request that isn't in them.
func FuzzSuspicions(f *testing.F) {
	seed, _ := proto.Marshal(&wire.Suspicion{Fingerprint: 1, Backends: []uint32{3}, EndedMs: []uint32{1}, RanUs: []uint32{9}, Marks: []uint32{1}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in wire.Suspicion
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		c := newSuspicions(1)
		if s, ok := decodeSuspicion(time.Hour, &in); ok {
			c.tracker.Merge(time.Hour, s)
		}
		if in.Fingerprint != uint64(suspectRequest) && c.tracker.Decide(time.Hour, suspectRequest).Held {
			t.Fatal("another request is held back")
		}
	})
}
