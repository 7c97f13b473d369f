package generation

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

// operatorsModel is what the operators have written, as a plain list of its changes.
type operatorsModel struct {
	revision uint64
	changes  []Evacuation
}

// change evacuates a hall or takes it back.
func (m *operatorsModel) change(hall string, ended bool) {
	m.revision++
	m.changes = append(m.changes, Evacuation{Hall: hall, Revision: m.revision, Ended: ended})
}

// at returns the halls that are evacuated up to a revision.
func (m *operatorsModel) at(revision uint64) []string {
	set := map[string]bool{}
	for _, c := range m.changes {
		if c.Revision <= revision {
			set[c.Hall] = !c.Ended
		}
	}
	var out []string
	for hall, on := range set {
		if on {
			out = append(out, hall)
		}
	}
	slices.Sort(out)
	return out
}

// list returns what a read of a revision finds: only what is there.
func (m *operatorsModel) list(revision uint64) []Evacuation {
	var out []Evacuation
	for _, hall := range m.at(revision) {
		e := Evacuation{Hall: hall}
		for _, c := range m.changes {
			if c.Hall == hall && c.Revision <= revision {
				e.Revision = c.Revision
			}
		}
		out = append(out, e)
	}
	return out
}

// hallsRun is a drawn run of routers that read, watch, restart and hear of each other.
type hallsRun struct {
	model    operatorsModel
	routers  []*Service
	watched  []uint64 // up to which each has watched
	messages []*wire.Halls
}

func newHallsRun() *hallsRun {
	r := &hallsRun{watched: make([]uint64, 3)}
	for i := range r.watched {
		r.routers = append(r.routers, newTestService())
		r.read(i, 0, true)
	}
	return r
}

// read lets a router read what was there at a revision.
func (r *hallsRun) read(i int, revision uint64, stale bool) {
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readEvacuations(r.model.list(revision), revision, stale)
	r.watched[i] = revision
}

// watch lets a router see the changes since it watched last.
func (r *hallsRun) watch(i int) {
	var news []Evacuation
	for _, c := range r.model.changes {
		if c.Revision > r.watched[i] {
			news = append(news, c)
		}
	}
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeEvacuations(news)
	r.watched[i] = r.model.revision
}

// check fails where a router holds what the operators never had written at that revision.
func (r *hallsRun) check(t *rapid.T) {
	for _, s := range r.routers {
		held := s.halls.held
		if got := held.GetEvacuated(); held != nil && !slices.Equal(got, r.model.at(held.Revision)) {
			t.Fatalf("revision %d holds %v, operators had %v", held.Revision, got, r.model.at(held.Revision))
		}
	}
}

// settle lets all hear of what one reads, and fails where any doesn't hold the newest.
func (r *hallsRun) settle(t *rapid.T) {
	r.read(0, r.model.revision, false)
	for _, s := range r.routers {
		s.installHalls(r.routers[0].halls.held)
	}
	for i, s := range r.routers {
		if got := s.halls.held.GetEvacuated(); !slices.Equal(got, r.model.at(r.model.revision)) {
			t.Fatalf("router %d has %v, operators %v", i, got, r.model.at(r.model.revision))
		}
	}
}

// TestHallsFollowAPlainModel lets routers read, watch, restart and hear of each other in any
// order, late and twice: what one holds is always what the operators had written at some
// time, never goes back, and is the newest once all have heard of each other.
func TestHallsFollowAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHallsRun()
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(r.routers)-1).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"operators": func(t *rapid.T) {
				r.model.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hall"), rapid.Bool().Draw(t, "ended"))
			},
			"read":  func(t *rapid.T) { r.read(pick(t), r.model.revision, false) },
			"watch": func(t *rapid.T) { r.watch(pick(t)) },
			"restart": func(t *rapid.T) {
				i := pick(t)
				r.routers[i] = newTestService()
				r.read(i, uint64(rapid.IntRange(0, int(r.model.revision)).Draw(t, "old")), true)
			},
			"tell": func(t *rapid.T) { r.messages = append(r.messages, r.routers[pick(t)].halls.held) },
			"hear": func(t *rapid.T) {
				if len(r.messages) > 0 {
					r.routers[pick(t)].installHalls(rapid.SampledFrom(r.messages).Draw(t, "message"))
				}
			},
			"": r.check,
		})
		r.settle(t)
	})
}

// TestHallsNeverGoBack takes an older message after a newer one.
func TestHallsNeverGoBack(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.installHalls(&wire.Halls{Revision: 9, Evacuated: []string{"a"}})
	s.installHalls(&wire.Halls{Revision: 5, Evacuated: []string{"b"}})
	s.installHalls(nil)
	is.Equal(s.halls.held.Evacuated, []string{"a"})
	s.installHalls(&wire.Halls{Revision: 12})
	is.Equal(len(s.halls.held.Evacuated), 0)
}

// TestReadsDontUndoWhatWasWatched lets a read's answer come after a change that was watched meanwhile, as where one is made
// after a sleep.
func TestReadsDontUndoWhatWasWatched(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.readEvacuations(nil, 4, false)
	s.takeEvacuations([]Evacuation{{Hall: "a", Revision: 6}})
	s.readEvacuations(nil, 5, false) // as it was before
	s.takeEvacuations([]Evacuation{{Hall: "b", Revision: 7}})
	is.Equal(s.halls.held.Evacuated, []string{"a", "b"})
}
