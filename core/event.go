package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Event is an input of the core; the types below implement it.
type Event interface{ event() }

// Tick advances the time; it is due at the time that Core.Wake returns.
type Tick struct{}

// Configure puts a configuration in force.
type Configure struct{ Config *Config }

// Arrive is a request that this router has received from a caller.
type Arrive struct {
	ID      RequestID
	Account model.AccountID
	Pool    model.PoolID
	Class   model.Class
	Input   float64       // tokens of input
	Wait    time.Duration // how long it may wait to be dispatched

	// The fields below are used only by policies that decide by prompt.
	Route     uint32 // hash of the route's name
	Prompt    model.Prompt
	Objective time.Duration // for the time until the answer begins, 0 for none
	Priority  int           // of the route; 0 is the highest
	Exclude   []model.BackendID
	// Retry reports that the request was sent to a backend server before and counts against the retry budget.
	Retry bool
	// Lag is how far this process is currently behind schedule.
	Lag time.Duration
	// Fingerprint identifies a request that may be held back, 0 if no request of its account is under suspicion.
	Fingerprint model.Fingerprint

	try bool // it is sent though it is held back

	// The fields below are set for streams that may be resumed.

	// Stream is the stream that the request begins, 0 if it can't be resumed.
	Stream model.StreamID
	// Pools are the pools of its route.
	Pools []model.PoolID
	// Continues reports that the caller has received a part of the stream already. Resumes is the stream that it was
	// received as, 0 if the caller doesn't name it.
	Continues bool
	Resumes   model.StreamID
	// Bound reports that the stream can be resumed only at Lineage, which this router has determined before.
	Bound   bool
	Lineage model.Lineage
}

// RefusedUnread lists requests that were refused before they reached the core; they count towards their accounts'
// demand.
type RefusedUnread struct{ Requests []UnreadRequest }

// UnreadRequest is the header information of a request whose body wasn't read.
type UnreadRequest struct {
	Account model.AccountID
	Pool    model.PoolID
	Route   uint32 // hash of the route's name
	Prompt  model.Prompt
}

// Began reports that the answer to a dispatched request has begun.
type Began struct{ ID RequestID }

// Progress reports the number of output tokens of a running request so far.
type Progress struct {
	ID     RequestID
	Output float64
}

// Ending is how a dispatched request has ended.
type Ending uint8

// The endings of a request.
const (
	// Done is a complete answer.
	Done Ending = iota
	// Broken is an incomplete answer, or a caller that disconnected.
	Broken
	// NotSent is a request of which no byte was written to the backend server.
	NotSent
	// Cancelled is a request that was given up before anything was sent.
	Cancelled
	// Rejected is a request that its backend server reported as not executed.
	Rejected
	// Failed is a request whose backend server failed or broke the connection.
	Failed
	// Inconclusive is a complete answer that doesn't show that the request was run to a good end: an error, or an answer
	// that may be truncated. It counts as Done otherwise.
	Inconclusive
)

// Finish ends a dispatched request.
type Finish struct {
	ID     RequestID
	Output float64 // tokens of output in all
	Ending Ending
}

// ServerEnded reports that a backend server has terminated while a request ran there.
type ServerEnded struct {
	Fingerprint model.Fingerprint
	Account     model.AccountID
	Backend     model.BackendID
	Pool        model.PoolID
	Shared      []model.Part  // the parts of its prompt that other prompts may share
	RunTime     time.Duration // since the request was sent
	Begun       bool          // part of its answer had been received
}

// Answered reports that a request has received a complete answer from a backend server, or that an operator releases
// what is held back.
type Answered struct{ Fingerprint model.Fingerprint }

// HeldRequestsLoaded lists the held-back requests that the store contains.
type HeldRequestsLoaded struct{ Suspicions []*wire.Suspicion }

// TryAnswered is the answer to a RequestTry.
type TryAnswered struct {
	ID      RequestID
	Granted bool
}

// RegistrySynced is the answer to a SyncRegistry.
type RegistrySynced struct {
	Sync    uint64          // number of the SyncRegistry
	Listed  []model.Lineage // the lineages of the registry, in order
	Marked  []model.Lineage // those that are to be removed
	Reached bool            // the store has answered
}

// StreamsLoaded lists the streams that the process before had begun and not finished, according to the store.
type StreamsLoaded struct{ Records *wire.StreamRecords }

// StreamsStored is the answer to a StoreStreams.
type StreamsStored struct{ Stored bool }

// Abandon withdraws a waiting request whose caller has disconnected.
type Abandon struct{ ID RequestID }

// Receive is an authenticated datagram from another router.
type Receive struct{ Datagram *wire.Datagram }

// Routers lists the routers in the VM list.
type Routers struct{ Listed []member.Listed }

// Load is a backend server's report of its own load.
type Load struct {
	Backend model.BackendID
	Running int
	Waiting int
	Leaving bool
	Failed  bool // no report could be obtained
}

// Leaving lists the backend servers that are leaving or removed according to the VM list.
type Leaving struct{ Backends []model.BackendID }

// NoticeReceived is a notice about a backend server's state that it has sent to this router.
type NoticeReceived struct {
	Backend model.BackendID
	Notice  notice.Notice
}

// StoreContacted reports whether the store has answered a ContactStore.
type StoreContacted struct{ Reached bool }

// Drain makes the router accept no new requests and hand over the backend servers that it owns.
type Drain struct{}

func (Tick) event()               {}
func (Configure) event()          {}
func (Arrive) event()             {}
func (RefusedUnread) event()      {}
func (Progress) event()           {}
func (Began) event()              {}
func (Finish) event()             {}
func (Abandon) event()            {}
func (Receive) event()            {}
func (Routers) event()            {}
func (StoreContacted) event()     {}
func (Load) event()               {}
func (Leaving) event()            {}
func (NoticeReceived) event()     {}
func (Drain) event()              {}
func (ServerEnded) event()        {}
func (Answered) event()           {}
func (HeldRequestsLoaded) event() {}
func (TryAnswered) event()        {}
func (RegistrySynced) event()     {}
func (StreamsLoaded) event()      {}
func (StreamsStored) event()      {}

// Action is an output of the core; the types below implement it.
type Action interface{ action() }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID      RequestID
	Backend model.BackendID
	Waited  time.Duration

	Basis prompt.Basis // of the decision, if the policy decides by prompt
	// CopyFrom is the backend server from which the parts of the prompt in its cache are to be copied, 0 for none.
	// Copied is their number of tokens.
	CopyFrom model.BackendID
	Copied   int
	// Lineage is that of the backend server.
	Lineage model.Lineage
}

// StreamBound reports that a request can only be sent to backend servers of the lineage that began the stream which it
// resumes.
type StreamBound struct {
	ID      RequestID
	Lineage model.Lineage
	Source  streams.Source
	// Age is that of the record, or how long other routers took to answer.
	Age time.Duration
}

// Refusal is the reason for which a request is refused.
type Refusal string

// The reasons for which the core refuses a request.
const (
	QueueFull        Refusal = "queue-full"
	RateLimited      Refusal = "rate-limited"
	WaitExceeded     Refusal = "wait-exceeded"
	Draining         Refusal = "draining"
	Unreachable      Refusal = "backends-unreachable"
	AccountWithdrawn Refusal = "account-withdrawn"
	RetryBudget      Refusal = "retry-budget"
	// HeldBack is for a request during which backend servers have terminated, HeldPart for one whose prompt has a part of
	// which that holds.
	HeldBack Refusal = "held-back"
	HeldPart Refusal = "held-prompt-part"
	// UnknownStream is for a request that resumes a stream begun by unknown software.
	UnknownStream Refusal = "unknown-stream"
	// VersionRetired is for a request that resumes a stream begun by software that no backend server has any more.
	VersionRetired Refusal = "version-retired"
)

// Refuse refuses a request of which nothing was sent to a backend server.
type Refuse struct {
	ID         RequestID
	Reason     Refusal
	RetryAfter time.Duration
	Waited     time.Duration
	Basis      prompt.Basis // of the decision, if the policy decides by prompt
	// ValidFor is how long the reason is expected to apply to other requests of the account and route.
	ValidFor time.Duration
	Lookup   StreamLookup // of UnknownStream
}

// StreamLookup is what a router has learned of a stream that it looked up.
type StreamLookup struct {
	Registry RegistryRead
	Listed   int // number of lineages that the registry lists
	Heard    int // number of other routers that have answered
	Routers  int // number of other routers
}

// RegistryRead is what became of the read of the registry for a stream.
type RegistryRead string

// The outcomes of a read of the registry.
const (
	RegistryAwaited   RegistryRead = "awaited"
	RegistryReached   RegistryRead = "reached"
	RegistryUnreached RegistryRead = "unreached"
)

// Send sends a datagram to another router.
type Send struct {
	To            string
	Address       string
	OtherDataHall bool // to another data hall
	Datagram      *wire.Datagram
}

// Watch sets the backend servers whose load this router is to query.
type Watch struct{ Backends []model.BackendID }

// MemberChanged reports a change of another router's status.
type MemberChanged struct{ Change member.Change }

// RelayChanged reports that this router sends its load reports to another relay than before; "" means that it is a
// relay itself.
type RelayChanged struct {
	From, To    string
	Unconfirmed int // messages without a confirmation that they were forwarded
}

// NewerVersionSeen reports that another router has a newer configuration in force, a newer catalog of backend servers,
// or newer evacuations.
type NewerVersionSeen struct {
	From         string
	Address      string
	SameDataHall bool // in this router's data hall
	Versions     Versions
}

// WatchStore reports whether this router is one of the few that watch the store for the operators' changes and for
// backend servers.
type WatchStore struct {
	Watch  bool
	Chosen bool // by the membership; otherwise it replaces watchers that can't reach the store
	// Unreached is the time since a watcher last reached the store, according to the information received here.
	Unreached time.Duration
}

// StoreReturned reports that the store answers again after a failed contact. A call made in between may never be
// answered, whatever its timeout.
type StoreReturned struct{ Silent time.Duration }

// ContactStore requests a small read of the store; StoreContacted reports whether it was answered.
type ContactStore struct{}

// SuspectedAccounts lists the accounts of requests during which backend servers have terminated. Only their requests
// need a fingerprint.
type SuspectedAccounts struct{ Accounts []model.AccountID }

// HeldChanged reports that a request, or a part of prompts, is held back, is no longer held back, or that a try of it has failed.
type HeldChanged struct {
	Held      bool
	Failed    bool // it was held back already, and a try has failed since
	Seen      bool // this router has observed the cause itself, and is to write the suspicion to the store
	Suspicion *wire.Suspicion
	Pool      string // name of the pool if a part of prompts is held back
}

// RequestTry requests permission to send a held-back request once more, which only one router may do at a time.
type RequestTry struct {
	ID          RequestID
	Fingerprint model.Fingerprint
}

// SyncRegistry requests a read of the store's registry of lineages, after changing some entries.
type SyncRegistry struct {
	Sync   uint64          // its number, for the answer
	Add    []model.Lineage // to be listed without a mark
	Mark   []model.Lineage // to be marked, unless another router has changed the registry meanwhile
	Remove []model.Lineage // to be removed, under the same condition
}

// StoreStreams replaces this router's unfinished streams in the store.
type StoreStreams struct{ Records *wire.StreamRecords }

// Tried reports that a held-back request is sent once more.
type Tried struct {
	Fingerprint model.Fingerprint
	Account     model.AccountID
	Ends        int
}

func (Dispatch) action()          {}
func (StreamBound) action()       {}
func (SuspectedAccounts) action() {}
func (HeldChanged) action()       {}
func (Tried) action()             {}
func (RequestTry) action()        {}
func (SyncRegistry) action()      {}
func (StoreStreams) action()      {}
func (Refuse) action()            {}
func (Send) action()              {}
func (Watch) action()             {}
func (MemberChanged) action()     {}
func (RelayChanged) action()      {}
func (NewerVersionSeen) action()  {}
func (WatchStore) action()        {}
func (StoreReturned) action()     {}
func (ContactStore) action()      {}
