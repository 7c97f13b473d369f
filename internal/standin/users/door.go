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

// StoreEndpoint is an address of the store that can be disabled separately.
type StoreEndpoint struct {
	store      *Store
	server     *httptest.Server
	disabled   atomic.Bool
	silencedAt atomic.Int64 // connections opened until then don't respond, in Unix nanoseconds
}

// connOpenedKey is the context key for the time at which a connection was opened.
type connOpenedKey struct{}

// NewEndpoint returns a new address of the store.
func (s *Store) NewEndpoint() *StoreEndpoint {
	d := &StoreEndpoint{store: s}
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

// SilenceConnections makes the connections that are open now stop responding permanently; new ones work.
func (d *StoreEndpoint) SilenceConnections() { d.silencedAt.Store(time.Now().UnixNano()) }

func (d *StoreEndpoint) serve(w http.ResponseWriter, r *http.Request) {
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
func (d *StoreEndpoint) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Disable makes every call at this address fail, and ends open watches.
func (d *StoreEndpoint) Disable() {
	d.disabled.Store(true)
	d.server.CloseClientConnections()
}

// Enable ends the effect of Disable.
func (d *StoreEndpoint) Enable() { d.disabled.Store(false) }
