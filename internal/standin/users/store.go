// Package users holds stand-ins for the users' platform: its store, its backend
// servers, its operators and its callers, as far as tests need them. Each speaks
// the platform's published protocol and can be told to misbehave.
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

	mu       sync.Mutex
	revision int64
	items    map[string]entry
	log      []change
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	down     bool
	doors    []*Door
	mute     bool  // watches see nothing
	forgot   int64 // history up to this revision is gone
	lose     int   // answers to writes that will be lost
	calls    map[string]int
	old      map[string]entry // what stale reads see, nil for what is there
	era      int              // rises when the store comes back from a copy
}

type entry struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made"`
	Lease    int64  `json:"lease"`
	At       int64  `json:"at,omitempty"`
}

type change struct {
	entry
	Gone bool `json:"gone,omitempty"`
}

// NewStore returns an empty store; it is reached through its doors.
func NewStore() *Store {
	s := &Store{
		items: map[string]entry{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		calls: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.handler = mux
	return s
}

// Close ends the store.
func (s *Store) Close() {
	s.SetDown(true)
	for _, d := range s.doors {
		d.server.CloseClientConnections()
		d.server.Close()
	}
}

func (s *Store) turnsAway(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path+r.URL.Query().Get("stale")]++
	return s.down
}

// Stale is what follows the path of a stale read in Calls.
const Stale = "1"

// HoldStaleReads lets stale reads see what is there now, whatever comes after. They give the
// store's revision as it is all the same.
func (s *Store) HoldStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old = maps.Clone(s.items)
}

// seenBy returns the items that a read sees; the caller holds the lock.
func (s *Store) seenBy(r *http.Request) map[string]entry {
	if s.old != nil && r.URL.Query().Get("stale") == Stale {
		return s.old
	}
	return s.items
}

// Calls returns how many calls of a path there were.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Watches returns how many watches there were.
func (s *Store) Watches() int { return s.Calls("/kv-watch") }

// SetDown turns every call away, or no longer.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// LoseAnswers loses the answers to that many writes after their effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Mute lets watches see nothing, or again what they would.
func (s *Store) Mute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
	if !mute {
		s.forgot = s.revision
	}
	s.wake()
}

// Put writes a value, as the operators and the backend servers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// PutText writes a text where a value in base64 belongs, as a broken writer does.
func (s *Store) PutText(key, text string) {
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

// evacuatePrefix is where the operators name the data halls that are evacuated.
const evacuatePrefix = "op/evacuate/"

// Evacuate lets the operators evacuate a data hall.
func (s *Store) Evacuate(hall, value string) { s.Put(evacuatePrefix+hall, []byte(value)) }

// TakeBack lets the operators take a data hall back.
func (s *Store) TakeBack(hall string) { s.Remove(evacuatePrefix + hall) }

// Keys returns the keys of a prefix.
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
	made := s.revision
	if old, ok := s.items[key]; ok {
		made = old.Made
	}
	s.items[key] = entry{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.log = append(s.log, change{entry: s.items[key]})
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log = append(s.log, change{entry: entry{Key: key, Revision: s.revision}, Gone: true})
	s.wake()
}

// wake lets what waits look again; the caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.seenBy(r)[r.URL.Query().Get("key")]
	e.At = s.revision
	if !ok {
		answer(w, http.StatusNotFound, map[string]int64{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, e)
}

// listPage is how many items a page holds.
const listPage = 3

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("since_rev")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.seenBy(r)
	out := struct {
		Items []entry `json:"items"`
		More  bool    `json:"more"`
		At    int64   `json:"at"`
	}{At: s.revision}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(out.Items) == listPage {
			out.More = true
			break
		}
		out.Items = append(out.Items, items[key])
	}
	answer(w, http.StatusOK, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		down, gone := s.down, since < s.forgot
		events, at := s.since(q.Get("path_prefix"), since)
		w.Header().Set(eraHeader, strconv.Itoa(s.era))
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone || since > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []change{}, "at": max(at, since)})
			return
		}
	}
}

func (s *Store) since(prefix string, revision int64) ([]change, int64) {
	if s.mute {
		return nil, revision
	}
	var out []change
	for _, c := range s.log {
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
		answer(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	status, out := s.commit(in)
	lost := status == http.StatusOK && s.lose > 0
	if lost {
		s.lose--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, out)
}

func (s *Store) commit(in transaction) (int, any) {
	var found []entry
	met := true
	for _, e := range in.Expect {
		item, ok := s.items[e.Key]
		met = met && item.Revision == e.Revision
		if ok {
			found = append(found, item)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": found}
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
