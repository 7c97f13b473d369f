package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// sent counts requests that were sent to one backend server and to others, by one router and by all.
type sent struct{ by, all [2]int }

// countSent counts from now on.
func (f *fleet) countSent(server model.BackendID, by *node) *sent {
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

// routerThat returns a router that owns a backend server, or one that doesn't.
func (f *fleet) routerThat(owns bool, server model.BackendID) *node {
	for _, n := range f.nodes {
		if (n.core.backends[server] != nil) == owns {
			return n
		}
	}
	return nil
}

// TestRestingServersGetNoGrants lets a backend server ask for rest, of its owner and of another router in turn, while
// twice as many requests come as can be served. The one that was asked sends it nothing, the places that it is granted go to
// others, and after the rest it has its share again.
func TestRestingServersGetNoGrants(t *testing.T) {
	const rest = 3 * time.Second
	server := model.Backend("runner-1")
	for _, owner := range []bool{true, false} {
		t.Run(fmt.Sprint("asks its owner: ", owner), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(11, smallConfig(), []string{"a", "b", "c"})
			f.runUntil(2 * time.Second)
			asked := f.routerThat(owner, server)
			account := model.Account(accountNames(1)[0])
			var come func(int)
			come = func(i int) {
				f.submit(f.nodes[i%len(f.nodes)], account, model.Pool(assistant), model.Interactive, 10, 10, time.Minute)
				f.after(7*time.Millisecond, func() { come(i + 1) })
			}
			come(0)
			f.runUntil(4 * time.Second)
			f.step(asked, Noticed{Backend: server, Notice: notice.Notice{Rest: rest}})
			resting := f.countSent(server, asked)
			f.runUntil(f.time.Now() + rest - time.Millisecond)
			t.Logf("while it rests, sent to it and to others: %+v", *resting)
			is.Equal(resting.by[0], 0)
			is.True(resting.by[1] > 20)
			is.True(resting.all[1] > 100) // of 40 in a second that the two others can serve
			rested := f.countSent(server, asked)
			f.runUntil(f.time.Now() + 2*time.Second)
			t.Logf("in the two seconds after it: %+v", *rested)
			is.True(rested.all[0] > 30) // of 20 in a second
		})
	}
}

// TestWhatWaitsIsSentOnceServersHaveRested lets one request wait at a router whose only backend server rests, with
// nothing else going on.
func TestWhatWaitsIsSentOnceServersHaveRested(t *testing.T) {
	is := is.New(t)
	server := model.Backend("runner-1")
	config := smallConfig()
	config.Backends = map[model.BackendID]Backend{server: config.Backends[server]}
	f := newFleet(12, config, []string{"a"})
	f.runUntil(time.Second)
	f.step(f.nodes[0], Noticed{Backend: server, Notice: notice.Notice{Rest: 3 * time.Second}})
	j := f.submit(f.nodes[0], model.Account(accountNames(1)[0]), model.Pool(assistant), model.Interactive, 10, 10, time.Minute)
	f.runUntil(4*time.Second - time.Millisecond)
	is.True(!j.running)
	f.runUntil(4*time.Second + 10*time.Millisecond)
	is.True(j.running)
}
