package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
)

// Store stands in for the key-value service. It supports the part of etcd's JSON API that the routers use, and counts
// all calls.
type Store struct {
	faultInjector

	mu       sync.Mutex
	revision int64
	values   map[string]storeValue
	changed  chan struct{}
	calls    StoreCalls

	leases      map[string]*lease
	lastLeaseID int
}

type storeValue struct {
	data     []byte
	revision int64
}

// StoreCalls holds the number of calls of a store.
type StoreCalls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"` // started
	Waiting int `json:"waiting"` // watches open now
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]storeValue{}, changed: make(chan struct{}), leases: map[string]*lease{}}
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.faultInjector.SetFaults(f)
	if f.Unavailable {
		s.endWatches()
	}
}

// Handle handles a request.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	if s.handleFaults(ctx) {
		if s.currentFaults().Unavailable {
			s.endWatches()
		}
		return
	}
	if string(ctx.Path()) == "/standin/calls" {
		writeJSON(ctx, s.Calls())
		return
	}
	faults := s.currentFaults()
	if faults.Unavailable {
		dropConnection(ctx)
		return
	}
	if s.handleLease(ctx) {
		applyDelay(faults)
		return
	}
	switch string(ctx.Path()) {
	case "/v3/kv/range":
		s.handleRange(ctx)
	case "/v3/kv/txn":
		s.handleTxn(ctx)
	case "/v3/watch":
		s.handleWatch(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
	applyDelay(faults)
}

type storeKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision string `json:"mod_revision"`
}

func (s *Store) lookup(key []byte) []storeKV {
	v, ok := s.values[string(key)]
	if !ok {
		return nil
	}
	return []storeKV{{Key: key, Value: v.data, ModRevision: strconv.FormatInt(v.revision, 10)}}
}

func (s *Store) header() map[string]string {
	return map[string]string{"revision": strconv.FormatInt(s.revision, 10)}
}

func (s *Store) handleRange(ctx *fasthttp.RequestCtx) {
	var in struct {
		Key []byte `json:"key"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	writeJSON(ctx, map[string]any{"header": s.header(), "kvs": s.lookup(in.Key)})
}

type storeTxn struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision string `json:"mod_revision"`
	} `json:"compare"`
	Success []struct {
		Put struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease string `json:"lease"`
		} `json:"request_put"`
	} `json:"success"`
}

func (s *Store) handleTxn(ctx *fasthttp.RequestCtx) {
	var in storeTxn
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || len(in.Compare) != 1 || len(in.Success) != 1 {
		ctx.Error("a transaction is one comparison and one put here", fasthttp.StatusBadRequest)
		return
	}
	succeeded, header, found := s.swap(in)
	if succeeded && s.consumeLostAnswer() {
		dropConnection(ctx)
		return
	}
	out := map[string]any{"succeeded": succeeded, "header": header}
	if !succeeded {
		out["responses"] = []any{map[string]any{"response_range": map[string]any{"kvs": found}}}
	}
	writeJSON(ctx, out)
}

// swap executes a transaction. It returns whether it succeeded and the header of the answer, and the current value if
// it failed.
func (s *Store) swap(in storeTxn) (bool, map[string]string, []storeKV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	key := string(in.Compare[0].Key)
	expected := in.Compare[0].ModRevision
	if expected != strconv.FormatInt(s.values[key].revision, 10) {
		return false, s.header(), s.lookup(in.Compare[0].Key)
	}
	put := in.Success[0].Put
	if !s.attachLease(string(put.Key), put.Lease) {
		return false, s.header(), s.lookup(put.Key)
	}
	s.revision++
	s.values[string(put.Key)] = storeValue{data: put.Value, revision: s.revision}
	s.notify()
	return true, s.header(), nil
}

// endWatches ends all open watches, as an outage does.
func (s *Store) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// notify wakes all open watches. The caller must hold s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleWatch(ctx *fasthttp.RequestCtx) {
	var in struct {
		Create struct {
			Key           []byte `json:"key"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	start, _ := strconv.ParseInt(in.Create.StartRevision, 10, 64)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		s.watch(w, in.Create.Key, start)
	})
}

// watch writes each change of a key, one per line, until the caller disconnects or the store is made unavailable.
func (s *Store) watch(w *bufio.Writer, key []byte, start int64) {
	s.mu.Lock()
	s.calls.Watches++
	s.calls.Waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.calls.Waiting--
		s.mu.Unlock()
	}()
	fmt.Fprintln(w, `{"result":{"created":true}}`)
	for w.Flush() == nil && !s.currentFaults().Unavailable {
		s.mu.Lock()
		v, changed := s.values[string(key)], s.changed
		s.mu.Unlock()
		if v.revision >= start && v.revision > 0 {
			kv := storeKV{Key: key, Value: v.data, ModRevision: strconv.FormatInt(v.revision, 10)}
			line, _ := json.Marshal(map[string]any{"result": map[string]any{"events": []any{map[string]any{"kv": kv}}}})
			fmt.Fprintf(w, "%s\n", line)
			start = v.revision + 1
			continue
		}
		<-changed
	}
}
