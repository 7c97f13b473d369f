package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Request is a request to be dispatched or refused.
type Request struct {
	ID        model.RequestID
	Account   model.AccountID
	Pool      model.PoolID
	Route     uint32 // outputs of one route are of similar length
	Prompt    model.Prompt
	Objective time.Duration // time until the answer should begin, 0 for none
	Wait      time.Duration // time until the request can no longer be served
	Priority  int           // 0 is the highest
	// Lag is the processing delay of this router. Answers are observed later by the same time, which must not count
	// against the backend server.
	Lag time.Duration
	// Exclude lists the backend servers that the request was dispatched to before.
	Exclude []model.BackendID
	// Bound reports that the request resumes a stream, which only backend servers of Build can go on with.
	Bound bool
	Build model.Build
	// Try reports that the request, or others with a part of its prompt, has ended backend servers. It goes where it would
	// end the fewest others.
	Try bool
	// Begins reports that the request begins a stream. NotAt lists the software versions of its pool that begin none;
	// SetUnsettled changes them while the request waits.
	Begins bool
	NotAt  []model.Build
}

// mayGoTo reports whether a request can be sent to a backend server at all.
func (r *Request) mayGoTo(s *server) bool {
	if r.Bound {
		return s.Build == r.Build
	}
	return !slices.Contains(r.NotAt, s.Build)
}

// SetUnsettled sets the software versions of a pool that begin no streams, for the requests that wait.
func (m *Machine) SetUnsettled(pool model.PoolID, builds []model.Build) {
	for _, r := range m.waiting {
		if r.Begins && r.Pool == pool {
			r.NotAt = builds
			r.candidatesVersion = -1
		}
	}
}

// Action is an action for the caller to carry out: a Dispatch or a Refuse.
type Action interface{ action() }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID      model.RequestID
	Backend model.BackendID
	Waited  time.Duration
	Basis   Basis
	// CopyFrom is the backend server from which cached parts of the prompt are copied, 0 for none, and Copied the
	// number of tokens copied.
	CopyFrom model.BackendID
	Copied   int
}

// Basis holds the values on which a decision is based, for the log.
type Basis struct {
	Backend       model.BackendID // the best backend server, 0 for none
	Delay         time.Duration   // expected time until the answer begins there
	PrefillTokens int             // tokens of the prompt to prefill there
	Backlog       int             // tokens to prefill there before the prompt
	// UnreportedTokens is the part of the backlog that other routers are expected to have sent but have not reported yet.
	UnreportedTokens      int
	Slowness              float64       // estimated slowness relative to the pool's prefill rate
	MinDelay              time.Duration // least expected delay of the evaluated backend servers
	OverShare             bool          // whether the account was over its share
	ShareStatus           string        // share status of the account
	MostStarted           float64       // most tokens that any account has started in the window
	StartedFraction       float64       // fraction of the fair share that the account has started
	RequestedFraction     float64       // fraction of the fair share that the account has requested
	FairShare             float64       // fair share of each account, in tokens per window
	WindowLimit           float64       // limit on what an account may start in the window, regardless of idle capacity
	BurstLimit            float64       // the same limit for the last burst period
	RecentStartedFraction float64       // fraction of its burst share that the account has started
	OldestContactAge      time.Duration // longest time since the last contact with another router
}

// Reason is the reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	NoBackend Reason = "no-backend" // no backend server is available
	NoRoom    Reason = "no-room"    // no backend server can begin the answer in time
	OverShare Reason = "over-share" // the account has used its share, and others are waiting
	QueueFull Reason = "queue-full" // too many requests are waiting, in total or of the account
	TooLate   Reason = "too-late"   // the deadline has passed
	Resting   Reason = "resting"    // all available backend servers have requested a rest
)

// Refuse refuses a request that has not been dispatched.
type Refuse struct {
	ID         model.RequestID
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	Basis      Basis
	// ValidFor is how long the reason is expected to apply to other requests of the account and route.
	ValidFor time.Duration
}

func (Dispatch) action() {}
func (Refuse) action()   {}

// Ending is the outcome of a dispatched request.
type Ending uint8

// Outcomes of dispatched requests.
const (
	Done         Ending = iota // the answer is complete
	Disconnected               // the caller disconnected
	Rejected                   // the backend server rejected the request without running it
	Failed                     // the backend server failed or broke off the answer
	NotSent                    // the backend server is unreachable and nothing was sent
)

// CostOf returns the cost of a request that counts towards shares, in tokens: 1 for each prompt token and
// outputTokenCost for each output token.
func (m *Machine) CostOf(in *Request) float64 {
	return float64(in.Prompt.Tokens) + outputTokenCost*m.expectedOutput(in)
}

// outputTokenCost is the cost of an output token, in prompt tokens.
const outputTokenCost = 2

// expectedOutput returns the expected number of output tokens.
func (m *Machine) expectedOutput(in *Request) float64 {
	if in.Prompt.Hint > 0 {
		return float64(in.Prompt.Hint)
	}
	if o := m.outputs[in.Route]; o != nil {
		return o.value
	}
	return float64(in.Prompt.MaxOutput) / 2
}
