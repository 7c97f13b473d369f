package standin

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// lease is a lease of the store. Its keys are removed when it expires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// leaseMessage is the body of lease requests and their answers.
type leaseMessage struct {
	ID  string `json:"ID,omitempty"`
	TTL string `json:"TTL,omitempty"` // seconds
}

// handleLease handles the requests that grant, renew and revoke leases, and reports whether it was one of them.
func (s *Store) handleLease(ctx *fasthttp.RequestCtx) bool {
	var handle func(leaseMessage) (leaseMessage, bool)
	switch string(ctx.Path()) {
	case "/v3/lease/grant":
		handle = s.grantLease
	case "/v3/lease/keepalive":
		handle = s.renewLease
	case "/v3/lease/revoke":
		handle = s.revokeLease
	default:
		return false
	}
	var in leaseMessage
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	out, ok := handle(in)
	if !ok {
		ctx.Error("no such lease", fasthttp.StatusNotFound)
		return true
	}
	writeJSON(ctx, out)
	return true
}

func (s *Store) grantLease(in leaseMessage) (leaseMessage, bool) {
	seconds, err := strconv.ParseFloat(in.TTL, 64)
	if err != nil || seconds <= 0 {
		return leaseMessage{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	s.lastLeaseID++
	id := strconv.Itoa(s.lastLeaseID)
	ttl := time.Duration(seconds * float64(time.Second))
	s.leases[id] = &lease{ttl: ttl, keys: map[string]bool{}, timer: time.AfterFunc(ttl, func() { s.removeLease(id) })}
	return leaseMessage{ID: id, TTL: in.TTL}, true
}

func (s *Store) renewLease(in leaseMessage) (leaseMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	l := s.leases[in.ID]
	if l == nil || !l.timer.Reset(l.ttl) {
		return leaseMessage{}, false
	}
	return leaseMessage{ID: in.ID, TTL: strconv.FormatFloat(l.ttl.Seconds(), 'f', -1, 64)}, true
}

func (s *Store) revokeLease(in leaseMessage) (leaseMessage, bool) {
	s.mu.Lock()
	s.calls.Writes++
	found := s.leases[in.ID] != nil
	s.mu.Unlock()
	s.removeLease(in.ID)
	return leaseMessage{}, found
}

// removeLease removes a lease and its keys.
func (s *Store) removeLease(id string) {
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

// attachLease attaches a key to a lease if id names one, and reports whether the named lease exists. The caller must
// hold s.mu.
func (s *Store) attachLease(key, id string) bool {
	if id == "" || id == "0" {
		return true
	}
	l := s.leases[id]
	if l != nil {
		l.keys[key] = true
	}
	return l != nil
}
