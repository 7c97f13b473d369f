package streams

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	pool      = model.PoolID(1)
	otherPool = model.PoolID(2)
)

var (
	first = model.Lineage{Pool: pool, Build: 1}
	next  = model.Lineage{Pool: pool, Build: 2}
)

// TestHoldersGetTheStreamsBegunBeforeARelease guards against streams that are unknown to the holders because they were
// begun while only one version was served.
func TestHoldersGetTheStreamsBegunBeforeARelease(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.SetServed(0, []model.Lineage{first})
	tracker.SetHolders([]string{"a"})
	tracker.Begin(time.Second, 10, first, []model.PoolID{pool})
	is.True(!tracker.Pending(time.Second))
	tracker.SetServed(2*time.Second, []model.Lineage{next, first})
	is.True(tracker.Pending(2 * time.Second))
	is.Equal(tracker.Due(2*time.Second, "a"), []Record{{10, first}})
	is.True(!tracker.Pending(2 * time.Second))
	tracker.Forget("a") // it has started again
	tracker.SetHolders([]string{"a"})
	is.Equal(tracker.Due(3*time.Second, "a"), []Record{{10, first}})
}

// TestARetiredVersionCountsWhileItsStreamsLast guards against taking the version that is left for the one that began a
// stream.
func TestARetiredVersionCountsWhileItsStreamsLast(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.SetServed(0, []model.Lineage{first})
	only, ok := tracker.Only(0, []model.PoolID{pool})
	is.True(ok && only == first)
	tracker.SetServed(time.Second, []model.Lineage{next})
	_, ok = tracker.Only(2*time.Second, []model.PoolID{pool})
	is.True(!ok)
	started := New() // a router that starts after the release
	started.SetServed(10*time.Second, []model.Lineage{next})
	started.MergeHistory(10*time.Second, tracker.History(10*time.Second))
	_, ok = started.Only(10*time.Second, []model.PoolID{pool})
	is.True(!ok)
	for _, x := range []*Tracker{tracker, started} {
		only, ok = x.Only(time.Second+Retention+1, []model.PoolID{pool})
		is.True(ok && only == next)
	}
}

// TestStreamsOfASplitRouteAreReplicated guards against streams that go on in another pool of their route.
func TestStreamsOfASplitRouteAreReplicated(t *testing.T) {
	is := is.New(t)
	tracker := New()
	other := model.Lineage{Pool: otherPool, Build: 1}
	tracker.SetServed(0, []model.Lineage{first, other})
	tracker.SetHolders([]string{"a"})
	split := []model.PoolID{pool, otherPool}
	tracker.Begin(0, 10, other, split)
	is.Equal(tracker.Due(0, "a"), []Record{{10, other}})
	_, ok := tracker.Only(0, split)
	is.True(!ok)
}

// TestCorrectionsAreRepeated guards against a holder that names the wrong lineage, as the record that replaced an
// earlier one was lost.
func TestCorrectionsAreRepeated(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.SetServed(0, []model.Lineage{first, next})
	tracker.SetHolders([]string{"a"})
	tracker.Begin(0, 10, first, []model.PoolID{pool})
	tracker.Due(0, "a")
	tracker.Begin(time.Millisecond, 10, next, []model.PoolID{pool})
	for now := 100 * time.Millisecond; now <= correctionPeriod; now += 100 * time.Millisecond {
		is.True(tracker.Pending(now))
		due := tracker.Due(now, "a")
		is.Equal(due[len(due)-1], Record{10, next})
	}
	is.True(!tracker.Pending(2 * correctionPeriod))
}

// TestRecordsOfAFailedRouterAreReplicatedAgain guards against records that are lost as their holders restart one after
// the other.
func TestRecordsOfAFailedRouterAreReplicatedAgain(t *testing.T) {
	is := is.New(t)
	holder := New()
	holder.SetServed(0, []model.Lineage{first, next})
	holder.SetHolders([]string{"b"})
	holder.Hold(0, "a", []Record{{10, first}})
	holder.Hold(0, "c", []Record{{11, next}})
	is.True(!holder.Pending(0))
	holder.Adopt(time.Second, "a")
	holder.Adopt(time.Second, "a")
	is.Equal(holder.Due(time.Second, "b"), []Record{{10, first}})
}

// fleetRun draws events at a router and its holder.
type fleetRun struct {
	now        model.Time
	origin     *Tracker
	holder     *Tracker
	served     []model.Lineage
	lastServed map[model.Lineage]model.Time
	begun      map[model.StreamID]known
	last       model.StreamID
}

// maxRetryAge is how long after its first dispatch a request may be dispatched again.
const maxRetryAge = 10 * time.Second

func (f *fleetRun) advance(t *rapid.T) {
	f.now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
}

func (f *fleetRun) release(t *rapid.T) {
	for _, l := range f.served {
		f.lastServed[l] = f.now
	}
	f.served = []model.Lineage{{Pool: pool, Build: model.Build(rapid.IntRange(1, 3).Draw(t, "build"))}}
	if rapid.Bool().Draw(t, "two") {
		f.served = append(f.served, model.Lineage{Pool: pool, Build: model.Build(rapid.IntRange(1, 3).Draw(t, "second"))})
	}
	for _, x := range []*Tracker{f.origin, f.holder} {
		x.SetServed(f.now, f.served)
	}
}

func (f *fleetRun) begin(t *rapid.T) {
	if len(f.served) == 0 {
		return
	}
	again := f.now < f.begun[f.last].at+maxRetryAge && rapid.Bool().Draw(t, "again")
	if !again {
		f.last++
	}
	stream := f.last
	l := rapid.SampledFrom(f.served).Draw(t, "lineage")
	f.origin.Begin(f.now, stream, l, []model.PoolID{pool})
	if !again || f.begun[stream].lineage != l {
		f.begun[stream] = known{lineage: l, at: f.now}
	}
}

func (f *fleetRun) replicate(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		f.holder = New()
		f.holder.SetServed(f.now, f.served)
		f.holder.MergeHistory(f.now, f.origin.History(f.now))
		f.origin.Forget("holder")
		f.origin.SetHolders([]string{"holder"})
	}
	f.holder.Hold(f.now, "origin", f.origin.Due(f.now, "holder"))
	f.check(t)
}

// check verifies that the origin knows each stream, that the holder has no other lineage for it, and that it has the
// lineage or, where no records are sent, infers the right one.
func (f *fleetRun) check(t *rapid.T) {
	for stream, want := range f.begun {
		if f.now > want.at+Retention {
			continue
		}
		got, _, _, ok := f.origin.Find(f.now, stream)
		if !ok || got != want.lineage {
			t.Fatalf("%d: the origin has %v, %v instead of %v", stream, got, ok, want.lineage)
		}
		held, _, _, has := f.holder.Find(f.now, stream)
		only, inferred := f.holder.Only(f.now, []model.PoolID{pool})
		switch {
		case has && held != want.lineage:
			t.Fatalf("%d: the holder has %v instead of %v", stream, held, want.lineage)
		case !has && inferred && only != want.lineage:
			t.Fatalf("%d: the holder infers %v instead of %v", stream, only, want.lineage)
		case !has && !inferred:
			t.Fatalf("%d: the holder doesn't know %v", stream, want.lineage)
		}
	}
}

// TestHoldersKnowEveryStream draws releases, streams and restarts of the holder.
func TestHoldersKnowEveryStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetRun{origin: New(), holder: New(), lastServed: map[model.Lineage]model.Time{}, begun: map[model.StreamID]known{}}
		f.origin.SetHolders([]string{"holder"})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			rapid.SampledFrom([]func(*rapid.T){f.advance, f.release, f.begin, f.begin, f.begin, f.replicate}).Draw(t, "event")(t)
		}
		f.replicate(t)
	})
}
