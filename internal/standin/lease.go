package standin

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// lease is a lease of the store: the keys put under it go when it lapses.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// leaseCall is the body of the calls about leases, and of their answers.
type leaseCall struct {
	ID  string `json:"ID,omitempty"`
	TTL string `json:"TTL,omitempty"` // seconds
}

// handleLease answers the calls that grant, keep and revoke leases, and tells
// whether it was one of them.
func (s *Store) handleLease(ctx *fasthttp.RequestCtx) bool {
	var do func(leaseCall) (leaseCall, bool)
	switch string(ctx.Path()) {
	case "/v3/lease/grant":
		do = s.grantLease
	case "/v3/lease/keepalive":
		do = s.keepLease
	case "/v3/lease/revoke":
		do = s.revokeLease
	default:
		return false
	}
	var in leaseCall
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	out, ok := do(in)
	if !ok {
		ctx.Error("no such lease", fasthttp.StatusNotFound)
		return true
	}
	writeJSON(ctx, out)
	return true
}

func (s *Store) grantLease(in leaseCall) (leaseCall, bool) {
	seconds, err := strconv.ParseFloat(in.TTL, 64)
	if err != nil || seconds <= 0 {
		return leaseCall{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.lastLease++
	id := strconv.Itoa(s.lastLease)
	ttl := time.Duration(seconds * float64(time.Second))
	s.leases[id] = &lease{ttl: ttl, keys: map[string]bool{}, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return leaseCall{ID: id, TTL: in.TTL}, true
}

func (s *Store) keepLease(in leaseCall) (leaseCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	l := s.leases[in.ID]
	if l == nil || !l.timer.Reset(l.ttl) {
		return leaseCall{}, false
	}
	return leaseCall{ID: in.ID, TTL: strconv.FormatFloat(l.ttl.Seconds(), 'f', -1, 64)}, true
}

func (s *Store) revokeLease(in leaseCall) (leaseCall, bool) {
	s.mu.Lock()
	s.calls.Writes++
	known := s.leases[in.ID] != nil
	s.mu.Unlock()
	s.endLease(in.ID)
	return leaseCall{}, known
}

// endLease removes a lease and the keys put under it.
func (s *Store) endLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		s.revision++
		delete(s.values, key)
	}
	s.notify()
}

// attach puts a key under a lease, where there is one; the caller holds the
// lock. It tells whether the lease, if any is named, is known.
func (s *Store) attach(key, id string) bool {
	if id == "" || id == "0" {
		return true
	}
	l := s.leases[id]
	if l != nil {
		l.keys[key] = true
	}
	return l != nil
}
