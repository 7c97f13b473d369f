package users

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// lease is a granted lease.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.removeLease(id) })}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

// removeLease removes a lease and its keys.
func (s *Store) removeLease(id int64) {
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

// leaseID returns the lease identifier in a request. If it is invalid, leaseID answers the request and returns false.
func leaseID(w http.ResponseWriter, r *http.Request) (int64, bool) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
	}
	return id, err == nil
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	id, ok := leaseID(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, ok := leaseID(w, r)
	if !ok {
		return
	}
	s.removeLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
