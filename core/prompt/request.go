package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Request is a request to be decided on.
type Request struct {
	ID        model.RequestID
	Account   model.AccountID
	Pool      model.PoolID
	Route     uint32 // whose outputs are of a kind
	Prompt    model.Prompt
	Objective time.Duration // until the answer should begin, 0 for none
	Wait      time.Duration // until it can't be served any more
	Priority  int           // 0 is the highest
	// Lag is how late this process comes to what is due: so much later it also takes
	// an answer for begun, which tells nothing against the backend server.
	Lag time.Duration
	// Except are the backend servers that it was sent to before.
	Except []model.BackendID
}

// Action is what is to be done; each action type below is one.
type Action interface{ action() }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID      model.RequestID
	Backend model.BackendID
	Waited  time.Duration
	Basis   Basis
	// CopyFrom is the backend server from which parts of the prompt are to be
	// copied, 0 for none, and Copied how many tokens that is.
	CopyFrom model.BackendID
	Copied   int
}

// Basis is what a decision rests on, for the log.
type Basis struct {
	Best    model.BackendID // the best backend server, 0 for none
	Delay   time.Duration   // expected until the answer begins there
	Unread  int             // tokens of the prompt that are to be read there
	Backlog int             // tokens to be read there before it
	// Unheard is the part of the backlog that others are expected to have sent and
	// haven't told of yet.
	Unheard int
	Slow    float64       // how much slower than its pool's pace it is taken to read
	Soonest time.Duration // the least delay expected of any backend server looked at
	Over    bool          // the account was beyond its share
	Stands  string        // how the account stood to it, in a word
	Ahead   float64       // what the best served account has begun, in tokens of the window
	Had     float64       // part of what the account is owed that has begun
	Asked   float64       // the same of what it has asked for
	Owed    float64       // what each account is owed, in tokens of the window
	Bound   float64       // what one may begin of it at the most, whatever idles
	Brief   float64       // the same of the last second
	Lately  float64       // part of its even part of the last second that has begun
	Age     time.Duration // of the oldest load report of another router
}

// Reason is why a request is refused.
type Reason string

// The reasons.
const (
	NoBackend Reason = "no-backend" // there is none that could serve it
	NoRoom    Reason = "no-room"    // it couldn't begin in time anywhere
	OverShare Reason = "over-share" // its account has had its share, and others wait
	QueueFull Reason = "queue-full" // too many wait here, or too many of its account
	TooLate   Reason = "too-late"   // its time is over
	Resting   Reason = "resting"    // all that could serve it have asked for rest
)

// Refuse refuses a request of which nothing was sent.
type Refuse struct {
	ID         model.RequestID
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	Basis      Basis
	// Holds is how long the reason is expected to hold for others of the account and route.
	Holds time.Duration
}

func (Dispatch) action() {}
func (Refuse) action()   {}

// Ending tells how a request that was dispatched has ended.
type Ending uint8

// The endings.
const (
	Done     Ending = iota // a whole answer
	Left                   // the caller has left
	Rejected               // the backend server said that it didn't run it
	Failed                 // the backend server failed or broke off
	NotSent                // nothing was sent, as it can't be reached
)

// CostOf returns what a request costs in the terms of shares: a token read
// counts once, a token written twice.
func (m *Machine) CostOf(in *Request) float64 {
	return float64(in.Prompt.Tokens) + writtenCost*m.expectedOutput(in)
}

// writtenCost is what a token written costs, in tokens read.
const writtenCost = 2

// expectedOutput returns the tokens of output expected.
func (m *Machine) expectedOutput(in *Request) float64 {
	if in.Prompt.Hint > 0 {
		return float64(in.Prompt.Hint)
	}
	if o := m.outputs[in.Route]; o != nil {
		return o.value
	}
	return float64(in.Prompt.MaxOutput) / 2
}
