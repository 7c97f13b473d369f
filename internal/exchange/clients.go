package exchange

import (
	"sync"
	"time"
)

// Clients holds a client for each server, by address.
type Clients struct {
	dialTimeout time.Duration

	mu      sync.Mutex
	clients map[string]*Client
}

// NewClients returns a set with no client yet.
func NewClients(dialTimeout time.Duration) *Clients {
	return &Clients{dialTimeout: dialTimeout, clients: map[string]*Client{}}
}

// Of returns the client of the server at an IP and port.
func (c *Clients) Of(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = NewClient(address, c.dialTimeout)
		c.clients[address] = client
	}
	return client
}

// Close closes all connections that are kept.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
