// Package users provides stand-ins for the users' platform: its store, backend servers, operators and callers, as far
// as tests need them. They implement the platform's published protocol and can be made to misbehave.
package users

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's store.
type Store struct {
	handler http.Handler

	mu                sync.Mutex
	revision          int64
	items             map[string]entry
	history           []change
	leases            map[int64]*lease
	lastLeaseID       int64
	changed           chan struct{}
	down              bool
	endpoints         []*StoreEndpoint
	watchesSuspended  bool  // watches report no events
	compactedRevision int64 // history up to this revision is no longer available
	answersToLose     int   // number of answers to writes to be dropped
	calls             map[string]int
	staleItems        map[string]entry // result of stale reads, nil for the current items
	staleFirstPage    bool             // only the first pages of stale lists are stale
	pageItems         int              // number of items of a page of a list
	betweenPages      func()           // called before each further page of a list is read, nil for nothing
	era               int              // incremented when the store is restored from a backup
}

type entry struct {
	Key            string `json:"key"`
	Value          string `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"made"`
	Lease          int64  `json:"lease"`
	StoreRevision  int64  `json:"at,omitempty"`
}

type change struct {
	entry
	Deleted bool `json:"gone,omitempty"`
}

// NewStore returns an empty store. Its addresses are created by NewEndpoint.
func NewStore() *Store {
	s := &Store{
		items: map[string]entry{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		calls: map[string]int{}, pageItems: listPageSize,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.revoke)
	s.handler = mux
	return s
}

// Close stops the store.
func (s *Store) Close() {
	s.SetDown(true)
	for _, d := range s.endpoints {
		d.server.CloseClientConnections()
		d.server.Close()
	}
}

// countCall counts a call and reports whether the store is down.
func (s *Store) countCall(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path+r.URL.Query().Get("stale")]++
	return s.down
}

// StaleSuffix is the suffix that Calls expects after the path of stale reads.
const StaleSuffix = "1"

// FreezeStaleReads makes stale reads return the current items from now on, whatever is written later. Their answers
// still contain the store's current revision.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleItems = maps.Clone(s.items)
}

// FreezeFirstStalePages makes the first pages of stale lists return the current items from now on, whatever is written
// later. Further pages are current.
func (s *Store) FreezeFirstStalePages() {
	s.FreezeStaleReads()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleFirstPage = true
}

// itemsFor returns the items that a read sees. The caller must hold s.mu.
func (s *Store) itemsFor(r *http.Request) map[string]entry {
	q := r.URL.Query()
	current := s.staleItems == nil || q.Get("stale") != StaleSuffix || s.staleFirstPage && q.Get("since_rev") != ""
	if current {
		return s.items
	}
	return s.staleItems
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Watches returns the number of watches started.
func (s *Store) Watches() int { return s.Calls("/kv-watch") }

// SetDown makes all calls fail, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// LoseAnswers drops the answers to the next n writes, after they have taken effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SuspendWatches sets whether watches are suspended. When they resume, the history until then is no longer available.
func (s *Store) SuspendWatches(suspended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesSuspended = suspended
	if !suspended {
		s.compactedRevision = s.revision
	}
	s.notify()
}

// Put writes a value, as operators and backend servers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// PutRaw writes a text in place of a base64 value, as a faulty writer does.
func (s *Store) PutRaw(key, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// Remove removes a value.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// evacuatePrefix is the prefix of the keys that name evacuated data halls.
const evacuatePrefix = "op/evacuate/"

// Evacuate marks a data hall as evacuated.
func (s *Store) Evacuate(hall, value string) { s.Put(evacuatePrefix+hall, []byte(value)) }

// EndEvacuation ends the evacuation of a data hall.
func (s *Store) EndEvacuation(hall string) { s.Remove(evacuatePrefix + hall) }

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Store) put(key, value string, lease int64) {
	s.revision++
	createRevision := s.revision
	if old, ok := s.items[key]; ok {
		createRevision = old.CreateRevision
	}
	s.items[key] = entry{Key: key, Value: value, Revision: s.revision, CreateRevision: createRevision, Lease: lease}
	s.history = append(s.history, change{entry: s.items[key]})
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{entry: entry{Key: key, Revision: s.revision}, Deleted: true})
	s.notify()
}

// notify wakes all open watches. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.itemsFor(r)[r.URL.Query().Get("key")]
	e.StoreRevision = s.revision
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]int64{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		down, compacted := s.down, since < s.compactedRevision
		events, storeRevision := s.eventsSince(q.Get("path_prefix"), since)
		w.Header().Set(eraHeader, strconv.Itoa(s.era))
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted || since > storeRevision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": storeRevision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": []change{}, "at": max(storeRevision, since)})
			return
		}
	}
}

func (s *Store) eventsSince(prefix string, revision int64) ([]change, int64) {
	if s.watchesSuspended {
		return nil, revision
	}
	var out []change
	for _, c := range s.history {
		if c.Revision > revision && strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision
}

type transaction struct {
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

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in transaction
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &in); err != nil {
		writeJSON(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	status, out := s.commit(in)
	lost := status == http.StatusOK && s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, out)
}

func (s *Store) commit(in transaction) (int, any) {
	var current []entry
	matched := true
	for _, e := range in.Expect {
		item, ok := s.items[e.Key]
		matched = matched && item.Revision == e.Revision
		if ok {
			current = append(current, item)
		}
	}
	if !matched {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range in.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}
