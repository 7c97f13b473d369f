// Package blame records which requests were running on backend servers that ended. It checks whether a backend
// server has ended, reports that to the scheduler, and computes a request's fingerprint if its account has suspects.
//
// Both caller interfaces use it. Package core/suspect decides which requests are suspect and when they are held back.
package blame

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/model"
)

// Scheduler receives the events of this package and reports which accounts have suspect requests.
type Scheduler interface {
	HasSuspects(model.AccountID) bool
	Enqueue(core.Event)
}

// Servers reports whether the backend server at an IP and port has ended.
type Servers interface {
	Ended(address string) bool
}

// Tracker contains the dependencies for tracking a router's requests.
type Tracker struct {
	Scheduler    Scheduler
	Servers      Servers
	Fingerprints fingerprint.Hasher
	Ended        prometheus.Counter // answers interrupted because their backend server ended
}

// Request is a tracked request.
type Request struct {
	tracker     Tracker
	account     model.AccountID
	request     func() fingerprint.Request
	fingerprint model.Fingerprint // 0 until it is computed
}

// Track starts tracking a request. It calls request only if the fingerprint is needed.
func (w Tracker) Track(account model.AccountID, request func() fingerprint.Request) *Request {
	return &Request{tracker: w, account: account, request: request}
}

// Fingerprint returns the request's fingerprint.
func (c *Request) Fingerprint() model.Fingerprint {
	if c.fingerprint == 0 {
		c.fingerprint = c.tracker.Fingerprints.Of(c.request())
	}
	return c.fingerprint
}

// Suspect returns the request's fingerprint if its account has suspect requests, and 0 otherwise, as the
// fingerprint isn't needed then.
func (c *Request) Suspect() model.Fingerprint {
	if !c.tracker.Scheduler.HasSuspects(c.account) {
		return 0
	}
	return c.Fingerprint()
}

// Attempt is an attempt to send the request whose answer was interrupted.
type Attempt struct {
	Backend model.BackendID
	Address string // IP and port
	At      time.Time
	Begun   bool // part of the answer was received
	Pool    model.PoolID
	Shared  []model.Part // the parts of the prompt that other prompts may share
}

// Interrupted reports whether the backend server has ended, and if so records that against the request. A
// connection that was lost for another reason is not recorded.
//
// A request that ends every backend server that runs it is repeated under other identifiers and at other routers,
// where each attempt looks like the first. Of two such requests, repeated every 350 ms for 15 s, 55 and 28 runs
// began, 39 and 22 of them more than three seconds after the third. With this record, 4 and 4 begin, 1 and 1 of them
// as late (TestPlatformCrashInducingRequestsAreHeldBack).
func (c *Request) Interrupted(s Attempt) bool {
	ran := time.Since(s.At)
	if !c.tracker.Servers.Ended(s.Address) {
		return false
	}
	c.tracker.Ended.Inc()
	c.tracker.Scheduler.Enqueue(core.ServerEnded{
		Fingerprint: c.Fingerprint(), Account: c.account, Backend: s.Backend, RunTime: ran, Begun: s.Begun,
		Pool: s.Pool, Shared: s.Shared,
	})
	return true
}

// Answered reports to the scheduler that the request got a complete answer, if its account has suspect requests.
func (c *Request) Answered() {
	if f := c.Suspect(); f != 0 {
		c.tracker.Scheduler.Enqueue(core.Answered{Fingerprint: f})
	}
}
