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
	born    map[string]uint64 // start of the run that a client is of, by address
}

// NewClients returns a set with no client yet.
func NewClients(dialTimeout time.Duration) *Clients {
	return &Clients{dialTimeout: dialTimeout, clients: map[string]*Client{}, born: map[string]uint64{}}
}

// Of returns the client of the server at an IP and port.
func (c *Clients) Of(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(address)
}

// OfRun returns the client of one run of the server at an IP and port, by when it started; 0 stands for what nobody says.
// Connections of another run aren't used again: behind a cut they may rest on, and say nothing.
func (c *Clients) OfRun(address string, born uint64) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.born[address] != born {
		c.of(address).Close()
		delete(c.clients, address)
		c.born[address] = born
	}
	return c.of(address)
}

// of is Of for a caller that holds the lock.
func (c *Clients) of(address string) *Client {
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
