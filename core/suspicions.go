package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/suspect"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// suspicionsEvery is how often a router that knows something else is told at the most.
	suspicionsEvery = time.Second
	// maxSuspicionsTold is how many suspicions it is told at once: some 50 bytes each.
	maxSuspicionsTold = 64
)

// suspicions is the state of holding back requests under which backend servers end.
type suspicions struct {
	book     *suspect.Book
	version  uint64 // of the book, as last looked at
	accounts []model.AccountID
	held     map[model.Fingerprint]bool
	failed   map[model.Fingerprint]int // tries, of those that are held back
	told     map[string]model.Time     // by router, that knew something else

	asks   bool                 // a try is asked for
	asking map[RequestID]Arrive // that wait for the answer
}

func newSuspicions(salt uint64) suspicions {
	return suspicions{book: suspect.New(salt), held: map[model.Fingerprint]bool{}, told: map[string]model.Time{}, asking: map[RequestID]Arrive{}}
}

// holdBack refuses a request that is held back, and tells whether it did.
func (c *Core) holdBack(e Arrive) bool {
	if e.Fingerprint == 0 {
		return false
	}
	verdict := c.suspicions.book.Consider(c.now, e.Fingerprint)
	switch {
	case !verdict.Held:
		return false
	case !verdict.Try:
		c.do(Refuse{ID: e.ID, Reason: HeldBack, RetryAfter: verdict.RetryAfter})
	case c.suspicions.asks:
		c.suspicions.asking[e.ID] = e
		c.do(AskTry{ID: e.ID, Fingerprint: e.Fingerprint})
	default:
		return !c.try(e)
	}
	return true
}

// AskForTries lets each try be asked for, by an AskTry: routers whose tries are due at the same time don't hear of each
// other's for some tenths of a second.
func (c *Core) AskForTries() { c.suspicions.asks = true }

// try notes that a held-back request is sent once more, and tells whether it may be.
func (c *Core) try(e Arrive) bool {
	book := c.suspicions.book
	if !book.Try(c.now, e.Fingerprint) {
		c.do(Refuse{ID: e.ID, Reason: HeldBack, RetryAfter: book.Due(e.Fingerprint) - c.now})
		return false
	}
	c.do(Tried{Fingerprint: e.Fingerprint, Account: e.Account, Ends: len(book.Ends(e.Fingerprint))})
	return true
}

// tryAnswered goes on with a request whose try was asked for.
func (c *Core) tryAnswered(e TryAnswered) {
	waited, waits := c.suspicions.asking[e.ID]
	if !waits {
		return // its caller has left
	}
	delete(c.suspicions.asking, e.ID)
	if !e.Granted {
		c.do(Refuse{ID: e.ID, Reason: HeldBack, RetryAfter: c.suspicions.book.Due(waited.Fingerprint) - c.now})
		return
	}
	if c.try(waited) {
		c.arrived(waited)
	}
}

// serverEnded notes that a backend server has ended under a request.
func (c *Core) serverEnded(e ServerEnded) {
	c.suspicions.book.Ended(c.now, e.Fingerprint, e.Account, suspect.End{
		Backend: e.Backend, At: c.now, Ran: e.Ran, Begun: e.Begun,
	})
}

// answered notes that a request got a whole answer.
func (c *Core) answered(e Answered) {
	c.suspicions.book.Answered(c.now, e.Fingerprint)
}

// takeSuspicions takes what another router has told, or the store has kept.
func (c *Core) takeSuspicions(told []*wire.Suspicion) {
	for _, in := range told {
		if s, ok := decodeSuspicion(c.now, in); ok {
			c.suspicions.book.Take(c.now, s)
		}
	}
}

// restoreSuspicions takes what the store keeps.
func (c *Core) restoreSuspicions(kept []*wire.Suspicion) {
	for _, in := range kept {
		if s, ok := decodeSuspicion(c.now, in); ok {
			c.suspicions.book.Restore(c.now, s)
		}
	}
}

// compareSuspicions tells a router what is known here where it knows something else.
func (c *Core) compareSuspicions(d *wire.Datagram) {
	s := &c.suspicions
	if d.SuspicionsDigest == s.book.Digest() || c.now < s.told[d.From]+suspicionsEvery {
		return
	}
	known := s.book.Known()
	if len(known) == 0 {
		return
	}
	s.told[d.From] = c.now
	if n := len(known); n > maxSuspicionsTold {
		at := c.random.IntN(n)
		known = slices.Concat(known[at:], known[:at])[:maxSuspicionsTold]
	}
	c.to(d.From).Suspicions = encodeSuspicions(c.now, known)
}

// followSuspicions tells what has changed of the requests that are held back, and of the accounts whose
// requests are to be looked at.
func (c *Core) followSuspicions() {
	s := &c.suspicions
	if s.book.NextTell() <= c.now {
		c.loads.changed = true
	}
	if s.book.Version() == s.version {
		return
	}
	s.version = s.book.Version()
	if accounts := s.book.Accounts(); !slices.Equal(accounts, s.accounts) {
		s.accounts = accounts
		c.do(Suspected{Accounts: accounts})
	}
	held, failed := map[model.Fingerprint]bool{}, map[model.Fingerprint]int{}
	for _, h := range s.book.Held() {
		f := h.Fingerprint
		held[f], failed[f] = true, s.book.Failed(f)
		if !s.held[f] || failed[f] > s.failed[f] {
			c.do(HeldChanged{Held: true, Failed: s.held[f], Seen: s.book.Saw(f), Suspicion: encodeSuspicion(c.now, h)})
		}
	}
	for _, f := range sortedKeys(s.held) {
		if !held[f] {
			c.do(HeldChanged{Seen: s.book.Saw(f), Suspicion: &wire.Suspicion{Fingerprint: uint64(f)}})
		}
	}
	s.held, s.failed = held, failed
}

// The marks of an end in a message.
const (
	markBegun = 1 << iota
	markTry
)

func encodeSuspicions(now model.Time, in []suspect.Suspicion) []*wire.Suspicion {
	var out []*wire.Suspicion
	for _, s := range in {
		out = append(out, encodeSuspicion(now, s))
	}
	return out
}

func encodeSuspicion(now model.Time, in suspect.Suspicion) *wire.Suspicion {
	out := &wire.Suspicion{
		Fingerprint: uint64(in.Fingerprint), Account: uint32(in.Account),
		AnsweredMs: sinceMs(now, in.Answered), TriedMs: sinceMs(now, in.Tried),
	}
	for _, end := range in.Ends {
		marks := uint32(0)
		if end.Begun {
			marks |= markBegun
		}
		if end.Try {
			marks |= markTry
		}
		out.Backends = append(out.Backends, uint32(end.Backend))
		out.EndedMs = append(out.EndedMs, milliseconds(now-end.At))
		out.RanUs = append(out.RanUs, uint32(min(max(end.Ran.Microseconds(), 0), longestRun.Microseconds())))
		out.Marks = append(out.Marks, marks)
	}
	return out
}

// decodeSuspicion reads a suspicion from a message; ok is false where it can't be one.
func decodeSuspicion(now model.Time, in *wire.Suspicion) (out suspect.Suspicion, ok bool) {
	n := len(in.Backends)
	if in.Fingerprint == 0 || len(in.EndedMs) != n || len(in.RanUs) != n || len(in.Marks) != n {
		return out, false
	}
	out = suspect.Suspicion{
		Fingerprint: model.Fingerprint(in.Fingerprint), Account: model.AccountID(in.Account),
		Answered: timeBefore(now, in.AnsweredMs), Tried: timeBefore(now, in.TriedMs),
	}
	for i, backend := range in.Backends {
		out.Ends = append(out.Ends, suspect.End{
			Backend: model.BackendID(backend), At: now - ofMilliseconds(in.EndedMs[i]), Ran: time.Duration(in.RanUs[i]) * time.Microsecond,
			Begun: in.Marks[i]&markBegun != 0, Try: in.Marks[i]&markTry != 0,
		})
	}
	return out, true
}

// sinceMs returns how long ago a time was, in ms and one more, 0 for never.
func sinceMs(now, at model.Time) uint32 {
	if at == suspect.Never {
		return 0
	}
	return milliseconds(now-at) + 1
}

// timeBefore is the reverse of sinceMs.
func timeBefore(now model.Time, ms uint32) model.Time {
	if ms == 0 {
		return suspect.Never
	}
	return now - ofMilliseconds(ms-1)
}

// longestRun is the longest time that a request is told to have run.
const longestRun = time.Hour

// longest is the longest time that is told, in ms: a day.
const longest = 24 * 60 * 60 * 1000

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), longest))
}

func ofMilliseconds(ms uint32) time.Duration {
	return time.Duration(min(ms, longest)) * time.Millisecond
}
