package generation

// The incident these tests are of. Seen: after the store had been silent for five seconds, four
// changes of the configuration were acknowledged, and for 5.4 s after the first of them no router
// had any in force; routes that had been added were refused, and requests ran by old ones. How it
// came about: all routers that watch had seen a change just before the silence, so that all began to
// watch anew at the same moments in it, the last time a quarter of a second before the store was back.
// Cause: a watch that is begun in a silence is never answered, and was waited for to its end, though
// other calls were answered meanwhile. Proof: in a run with the watches logged, those begun 0.07 s
// before the store's return ended unanswered after 5.5 s, and those begun then in 7 ms.

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// answerAfter is how long the store takes for an answer, and callPatience and
	// watchPatience how long its adapter waits for one of a call and of a watch; the store
	// holds a watch that sees nothing for watchHeld.
	answerAfter   = 4 * time.Millisecond
	callPatience  = 1500 * time.Millisecond
	watchPatience = 5500 * time.Millisecond
	watchHeld     = 4 * time.Second
	// inForceBound is how soon after its acknowledgement users want a change in force.
	inForceBound = 2 * time.Second
)

// silentStore is a store in memory that can fall silent: calls made then are never answered,
// also after its return. Watches that it holds as it falls silent go on.
type silentStore struct {
	mu       sync.Mutex
	revision uint64
	config   uint64 // revision of the configuration, which is its generation as well
	server   uint64 // revision of the backend server's entry
	leaving  bool
	silent   bool
	changed  chan struct{}
}

func newSilentStore() *silentStore { return &silentStore{changed: make(chan struct{})} }

// change makes a change with the lock held, and wakes the watches.
func (s *silentStore) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a configuration, and lets the backend server say whether it leaves.
func (s *silentStore) write(leaving bool) {
	s.change(func() {
		s.config, s.server, s.leaving = s.revision+1, s.revision+2, leaving
		s.revision += 2
	})
}

func (s *silentStore) fallSilent(silent bool) { s.change(func() { s.silent = silent }) }

// reach waits for the store to take a call; it fails where that is never answered.
func (s *silentStore) reach(ctx context.Context, patience time.Duration) error {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		rest(ctx, answerAfter)
		return ctx.Err()
	}
	rest(ctx, patience)
	return store.Unavailable.New("no answer")
}

// watch waits until a revision is above since; 0 is returned where it isn't in time.
func (s *silentStore) watch(ctx context.Context, since uint64, of func() uint64) (uint64, error) {
	if err := s.reach(ctx, watchPatience); err != nil {
		return 0, err
	}
	held := time.After(watchHeld)
	for {
		s.mu.Lock()
		now, changed, silent := of(), s.changed, s.silent
		s.mu.Unlock()
		if now > since && !silent {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-held:
			return 0, nil
		case <-changed:
		}
	}
}

func (s *silentStore) written() Written {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := strconv.FormatUint(s.config, 10)
	return Written{Configuration: store.Value{Data: []byte(value), Revision: int64(s.config)}}
}

func (s *silentStore) announced() []Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []Announcement{{Key: "engine", Revision: s.server, Backend: &config.Discovered{Incarnation: model.Incarnation{Name: "engine"}, Leaving: s.leaving}}}
}

func (s *silentStore) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// storedOperators are the operators of such a store. It implements Operators.
type storedOperators struct{ *silentStore }

func (o storedOperators) Read(ctx context.Context, _ bool) (Written, uint64, error) {
	err := o.reach(ctx, callPatience)
	return o.written(), o.at(), err
}

func (o storedOperators) Changes(ctx context.Context, since uint64) (Written, uint64, error) {
	at, err := o.watch(ctx, since, func() uint64 { return o.config })
	if err != nil || at == 0 {
		return Written{}, since, err
	}
	return o.written(), at, nil
}

// storedServers are the backend servers of such a store. It implements Discovery.
type storedServers struct{ *silentStore }

func (d storedServers) List(ctx context.Context, _ bool) ([]Announcement, uint64, error) {
	err := d.reach(ctx, callPatience)
	return d.announced(), d.at(), err
}

func (d storedServers) Changes(ctx context.Context, since uint64) ([]Announcement, uint64, error) {
	at, err := d.watch(ctx, since, func() uint64 { return d.server })
	if err != nil || at == 0 {
		return nil, since, err
	}
	return d.announced(), at, nil
}

// pings answers the smallest of calls. It implements store.Store, of which no other call is
// made here.
type pings struct {
	store.Store
	*silentStore
}

func (p pings) Ping(ctx context.Context) error { return p.reach(ctx, callPatience) }

// numbered is a configuration that is no more than its generation. It implements Format.
type numbered struct{}

func (numbered) Key() string { return "configuration" }

func (numbered) Document(value []byte) (*wire.Document, error) {
	generation, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	return config.WrapDocument(generation, value)
}

func (numbered) Parse([]byte) (*config.File, finding.List) {
	return &config.File{Version: config.Version, Policy: "prompt-affinity"}, nil
}

// loneCore runs the core of a fleet's only router, which watches the store. It implements
// Decisions.
type loneCore struct {
	observer scheduler.Observer
	events   chan core.Event
}

func (l *loneCore) Tell(e core.Event)            { l.events <- e }
func (l *loneCore) Observe(o scheduler.Observer) { l.observer = o }
func (l *loneCore) Configure(c *config.InForce)  { l.Tell(core.Configure{Config: c.Core}) }

// run gives the core its events and time until the context ends.
func (l *loneCore) run(ctx context.Context) {
	began := time.Now()
	now := func() model.Time { return time.Since(began) }
	c := core.New(0, member.Member{Name: "router", DataHall: "hall", Boot: 1}, 1)
	l.act(c.Step(0, core.Routers{Listed: []member.Listed{{Name: "router", DataHall: "hall"}}}))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case e := <-l.events:
			l.act(c.Step(now(), e))
		case <-time.After(max(c.Wake()-now(), 0)):
			l.act(c.Step(now(), core.Tick{}))
		}
	}
}

func (l *loneCore) act(actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.WatchStore:
			l.observer.Store(a.Watch)
		case core.ContactStore:
			l.observer.Contact()
		case core.StoreReturned:
			l.observer.Returned()
		}
	}
}

// followReturn lets a store fall silent some time after a change, and makes two more right
// after its return. It returns how long these took until they were in force.
func followReturn(t *testing.T, after, lasts time.Duration) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		far := newSilentStore()
		far.write(false)
		source := Source{Store: pings{silentStore: far}, Format: numbered{}, Operators: storedOperators{far}, Discovery: storedServers{far}}
		s := New(source, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &loneCore{events: make(chan core.Event, 16)}
		s.decisions = l
		s.begin(t.Context())
		go l.run(s.run)
		time.Sleep(5 * time.Second)
		far.write(false)
		time.Sleep(after)
		far.fallSilent(true)
		time.Sleep(lasts)
		far.fallSilent(false)
		far.write(true)
		returned := time.Now()
		newest := core.Versions{Generation: far.at() - 1, Catalog: far.at()}
		for newest.Exceed(s.versions()) {
			time.Sleep(10 * time.Millisecond)
		}
		took = time.Since(returned)
		s.cancel()
		s.ended.Wait()
	})
	return took
}

// TestChangesAreInForceSoonAfterTheStoresReturn lets the store fall silent at any point between
// two watches, for as long as a few of them.
func TestChangesAreInForceSoonAfterTheStoresReturn(t *testing.T) {
	is := is.New(t)
	worst, when := time.Duration(0), ""
	for lasts := time.Second; lasts <= 12*time.Second; lasts += 700 * time.Millisecond {
		for after := time.Duration(0); after < watchHeld; after += 130 * time.Millisecond {
			if took := followReturn(t, after, lasts); took > worst {
				worst, when = took, fmt.Sprintf("silent for %v, %v after a change", lasts, after)
			}
		}
	}
	t.Logf("in force after %v at the latest: %s", worst, when)
	is.True(worst <= inForceBound)
}
