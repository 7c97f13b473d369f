package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Event is an input of the core. Each event type below is one.
type Event interface{ event() }

// Tick lets time pass; it is due when Core.Wake says.
type Tick struct{}

// Configure puts a configuration in force.
type Configure struct{ Config *Config }

// Arrive is a request that a caller has sent to this router.
type Arrive struct {
	ID      RequestID
	Account model.AccountID
	Pool    model.PoolID
	Class   model.Class
	Input   float64       // tokens of input
	Wait    time.Duration // how long it may wait to be served

	// What only a policy that decides by prompt asks for.
	Route     uint32 // hash of the route's name
	Prompt    model.Prompt
	Objective time.Duration // until the answer should begin, 0 for none
	Priority  int           // of the route; 0 is the highest
	Except    []model.BackendID
	// Repeat tells that the request was sent to a backend server before, so that
	// it draws on the retry budget.
	Repeat bool
	// Lag is how late this process comes to what is due at present.
	Lag time.Duration
	// Fingerprint tells the request from others where it may be held back, 0 where nothing is
	// held against its account.
	Fingerprint model.Fingerprint
}

// TurnedAway are requests that were refused before the core was asked: they count as asked
// for.
type TurnedAway struct{ Requests []Unread }

// Unread is what the header tells of a request that wasn't read.
type Unread struct {
	Account model.AccountID
	Pool    model.PoolID
	Route   uint32 // hash of the route's name
	Prompt  model.Prompt
}

// Began tells that the answer to a dispatched request has begun.
type Began struct{ ID RequestID }

// Progress tells how many output tokens of a running request have flowed so far.
type Progress struct {
	ID     RequestID
	Output float64
}

// Ending tells how a request that was dispatched has ended.
type Ending uint8

// The endings of a request.
const (
	// Done is a whole answer.
	Done Ending = iota
	// Broken is an answer that broke off, or a caller that left.
	Broken
	// NotSent is a request of which no byte was written to the backend server.
	NotSent
	// Cancelled is a request of which nothing was sent and nothing will be.
	Cancelled
	// Rejected is a request that its backend server said it didn't run.
	Rejected
	// Failed is a request whose backend server failed, or broke off.
	Failed
)

// Finish ends a dispatched request.
type Finish struct {
	ID     RequestID
	Output float64 // tokens of output in all
	Ending Ending
}

// ServerEnded tells that a backend server has ended while a request ran there.
type ServerEnded struct {
	Fingerprint model.Fingerprint
	Account     model.AccountID
	Backend     model.BackendID
	Ran         time.Duration // since the request was sent
	Begun       bool          // part of its answer had come
}

// Answered tells that a request has got a whole answer of a backend server.
type Answered struct{ Fingerprint model.Fingerprint }

// HeldInStore is the requests that are held back, as the store keeps them.
type HeldInStore struct{ Suspicions []*wire.Suspicion }

// TryAnswered answers an AskTry.
type TryAnswered struct {
	ID      RequestID
	Granted bool
}

// Abandon takes back a request that still waits, as its caller has left.
type Abandon struct{ ID RequestID }

// Receive is an authentic datagram from another router.
type Receive struct{ Datagram *wire.Datagram }

// Routers is the VM list's routers.
type Routers struct{ Listed []member.Listed }

// Load is a backend server's report of its own load.
type Load struct {
	Backend model.BackendID
	Running int
	Waiting int
	Leaving bool
	Failed  bool // no report could be had
}

// Leaving lists the backend servers that the VM list shows as leaving or gone.
type Leaving struct{ Backends []model.BackendID }

// Noticed is what a backend server has said of itself to this router.
type Noticed struct {
	Backend model.BackendID
	Notice  notice.Notice
}

// StoreContacted tells whether the store has answered a ContactStore.
type StoreContacted struct{ Reached bool }

// Drain makes the router take no new work and hand over what it owns.
type Drain struct{}

func (Tick) event()           {}
func (Configure) event()      {}
func (Arrive) event()         {}
func (TurnedAway) event()     {}
func (Progress) event()       {}
func (Began) event()          {}
func (Finish) event()         {}
func (Abandon) event()        {}
func (Receive) event()        {}
func (Routers) event()        {}
func (StoreContacted) event() {}
func (Load) event()           {}
func (Leaving) event()        {}
func (Noticed) event()        {}
func (Drain) event()          {}
func (ServerEnded) event()    {}
func (Answered) event()       {}
func (HeldInStore) event()    {}
func (TryAnswered) event()    {}

// Action is an output of the core. Each action type below is one.
type Action interface{ action() }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID      RequestID
	Backend model.BackendID
	Waited  time.Duration

	Basis prompt.Basis // what decided, where the policy decides by prompt
	// CopyFrom is the backend server from which the parts of the prompt that it
	// keeps are to be copied, 0 for none, and Copied how many tokens that is.
	CopyFrom model.BackendID
	Copied   int
}

// Refusal is why a request is refused.
type Refusal string

// The reasons for which the core refuses a request.
const (
	QueueFull   Refusal = "queue-full"
	RateLimited Refusal = "rate-limited"
	WaitedLong  Refusal = "wait-exceeded"
	Draining    Refusal = "draining"
	Unreachable Refusal = "backends-unreachable"
	Withdrawn   Refusal = "account-withdrawn"
	RetryBudget Refusal = "retry-budget"
	// HeldBack is for a request under which backend servers end.
	HeldBack Refusal = "held-back"
)

// Refuse refuses a request of which nothing was sent to a backend server.
type Refuse struct {
	ID         RequestID
	Reason     Refusal
	RetryAfter time.Duration
	Waited     time.Duration
	Basis      prompt.Basis // what decided, where the policy decides by prompt
	// Holds is how long the reason is expected to hold for others of the account and route.
	Holds time.Duration
}

// Send sends a datagram to another router.
type Send struct {
	To       string
	Address  string
	Far      bool // to another data hall
	Datagram *wire.Datagram
}

// Watch sets the backend servers whose load this router is to ask for.
type Watch struct{ Backends []model.BackendID }

// MemberChanged tells of a change of another router's status.
type MemberChanged struct{ Change member.Change }

// RelayChanged tells that this router tells another relay of its loads than before; ""
// stands for being one itself.
type RelayChanged struct {
	From, To    string
	Unconfirmed int // messages that weren't passed on, as far as known
}

// GenerationSeen tells that another router has a newer configuration in force, a newer
// catalog of backend servers, or newer evacuations.
type GenerationSeen struct {
	From     string
	Address  string
	Near     bool // in this router's data hall
	Versions Versions
}

// WatchStore tells whether this router is one of the few that watch the store for what the
// operators write and for backend servers.
type WatchStore struct {
	Watch  bool
	Chosen bool // by the membership; else it stands in for watchers that don't reach the store
	// Unreached is how long ago a router that watches has reached the store, as far as known.
	Unreached time.Duration
}

// StoreReturned tells that the store answers again, which hadn't when it was asked before. A call
// that was made in between may never be answered, however long it is waited for.
type StoreReturned struct{ Silent time.Duration }

// ContactStore asks for a small answer of the store; StoreContacted tells whether it came.
type ContactStore struct{}

// Suspected lists the accounts of requests under which backend servers have ended: only theirs
// need be known by fingerprint.
type Suspected struct{ Accounts []model.AccountID }

// HeldChanged tells that a request is held back, or isn't any more, or that a try of it has failed.
type HeldChanged struct {
	Held      bool
	Failed    bool // it was held back before, and a try has failed since
	Seen      bool // this router has seen what led to it, and sees to it that the store keeps it
	Suspicion *wire.Suspicion
}

// AskTry asks whether a request that is held back may be sent once more, as no other router does.
type AskTry struct {
	ID          RequestID
	Fingerprint model.Fingerprint
}

// Tried tells that a request which is held back is sent once more.
type Tried struct {
	Fingerprint model.Fingerprint
	Account     model.AccountID
	Ends        int
}

func (Dispatch) action()       {}
func (Suspected) action()      {}
func (HeldChanged) action()    {}
func (Tried) action()          {}
func (AskTry) action()         {}
func (Refuse) action()         {}
func (Send) action()           {}
func (Watch) action()          {}
func (MemberChanged) action()  {}
func (RelayChanged) action()   {}
func (GenerationSeen) action() {}
func (WatchStore) action()     {}
func (StoreReturned) action()  {}
func (ContactStore) action()   {}
