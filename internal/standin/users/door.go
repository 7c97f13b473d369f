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

// Door is an address of the store that can be disabled separately.
type Door struct {
	store      *Store
	server     *httptest.Server
	disabled   atomic.Bool
	silencedAt atomic.Int64 // connections opened until then don't respond, in Unix nanoseconds
}

// connOpenedKey is the context key for the time at which a connection was opened.
type connOpenedKey struct{}

// Door returns a new address of the store.
func (s *Store) Door() *Door {
	d := &Door{store: s}
	d.server = httptest.NewUnstartedServer(http.HandlerFunc(d.serve))
	d.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connOpenedKey{}, time.Now().UnixNano())
	}
	d.server.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, d)
	return d
}

// Hush makes the connections that are open now stop responding permanently; new ones work.
func (d *Door) Hush() { d.silencedAt.Store(time.Now().UnixNano()) }

func (d *Door) serve(w http.ResponseWriter, r *http.Request) {
	if opened, ok := r.Context().Value(connOpenedKey{}).(int64); ok && opened <= d.silencedAt.Load() {
		<-r.Context().Done()
		return
	}
	if d.disabled.Load() || d.store.countCall(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.setEraHeader(w)
	d.store.handler.ServeHTTP(w, r)
}

// Address returns the IP and port.
func (d *Door) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Shut makes every call at this address fail, and ends open watches.
func (d *Door) Shut() {
	d.disabled.Store(true)
	d.server.CloseClientConnections()
}

// Open ends the effect of Shut.
func (d *Door) Open() { d.disabled.Store(false) }
