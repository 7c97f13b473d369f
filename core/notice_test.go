package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// sent counts requests sent to one backend server and to others, by one router and by all.
type sent struct{ by, all [2]int }

// countSent counts the requests sent from now on.
func (f *fleet) countSent(server model.BackendID, by *testRouter) *sent {
	out := &sent{}
	f.dispatched = func(j *job) {
		to := 1
		if j.backend == server {
			to = 0
		}
		out.all[to]++
		if j.node == by {
			out.by[to]++
		}
	}
	return out
}

// routerOwning returns a router that owns a backend server, or one that doesn't.
func (f *fleet) routerOwning(owns bool, server model.BackendID) *testRouter {
	for _, n := range f.routers {
		if (n.core.backends[server] != nil) == owns {
			return n
		}
	}
	return nil
}

// TestRestingServersGetNoGrants makes a backend server ask for rest, first of its owner and then of another router,
// under twice the load that can be served. The router that was asked must send it nothing and use the slots granted
// there at other backend servers, and after the rest the backend server must get its share again.
func TestRestingServersGetNoGrants(t *testing.T) {
	const rest = 3 * time.Second
	server := model.Backend("runner-1")
	for _, owner := range []bool{true, false} {
		t.Run(fmt.Sprint("asks its owner: ", owner), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(11, smallConfig(), []string{"a", "b", "c"})
			f.runUntil(2 * time.Second)
			asked := f.routerOwning(owner, server)
			account := model.Account(accountNames(1)[0])
			var submitNext func(int)
			submitNext = func(i int) {
				f.submit(f.routers[i%len(f.routers)], account, model.Pool(assistant), model.Interactive, 10, 10, time.Minute)
				f.after(7*time.Millisecond, func() { submitNext(i + 1) })
			}
			submitNext(0)
			f.runUntil(4 * time.Second)
			f.step(asked, NoticeReceived{Backend: server, Notice: notice.Notice{Rest: rest}})
			resting := f.countSent(server, asked)
			f.runUntil(f.time.Now() + rest - time.Millisecond)
			t.Logf("sent to the resting backend server and to others: %+v", *resting)
			is.Equal(resting.by[0], 0)
			is.True(resting.by[1] > 20)
			is.True(resting.all[1] > 100) // of 40 a second that the two others can serve
			rested := f.countSent(server, asked)
			f.runUntil(f.time.Now() + 2*time.Second)
			t.Logf("sent in the two seconds after the rest: %+v", *rested)
			is.True(rested.all[0] > 30) // of 20 a second
		})
	}
}

// TestWaitingRequestIsSentAfterRest makes one request wait at a router whose only backend server rests, without any
// other event.
func TestWaitingRequestIsSentAfterRest(t *testing.T) {
	is := is.New(t)
	server := model.Backend("runner-1")
	config := smallConfig()
	config.Backends = map[model.BackendID]Backend{server: config.Backends[server]}
	f := newFleet(12, config, []string{"a"})
	f.runUntil(time.Second)
	f.step(f.routers[0], NoticeReceived{Backend: server, Notice: notice.Notice{Rest: 3 * time.Second}})
	j := f.submit(f.routers[0], model.Account(accountNames(1)[0]), model.Pool(assistant), model.Interactive, 10, 10, time.Minute)
	f.runUntil(4*time.Second - time.Millisecond)
	is.True(!j.running)
	f.runUntil(4*time.Second + 10*time.Millisecond)
	is.True(j.running)
}
