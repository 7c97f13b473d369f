// Package blame follows one request of a caller in what concerns backend servers that end under it: it
// finds out whether one has, tells the decisions, and names the request where something is held against its account.
//
// Both interfaces to callers use it. What is held against a request, and when it is held back, is decided by
// package core/suspect.
package blame

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/model"
)

// Decisions are told of ends, and tell which accounts have any.
type Decisions interface {
	Suspects(model.AccountID) bool
	Tell(core.Event)
}

// Servers tell whether a backend server has ended, by its IP and port.
type Servers interface {
	Ended(address string) bool
}

// Witness is what a router's requests are followed with.
type Witness struct {
	Decisions    Decisions
	Servers      Servers
	Fingerprints fingerprint.Maker
	Ended        prometheus.Counter // answers that broke off as their backend server ended
}

// Case is one request.
type Case struct {
	witness Witness
	account model.AccountID
	request func() fingerprint.Request
	print   model.Fingerprint // 0 while nobody has asked for it
}

// Follow begins a request's case. What stays the same of it is asked for where it matters.
func (w Witness) Follow(account model.AccountID, request func() fingerprint.Request) *Case {
	return &Case{witness: w, account: account, request: request}
}

// Fingerprint returns the request's.
func (c *Case) Fingerprint() model.Fingerprint {
	if c.print == 0 {
		c.print = c.witness.Fingerprints.Of(c.request())
	}
	return c.print
}

// Suspect returns the request's fingerprint where something may be held against it, else 0: all others
// needn't be known.
func (c *Case) Suspect() model.Fingerprint {
	if !c.witness.Decisions.Suspects(c.account) {
		return 0
	}
	return c.Fingerprint()
}

// Send is one send of the request, whose answer broke off.
type Send struct {
	Backend model.BackendID
	Address string // IP and port
	At      time.Time
	Begun   bool // part of the answer had come
}

// BrokeOff holds a backend server's end against the request, and tells whether it has ended: a connection
// that broke off by itself is nobody's fault.
//
// A request that ends each server that begins to run it comes again under other identifiers and at
// other routers; without account of it each send is the first. Of two such requests that came every
// 350 ms for 15 s, 55 and 28 runs began, 39 and 22 of them later than three seconds after the third; 4 and 4 do now, 1
// and 1 of them as late (TestPlatformRequestsThatEndServersAreHeldBack).
func (c *Case) BrokeOff(s Send) bool {
	ran := time.Since(s.At)
	if !c.witness.Servers.Ended(s.Address) {
		return false
	}
	c.witness.Ended.Inc()
	c.witness.Decisions.Tell(core.ServerEnded{
		Fingerprint: c.Fingerprint(), Account: c.account, Backend: s.Backend, Ran: ran, Begun: s.Begun,
	})
	return true
}

// Answered notes that the request got a whole answer, where something may be held against it.
func (c *Case) Answered() {
	if f := c.Suspect(); f != 0 {
		c.witness.Decisions.Tell(core.Answered{Fingerprint: f})
	}
}
