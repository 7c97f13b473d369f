package users

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// Door is an address of the store's, which can be shut by itself.
type Door struct {
	store  *Store
	server *httptest.Server
	shut   atomic.Bool
	hushed atomic.Int64 // when the connections open then went silent, in ns of the epoch
}

// openedKey is the context's key of when a connection was opened.
type openedKey struct{}

// Door returns another address of the store.
func (s *Store) Door() *Door {
	d := &Door{store: s}
	d.server = httptest.NewUnstartedServer(http.HandlerFunc(d.serve))
	d.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, time.Now().UnixNano())
	}
	d.server.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors = append(s.doors, d)
	return d
}

// Hush lets the connections that are open go silent for good; new ones work.
func (d *Door) Hush() { d.hushed.Store(time.Now().UnixNano()) }

func (d *Door) serve(w http.ResponseWriter, r *http.Request) {
	if opened, ok := r.Context().Value(openedKey{}).(int64); ok && opened <= d.hushed.Load() {
		<-r.Context().Done()
		return
	}
	if d.shut.Load() || d.store.turnsAway(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.tellEra(w)
	d.store.handler.ServeHTTP(w, r)
}

// Address returns the door's IP and port.
func (d *Door) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Shut turns every call at the door away, and ends the watches that wait.
func (d *Door) Shut() {
	d.shut.Store(true)
	d.server.CloseClientConnections()
}

// Open lets calls in again.
func (d *Door) Open() { d.shut.Store(false) }
