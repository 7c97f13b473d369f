package users

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is in all answers of the store.
const eraHeader = "Store-Era"

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// RevisionOf returns the revision of a value, 0 where there is none.
func (s *Store) RevisionOf(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

// Restore lets the store come back from the copy that was made at a revision: what was written since is gone, leases
// too, and its revisions are given out again.
func (s *Store) Restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = map[string]entry{}
	s.log = slices.DeleteFunc(s.log, func(c change) bool { return c.Revision > revision })
	held := map[int64]bool{}
	for _, c := range s.log {
		if c.Gone {
			delete(s.items, c.Key)
			continue
		}
		s.items[c.Key] = c.entry
	}
	for _, e := range s.items {
		held[e.Lease] = true
	}
	for id, l := range s.leases {
		if !held[id] {
			l.timer.Stop()
			delete(s.leases, id)
		}
	}
	maps.DeleteFunc(s.items, func(_ string, e entry) bool { return e.Lease != 0 && s.leases[e.Lease] == nil })
	s.revision = revision
	s.era++
	s.wake()
}

// tellEra sets the header of an answer that is about to be made.
func (s *Store) tellEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.Itoa(s.era))
}
