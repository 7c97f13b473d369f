package users

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lease is a lease under way.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.lapse(id) })}
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

// lapse ends a lease and removes its keys.
func (s *Store) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	for key, e := range s.items {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

// leaseOf returns the number of the lease that a call names; where it isn't one, the
// call is answered.
func leaseOf(w http.ResponseWriter, r *http.Request) (int64, bool) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
	}
	return id, err == nil
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, ok := leaseOf(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.timer.Reset(l.ttl)
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, ok := leaseOf(w, r)
	if !ok {
		return
	}
	s.lapse(id)
	answer(w, http.StatusOK, map[string]any{})
}
