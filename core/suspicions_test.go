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

const lethal = model.Fingerprint(0xfeed)

// endUnder lets a router see a backend server end under the request.
func (f *fleet) endUnder(n *node, server string) {
	f.step(n, ServerEnded{
		Fingerprint: lethal, Account: model.Account(accountNames(1)[0]), Backend: model.Backend(server), Ran: 80 * time.Millisecond,
	})
}

// holding returns how many live routers hold the request back.
func (f *fleet) holding() int {
	out := 0
	for _, n := range f.nodes {
		if !n.down && n.core.suspicions.held[lethal] {
			out++
		}
	}
	return out
}

// TestEndsSeenAtSeveralRoutersAddUp lets two routers see one end each. All others hold the request back well
// before the four seconds that users give a fleet to hear of it.
func TestEndsSeenAtSeveralRoutersAddUp(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{2, 9, 59, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			f := loadedFleet(routers, 60_000)
			f.endUnder(f.nodes[0], "run-1")
			f.runUntil(f.time.Now() + time.Second)
			is.Equal(f.holding(), 0)
			f.endUnder(f.nodes[routers-1], "run-2")
			began := f.time.Now()
			for f.holding() < routers && f.time.Now() < began+4*time.Second {
				f.runUntil(f.time.Now() + 10*time.Millisecond)
			}
			t.Logf("all %d routers hold it back after %v", routers, f.time.Now()-began)
			is.Equal(f.holding(), routers)
			is.True(f.time.Now()-began < time.Second)
			f.step(f.nodes[routers/2], Answered{Fingerprint: lethal})
			f.runUntil(f.time.Now() + time.Second)
			is.Equal(f.holding(), 0)
		})
	}
}

// TestRoutersThatComeBackHearWhatIsHeldBack cuts a router off and starts another anew while a request
// is held back: both hear of it with the first datagrams.
func TestRoutersThatComeBackHearWhatIsHeldBack(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	alone := f.nodes[4]
	f.cut = func(a, b *node) bool { return (a == alone) != (b == alone) }
	f.kill(f.nodes[5])
	f.endUnder(f.nodes[0], "run-1")
	f.endUnder(f.nodes[1], "run-2")
	f.runUntil(f.time.Now() + 20*time.Second)
	f.endUnder(f.nodes[1], "run-3")
	f.runUntil(f.time.Now() + time.Second)
	is.Equal(f.holding(), 7)
	f.cut = nil
	f.start(f.nodes[5])
	f.runUntil(f.time.Now() + 3*time.Second)
	is.Equal(f.holding(), 9)
	quiet := 0
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		quiet += len(d.Suspicions)
		return d
	}
	f.runUntil(f.time.Now() + 5*time.Second)
	is.Equal(quiet, 0) // those that know the same tell each other nothing
}

// keeping is a router that decides by itself, and what the store keeps of it.
type keeping struct {
	core *Core
	kept *wire.Suspicion
}

func newKeeping() *keeping {
	return &keeping{core: New(0, member.Member{Name: "router-1", Boot: 1}, 1)}
}

// step returns what became of a request that is held back, nil for none.
func (k *keeping) step(now model.Time, e Event) (refused *Refuse, tried bool) {
	for _, a := range k.core.Step(now, e) {
		switch a := a.(type) {
		case HeldChanged:
			if a.Seen {
				k.kept = a.Suspicion
			}
		case Refuse:
			refused = &a
		case Tried:
			tried = true
		}
	}
	return refused, tried
}

// TestRoutersThatStartAnewKnowOfAFailedTry guards against all routers ending after a try under which a backend server ended:
// the new ones tried again some seconds after their start, and not minutes later.
func TestRoutersThatStartAnewKnowOfAFailedTry(t *testing.T) {
	is := is.New(t)
	before := newKeeping()
	under := func(server string) ServerEnded {
		return ServerEnded{Fingerprint: lethal, Account: 7, Backend: model.Backend(server), Ran: 80 * time.Millisecond}
	}
	before.step(time.Second, under("run-1"))
	before.step(2*time.Second, under("run-2"))
	is.Equal(len(before.kept.Backends), 2)
	_, tried := before.step(10*time.Second, Arrive{ID: 1, Account: 7, Fingerprint: lethal})
	is.True(tried)
	before.step(10*time.Second+100*time.Millisecond, under("run-3"))
	is.Equal(len(before.kept.Backends), 3)

	after := newKeeping()
	after.step(time.Second, HeldInStore{Suspicions: []*wire.Suspicion{before.kept}})
	for now := 2 * time.Second; now < 5*time.Minute; now += time.Second {
		refused, tried := after.step(now, Arrive{ID: 1, Account: 7, Fingerprint: lethal})
		is.True(!tried && refused.Reason == HeldBack)
	}
}

// TestAllThatTheStoreKeepsStaysHeldBack guards against requests that a router reads from the store together being taken for each
// other's bystanders, and let go.
func TestAllThatTheStoreKeepsStaysHeldBack(t *testing.T) {
	is := is.New(t)
	var kept []*wire.Suspicion
	for f := range 5 {
		k := newKeeping()
		for end := range 2 {
			server := fmt.Sprintf("run-%d-%d", f, end)
			k.step(time.Duration(end+1)*time.Second, ServerEnded{
				Fingerprint: model.Fingerprint(f + 1), Account: 7, Backend: model.Backend(server), Ran: 80 * time.Millisecond,
			})
		}
		kept = append(kept, k.kept)
	}
	after := newKeeping()
	after.step(time.Second, HeldInStore{Suspicions: kept})
	for f := range kept {
		refused, _ := after.step(2*time.Second, Arrive{ID: RequestID(f + 1), Account: 7, Fingerprint: model.Fingerprint(f + 1)})
		is.True(refused != nil && refused.Reason == HeldBack)
		is.True(refused.RetryAfter > time.Second && refused.RetryAfter < 10*time.Second)
	}
	after.step(3*time.Second, Answered{Fingerprint: 1})
	is.Equal(len(after.core.suspicions.held), 4)
}

// TestTriesAreAskedFor lets a router whose try is due ask for it, and refuse what comes meanwhile.
func TestTriesAreAskedFor(t *testing.T) {
	is := is.New(t)
	k := newKeeping()
	k.core.AskForTries()
	for i, server := range []string{"run-1", "run-2"} {
		k.step(time.Duration(i+1)*time.Second, ServerEnded{Fingerprint: lethal, Account: 7, Backend: model.Backend(server), Ran: 80 * time.Millisecond})
	}
	arrive := func(now model.Time, id RequestID) []Action {
		return k.core.Step(now, Arrive{ID: id, Account: 7, Fingerprint: lethal})
	}
	is.Equal(arrive(10*time.Second, 1), []Action{AskTry{ID: 1, Fingerprint: lethal}})
	refused, tried := k.step(10*time.Second, Arrive{ID: 2, Account: 7, Fingerprint: lethal})
	is.True(!tried && refused.ID == 2 && refused.Reason == HeldBack)
	refused, tried = k.step(10*time.Second+5*time.Millisecond, TryAnswered{ID: 1})
	is.True(!tried && refused.ID == 1 && refused.RetryAfter > time.Second)

	is.Equal(arrive(30*time.Second, 3), []Action{AskTry{ID: 3, Fingerprint: lethal}})
	_, tried = k.step(30*time.Second+5*time.Millisecond, TryAnswered{ID: 3, Granted: true})
	is.True(tried)

	is.Equal(arrive(60*time.Second, 4), []Action{AskTry{ID: 4, Fingerprint: lethal}})
	k.step(60*time.Second, Abandon{ID: 4})
	refused, tried = k.step(60*time.Second+5*time.Millisecond, TryAnswered{ID: 4, Granted: true})
	is.True(!tried && refused == nil) // its caller has left

	is.Equal(arrive(90*time.Second, 5), []Action{AskTry{ID: 5, Fingerprint: lethal}})
	k.step(90*time.Second+2*time.Millisecond, ServerEnded{Fingerprint: lethal, Account: 7, Backend: model.Backend("run-9"), Ran: 80 * time.Millisecond})
	refused, tried = k.step(90*time.Second+5*time.Millisecond, TryAnswered{ID: 5, Granted: true})
	is.True(!tried && refused.ID == 5) // a server has ended under it meanwhile
}

// TestSuspicionsInMessagesAreReadStrictly reads what no router of this kind writes.
func TestSuspicionsInMessagesAreReadStrictly(t *testing.T) {
	is := is.New(t)
	for _, in := range []*wire.Suspicion{
		{},
		{Fingerprint: 1, Backends: []uint32{1}},
		{Fingerprint: 1, Backends: []uint32{1}, EndedMs: []uint32{1}, RanUs: []uint32{1, 2}, Marks: []uint32{0}},
	} {
		_, ok := decodeSuspicion(time.Minute, in)
		is.True(!ok)
	}
	whole := &wire.Suspicion{
		Fingerprint: 1, Account: 2, Backends: []uint32{3, 4}, EndedMs: []uint32{100, 200}, RanUs: []uint32{50, 60},
		Marks: []uint32{markBegun, markTry}, AnsweredMs: 301, TriedMs: 0,
	}
	s, ok := decodeSuspicion(time.Minute, whole)
	is.True(ok)
	is.True(proto.Equal(whole, encodeSuspicion(time.Minute, s)))
}

// FuzzSuspicions decodes any message, which must not panic nor hold back what it doesn't name.
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
			c.book.Take(time.Hour, s)
		}
		if in.Fingerprint != uint64(lethal) && c.book.Judge(time.Hour, lethal).Held {
			t.Fatal("another request is held back")
		}
	})
}
