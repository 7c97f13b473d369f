package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in a page of a range, as PROTOCOL.md gives it.
const pageItems = 500

// item is a key of the store, as the store's answers show it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made"`
	Lease    int64  `json:"lease"`
	At       int64  `json:"at,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// version is the whole content of the store from a point in time on.
type version struct {
	since time.Time
	items map[string]item
}

// kvStore stands in for the platform's metadata store: one process, linearizable, with leases and watches. Stale reads are
// answered from the content of staleAge ago.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	versions []version
	leases   map[int64]*time.Timer
	ttl      map[int64]time.Duration
	nextID   int64
	changed  chan struct{}
	// staleAge returns the age of the content that a page of a stale range is taken from; nil for current content.
	staleAge func(after string) time.Duration
}

func newStore() *kvStore {
	return &kvStore{
		items: map[string]item{}, leases: map[int64]*time.Timer{}, ttl: map[int64]time.Duration{}, changed: make(chan struct{}),
	}
}

// put writes a value as the platform, an operator or a runner does.
func (s *kvStore) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, base64.StdEncoding.EncodeToString(value), 0)
	s.commit()
	return s.revision
}

// remove removes a key.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(key)
	s.commit()
}

func (s *kvStore) set(key, value string, lease int64) {
	s.revision++
	made := s.revision
	if old, ok := s.items[key]; ok {
		made = old.Made
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.history = append(s.history, s.items[key])
}

func (s *kvStore) del(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
}

// commit wakes the watches and keeps the content for stale reads.
func (s *kvStore) commit() {
	if s.staleAge != nil {
		s.versions = append(s.versions, version{time.Now(), maps.Clone(s.items)})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// contentAt returns the content at an age.
func (s *kvStore) contentAt(age time.Duration) map[string]item {
	at := time.Now().Add(-age)
	for _, v := range slices.Backward(s.versions) {
		if !v.since.After(at) {
			return v.items
		}
	}
	return s.items
}

func (s *kvStore) contentFor(q string, after string) map[string]item {
	if q != "1" || s.staleAge == nil {
		return s.items
	}
	return s.contentAt(s.staleAge(after))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	got, ok := s.contentFor(q.Get("stale"), "")[q.Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]int64{"at": s.revision})
		return
	}
	got.At = s.revision
	answer(w, http.StatusOK, got)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	prefix, after := q.Get("path_prefix"), q.Get("since_rev")
	content := s.contentFor(q.Get("stale"), after)
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		At    int64  `json:"at"`
	}{Items: []item{}, At: s.revision}
	for _, key := range slices.Sorted(maps.Keys(content)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(out.Items) == pageItems {
			out.More = true
			break
		}
		out.Items = append(out.Items, content[key])
	}
	answer(w, http.StatusOK, out)
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []item{}
		for _, h := range s.history {
			if h.Revision > since && strings.HasPrefix(h.Key, q.Get("path_prefix")) {
				events = append(events, h)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": max(at, since)})
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect_rev"`
	Put []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txn
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &in) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range in.Expect {
		got, ok := s.items[e.Key]
		holds = holds && got.Revision == e.Revision
		if ok {
			current = append(current, got)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Put {
		switch {
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			answer(w, http.StatusForbidden, map[string]any{})
			return
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range in.Put {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.del(key)
	}
	s.commit()
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.ttl[id] = time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.ttl[id], func() { s.endLease(id) })
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

func (s *kvStore) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.leases[id]; t != nil {
		t.Stop()
	}
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.del(key)
		}
	}
	s.commit()
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id].Reset(s.ttl[id])
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": s.ttl[id].Milliseconds()})
}

func (s *kvStore) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

// door is an address of the store. While it is shut it answers 503, as a store does that turns a machine away.
type door struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	shut    bool
	conns   map[net.Conn]bool
}

func newDoor(s *kvStore) (*door, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	d := &door{address: listener.Addr().String()}
	handler := s.handler()
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		shut := d.shut
		d.mu.Unlock()
		if shut {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// setShut shuts or opens the door.
func (d *door) setShut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}
