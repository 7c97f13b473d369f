package users

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is set in all answers of the store.
const eraHeader = "Store-Era"

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// RevisionOf returns the revision of a value, 0 if there is none.
func (s *Store) RevisionOf(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// Restore restores the store from a backup made at a revision: changes and leases made since are lost, and later
// revisions are assigned again.
func (s *Store) Restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = map[string]entry{}
	s.history = slices.DeleteFunc(s.history, func(c change) bool { return c.Revision > revision })
	referenced := map[int64]bool{}
	for _, c := range s.history {
		if c.Deleted {
			delete(s.items, c.Key)
			continue
		}
		s.items[c.Key] = c.entry
	}
	for _, e := range s.items {
		referenced[e.Lease] = true
	}
	for id, l := range s.leases {
		if !referenced[id] {
			l.timer.Stop()
			delete(s.leases, id)
		}
	}
	maps.DeleteFunc(s.items, func(_ string, e entry) bool { return e.Lease != 0 && s.leases[e.Lease] == nil })
	s.revision = revision
	s.era++
	s.notify()
}

// setEraHeader sets the era header of an answer.
func (s *Store) setEraHeader(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.Itoa(s.era))
}
