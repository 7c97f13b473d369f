package prompt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	firstBuild = model.Build(1)
	nextBuild  = model.Build(2)
)

// versionedConfig returns a configuration whose first engines are of the first software version and the others of the
// next.
func versionedConfig(engines, first int) Config {
	c := testConfig(engines)
	for i := range engines {
		id := model.Backend(fmt.Sprintf("engine-%d", i))
		b := c.Backends[id]
		b.Build = nextBuild
		if i < first {
			b.Build = firstBuild
		}
		c.Backends[id] = b
	}
	return c
}

// resuming returns a request that resumes a stream of the first version.
func resuming(id model.RequestID, account model.AccountID, shared uint64) Request {
	r := newRequest(id, account, shared, 500)
	r.Bound, r.Build = true, firstBuild
	return r
}

// TestResumedStreamsFindTheFewServersOfTheirVersion guards against streams that are refused because none of the backend
// servers evaluated for the prompt is of their version.
func TestResumedStreamsFindTheFewServersOfTheirVersion(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	c := versionedConfig(300, 3)
	m.Configure(0, c)
	for i := range uint64(50) {
		id := model.RequestID(i + 1)
		m.Arrive(0, resuming(id, 1, i))
		d := onlyDispatch(t, m)
		is.Equal(c.Backends[d.Backend].Build, firstBuild)
		m.Finish(0, id, Done, 10)
	}
}

// TestResumedStreamsComeBeforeNewOnes guards against new requests that take the last engines of a version from the
// streams that only these can resume: an account that is over its share resumes a stream while others wait.
func TestResumedStreamsComeBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.Configure(0, versionedConfig(1, 1))
	for id := range model.RequestID(40) {
		m.Arrive(0, newRequest(id+1, 1, uint64(id), 20_000))
	}
	m.TakeActions()
	m.Arrive(time.Millisecond, newRequest(100, 2, 100, 500))
	m.Arrive(time.Millisecond, resuming(101, 1, 101))
	m.Tick(20 * time.Millisecond)
	for _, a := range m.TakeActions() {
		if d, ok := a.(Dispatch); ok {
			is.Equal(d.ID, model.RequestID(101))
		}
	}
	is.True(m.Dispatched(101))
}

// TestResumedStreamsUseAFailingServerOfTheirVersion guards against streams that end because the last engine of their
// version has just failed another request, or ended theirs.
func TestResumedStreamsUseAFailingServerOfTheirVersion(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.Configure(0, versionedConfig(4, 1))
	for id := range model.RequestID(6) {
		r := resuming(id+1, 1, 1)
		m.Arrive(time.Duration(id)*time.Second, r)
		d := onlyDispatch(t, m)
		m.Finish(time.Duration(id)*time.Second+time.Millisecond, id+1, Failed, 0)
		r.ID, r.Exclude = id+100, []model.BackendID{d.Backend}
		m.Arrive(time.Duration(id)*time.Second+100*time.Millisecond, r)
		is.Equal(onlyDispatch(t, m).Backend, d.Backend)
		m.Finish(time.Duration(id)*time.Second+200*time.Millisecond, r.ID, Failed, 0)
	}
}

// TestLeavingServersOfAVersionGetNothing guards against streams that go on at a leaving engine, though it is the last of
// their version.
func TestLeavingServersOfAVersionGetNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	c := versionedConfig(4, 1)
	id := model.Backend("engine-0")
	b := c.Backends[id]
	b.Leaving = true
	c.Backends[id] = b
	m.Configure(0, c)
	m.Arrive(0, resuming(1, 1, 1))
	for now := time.Duration(0); now < 2*time.Second; now += passInterval {
		m.Tick(now)
	}
	actions := m.TakeActions()
	is.Equal(len(actions), 1)
	is.Equal(actions[0].(Refuse).Reason, NoBackend)
}

// TestCachedPartsAreNotCopiedBetweenVersions guards against an engine that gets parts of a prompt from the cache of
// another software version, which may store them in another format.
func TestCachedPartsAreNotCopiedBetweenVersions(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	c := versionedConfig(6, 3)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	copies := 0
	for id := range model.RequestID(40) {
		m.Arrive(time.Duration(id)*10*time.Millisecond, newRequest(id+1, model.AccountID(id%8), 7, 12_000))
		for _, a := range m.TakeActions() {
			d, dispatched := a.(Dispatch)
			if !dispatched {
				continue
			}
			if d.CopyFrom != 0 {
				copies++
				is.Equal(c.Backends[d.CopyFrom].Build, c.Backends[d.Backend].Build)
			}
		}
	}
	is.True(copies > 0)
}
