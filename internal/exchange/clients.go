package exchange

import (
	"sync"
	"time"
)

// Clients holds a Client for each server, by address.
type Clients struct {
	dialTimeout time.Duration

	mu      sync.Mutex
	clients map[string]*Client
	born    map[string]uint64 // start time of the server process that a client is for, by address
}

// NewClients returns an empty set of clients.
func NewClients(dialTimeout time.Duration) *Clients {
	return &Clients{dialTimeout: dialTimeout, clients: map[string]*Client{}, born: map[string]uint64{}}
}

// For returns the Client for the server at an IP address and port.
func (c *Clients) For(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(address)
}

// ForProcess returns the Client for one process of the server at an IP address and port, identified by its start time,
// 0 if unknown. Connections to another process aren't reused: after a network partition they may stay open without
// delivering data.
func (c *Clients) ForProcess(address string, born uint64) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.born[address] != born {
		c.of(address).Close()
		delete(c.clients, address)
		c.born[address] = born
	}
	return c.of(address)
}

// of is For for a caller that holds the lock.
func (c *Clients) of(address string) *Client {
	client := c.clients[address]
	if client == nil {
		client = NewClient(address, c.dialTimeout)
		c.clients[address] = client
	}
	return client
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}
