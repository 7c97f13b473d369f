package generation

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

// operatorsModel is a model of the operators' writes: a list of changes.
type operatorsModel struct {
	revision uint64
	changes  []Evacuation
}

// change evacuates a data hall or ends its evacuation.
func (m *operatorsModel) change(hall string, ended bool) {
	m.revision++
	m.changes = append(m.changes, Evacuation{Hall: hall, Revision: m.revision, Ended: ended})
}

// at returns the data halls that are evacuated at a revision.
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

// list returns the result of a read at a revision: only the evacuations that exist.
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

// hallsRun is a drawn run of routers that read, watch, restart and receive messages from each other.
type hallsRun struct {
	model    operatorsModel
	routers  []*Service
	watched  []uint64 // revision up to which each has watched
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

// read lets a router read the state at a revision.
func (r *hallsRun) read(i int, revision uint64, stale bool) {
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceEvacuations(r.model.list(revision), revision, stale)
	r.watched[i] = revision
}

// watch lets a router receive the changes since its last watch.
func (r *hallsRun) watch(i int) {
	var changes []Evacuation
	for _, c := range r.model.changes {
		if c.Revision > r.watched[i] {
			changes = append(changes, c)
		}
	}
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvacuations(changes)
	r.watched[i] = r.model.revision
}

// check fails if the state of a router differs from the model at its revision.
func (r *hallsRun) check(t *rapid.T) {
	for _, s := range r.routers {
		held := s.halls.held
		if got := held.GetEvacuated(); held != nil && !slices.Equal(got, r.model.at(held.Revision)) {
			t.Fatalf("revision %d has %v, want %v", held.Revision, got, r.model.at(held.Revision))
		}
	}
}

// settle sends the newest state to all routers and fails if one does not have it.
func (r *hallsRun) settle(t *rapid.T) {
	r.read(0, r.model.revision, false)
	for _, s := range r.routers {
		s.installHalls(r.routers[0].halls.held)
	}
	for i, s := range r.routers {
		if got := s.halls.held.GetEvacuated(); !slices.Equal(got, r.model.at(r.model.revision)) {
			t.Fatalf("router %d has %v, want %v", i, got, r.model.at(r.model.revision))
		}
	}
}

// TestHallsMatchModel lets routers read, watch, restart and receive messages from each other in any order, delayed
// and repeated: the state of a router must be that of the operators at some revision, never revert, and be the newest
// once all have received it.
func TestHallsMatchModel(t *testing.T) {
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

// TestHallsNeverRevert installs an older message after a newer one.
func TestHallsNeverRevert(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.installHalls(&wire.Halls{Revision: 9, Evacuated: []string{"a"}})
	s.installHalls(&wire.Halls{Revision: 5, Evacuated: []string{"b"}})
	s.installHalls(nil)
	is.Equal(s.halls.held.Evacuated, []string{"a"})
	s.installHalls(&wire.Halls{Revision: 12})
	is.Equal(len(s.halls.held.Evacuated), 0)
}

// TestReadDoesNotUndoWatchedChange lets the response of a read arrive after a change that was watched meanwhile, as
// it can after a suspension.
func TestReadDoesNotUndoWatchedChange(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.replaceEvacuations(nil, 4, false)
	s.applyEvacuations([]Evacuation{{Hall: "a", Revision: 6}})
	s.replaceEvacuations(nil, 5, false) // the state before the change
	s.applyEvacuations([]Evacuation{{Hall: "b", Revision: 7}})
	is.Equal(s.halls.held.Evacuated, []string{"a", "b"})
}

// TestOlderHallsAreNotTakenOver guards against the evacuations of another router replacing newer ones of this one, which has
// seen a data hall evacuated and taken back between two reads.
func TestOlderHallsAreNotTakenOver(t *testing.T) {
	is := is.New(t)
	r := &hallsRun{watched: make([]uint64, 2), routers: []*Service{newTestService(), newTestService()}}
	r.model.change("b", false)
	r.read(0, 1, false)
	r.model.change("a", false)
	r.read(1, 2, false)
	r.model.change("a", true)
	r.read(0, 3, false)
	r.routers[0].installHalls(r.routers[1].halls.held)
	is.Equal(r.routers[0].halls.held.Evacuated, []string{"b"})
	r.routers[1].installHalls(r.routers[0].halls.held)
	is.Equal(r.routers[1].halls.held.Evacuated, []string{"b"})
}
